//! Splitting of event streams (`text/event-stream`) into events.
//!
//! An event is forwarded once it is complete. If a stream breaks off within an event, another
//! endpoint can then resume it after the last complete one. Lines end with LF, CR LF or CR, as in
//! the standard for server-sent events.

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;
use memchr::memchr2;

/// Bytes of a complete body that are searched for events at a time.
const PART_BYTES: usize = 64 << 10;
/// Longest event, up to its empty line. A stream with a longer one is not forwarded further.
pub const MAX_EVENT_BYTES: usize = 1 << 20;
/// Byte order mark in UTF-8, which may stand at the beginning of a stream.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Splits a stream into complete events.
///
/// ```
/// use dotterelhoist_gateway::events::Splitter;
///
/// let mut splitter = Splitter::open(false);
/// splitter.push(b"id: 1\ndata: x\n\nid: 2\nda");
/// let event = splitter.next().unwrap().expect("the first event is complete");
/// assert_eq!((&*event.bytes, event.id), (b"id: 1\ndata: x\n\n".as_slice(), Some(1)));
/// assert_eq!(splitter.next().unwrap(), None);
/// assert!(splitter.is_inside_event());
/// ```
#[derive(Debug)]
pub struct Splitter {
    /// Bytes received and not yet returned as an event.
    buffer: BytesMut,
    /// Longest event; a longer one is an error.
    max_event_bytes: usize,
    /// Where the current line begins in the buffer.
    line_start: usize,
    /// Up to where the buffer has been searched for the end of the current line.
    searched: usize,
    /// Whether the current line follows a CR, so that an LF at its beginning belongs to the end of
    /// the previous line.
    follows_cr: bool,
    /// Whether a line of the current event is a field.
    has_field: bool,
    /// Whether the beginning of the stream has not been searched for a byte order mark yet.
    at_start: bool,
    /// Whether the stream continues another one, in the middle of which a byte order mark would be
    /// taken for a part of its first line.
    continues: bool,
}

/// A complete event.
#[derive(Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event, including the empty line that ends it.
    pub bytes: Bytes,
    /// Value of its `id` field; none if the event has no `id` or it is not a number.
    pub id: Option<u64>,
    /// Whether it has a `data` field, so that the caller's program gets it.
    pub has_data: bool,
}

/// Why a stream can't be split.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// an event is longer than the limit
    EventTooLong,
}

impl std::error::Error for Error {}

impl Event {
    /// Reads the fields of an event.
    fn parse(bytes: Bytes) -> Event {
        let id = event_id(&bytes);
        let has_data = fields(&bytes, b"data").next().is_some();
        Event { bytes, id, has_data }
    }

    /// Bytes after the last event of a stream, which are none.
    pub(crate) fn rest(bytes: Bytes) -> Event {
        Event { bytes, id: None, has_data: false }
    }

    /// Whether the caller has this event, if `last` is the id of the last one that it got.
    pub fn is_known(&self, last: Option<u64>) -> bool {
        self.id.is_some() && self.id <= last
    }
}

impl Splitter {
    /// Prepares to split a stream; `continues` says whether its caller has the beginning of another
    /// one.
    pub fn open(continues: bool) -> Splitter {
        Splitter {
            buffer: BytesMut::new(),
            max_event_bytes: MAX_EVENT_BYTES,
            line_start: 0,
            searched: 0,
            follows_cr: false,
            has_field: false,
            at_start: true,
            continues,
        }
    }

    /// Appends bytes received from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next event; none until it is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the event is longer than [`MAX_EVENT_BYTES`].
    #[allow(clippy::should_implement_trait, reason = "more events may follow the end")]
    pub fn next(&mut self) -> Result<Option<Event>, Error> {
        if self.at_start && !self.skip_byte_order_mark() {
            return Ok(None);
        }
        while let Some(end) = self.line_end() {
            let line = &self.buffer[self.line_start..end];
            let is_empty = line.is_empty();
            self.has_field |= !is_empty && !line.starts_with(b":");
            self.begin_line(end);
            if is_empty {
                return self.take_event().map(Some);
            }
        }
        if self.buffer.len() > self.max_event_bytes {
            return Err(Error::EventTooLong);
        }
        Ok(None)
    }

