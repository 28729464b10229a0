//! Events of a stream.
//!
//! Only whole events are passed on, so that a stream that breaks off within an event can be continued
//! by another endpoint behind the last whole one.

use bytes::{Bytes, BytesMut};

/// Splits a stream into whole events.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buffer: BytesMut,
}

/// A whole event.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Its bytes, with the empty line at its end.
    pub bytes: Bytes,
    /// Its id, if it has one that is a number.
    pub id: Option<u64>,
}

impl Splitter {
    /// Takes in bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub(crate) fn next(&mut self) -> Option<Event> {
        let end = end_of_event(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// What is left behind the last whole event.
    pub(crate) fn rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

fn end_of_event(buffer: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(at) = buffer[start..].iter().position(|byte| *byte == b'\n') {
        let next = start + at + 1;
        match (buffer.get(next), buffer.get(next + 1)) {
            (Some(b'\n'), _) => return Some(next + 1),
            (Some(b'\r'), Some(b'\n')) => return Some(next + 2),
            _ => start = next,
        }
    }
    None
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = values.filter_map(|value| std::str::from_utf8(value).ok()).next()?;
    text.trim().parse().ok()
}
