//! Splitting of event streams (`text/event-stream`) into events.
//!
//! An event is forwarded once it is complete. If a stream breaks off within an event, another
//! endpoint can then resume it after the last complete one.

use bytes::{Bytes, BytesMut};

/// Splits a stream into complete events.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    /// Bytes received and not yet returned as an event.
    buffer: BytesMut,
}

/// A complete event.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Bytes of the event, including the empty line that ends it.
    pub bytes: Bytes,
    /// Value of its `id` field; none if the event has no `id` or it is not a number.
    pub id: Option<u64>,
}

impl Event {
    /// Whether the caller has this event, if `last` is the id of the last one that it got.
    pub(crate) fn is_known(&self, last: Option<u64>) -> bool {
        self.id.is_some() && self.id <= last
    }
}

impl Splitter {
    /// Appends bytes received from the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next event; none until it is complete.
    pub(crate) fn next(&mut self) -> Option<Event> {
        let end = end_of_event(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Number of bytes after the last event that [`Self::next`] has returned.
    pub(crate) fn unfinished_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and returns the bytes after the last event that [`Self::next`] has returned. They
    /// are forwarded unchanged if the stream ends without an error.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

/// Length of the first event, up to and including its empty line; none if it is incomplete.
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

/// Value of the first `id` field of an event; none if there is no such field or the value is not a
/// number.
fn event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = values.filter_map(|value| std::str::from_utf8(value).ok()).next()?;
    text.trim().parse().ok()
}