    /// Whether the bytes after the last event that [`Self::next`] has returned are a part of an
    /// event or of a line. Complete comment lines are neither.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || self.line_start < self.buffer.len()
    }

    /// Number of bytes that have arrived of an event that is not complete.
    pub fn unfinished_bytes(&self) -> usize {
        if self.is_inside_event() {
            self.buffer.len()
        } else {
            0
        }
    }

    /// Removes and returns the bytes after the last event that [`Self::next`] has returned.
    pub fn take_rest(&mut self) -> Bytes {
        self.line_start = 0;
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// Moves past a byte order mark at the beginning of the stream, or removes it from a stream that
    /// continues another one. Returns false as long as only a part of one may have arrived.
    fn skip_byte_order_mark(&mut self) -> bool {
        if self.buffer.len() < BYTE_ORDER_MARK.len() && BYTE_ORDER_MARK.starts_with(&self.buffer) {
            return false;
        }
        self.at_start = false;
        if !self.buffer.starts_with(BYTE_ORDER_MARK) {
            return true;
        }
        if self.continues {
            self.buffer.advance(BYTE_ORDER_MARK.len());
            return true;
        }
        self.line_start = BYTE_ORDER_MARK.len();
        self.searched = self.line_start;
        true
    }

    /// Position of the CR or LF that ends the current line; none if it has not arrived.
    fn line_end(&mut self) -> Option<usize> {
        if self.follows_cr && self.buffer.get(self.line_start) == Some(&b'\n') {
            self.line_start += 1;
            self.searched = self.line_start;
            self.follows_cr = false;
        }
        let found = memchr2(b'\n', b'\r', &self.buffer[self.searched..]);
        let end = found.map(|offset| self.searched + offset);
        self.searched = end.unwrap_or(self.buffer.len());
        end
    }

    /// Begins the line after the CR or LF at `end`, or after the LF that follows that CR.
    fn begin_line(&mut self, end: usize) {
        let is_cr = self.buffer[end] == b'\r';
        let is_crlf = is_cr && self.buffer.get(end + 1) == Some(&b'\n');
        self.line_start = if is_crlf { end + 2 } else { end + 1 };
        self.searched = self.line_start;
        self.follows_cr = is_cr && !is_crlf;
    }

    /// Removes the bytes up to the current line, which are an event.
    fn take_event(&mut self) -> Result<Event, Error> {
        if self.line_start > self.max_event_bytes {
            return Err(Error::EventTooLong);
        }
        let bytes = self.buffer.split_to(self.line_start).freeze();
        self.line_start = 0;
        self.searched = 0;
        self.has_field = false;
        Ok(Event::parse(bytes))
    }
}

/// Whether a stream that is over ends inside an event, so that it has broken off. Its events may
/// have any length.
///
/// ```
/// use dotterelhoist_gateway::events::ends_inside_event;
///
/// assert!(ends_inside_event(b"data: x\n\ndata: y\n"));
/// assert!(!ends_inside_event(b"data: x\n\n"));
/// ```
pub fn ends_inside_event(stream: &[u8]) -> bool {
    let mut splitter = Splitter { max_event_bytes: usize::MAX, ..Splitter::open(false) };
    for part in stream.chunks(PART_BYTES) {
        splitter.push(part);
        while let Ok(Some(_)) = splitter.next() {}
    }
    splitter.is_inside_event()
}

/// Value of the last `id` field of an event; none if there is no such field or the value is not a
/// number.
fn event_id(bytes: &[u8]) -> Option<u64> {
    let value = fields(bytes, b"id").next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Values of the fields `name` of an event.
fn fields<'a>(bytes: &'a [u8], name: &'a [u8]) -> impl DoubleEndedIterator<Item = &'a [u8]> {
    let bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
    let lines = bytes.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.filter_map(move |line| field_value(line, name))
}

/// Value in the line if it is the field `name`; empty for a line without a colon.
fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let rest = line.strip_prefix(name)?;
    match rest.first() {
        None => Some(rest),
        Some(b':') => Some(&rest[1..]),
        Some(_) => None,
    }
}
