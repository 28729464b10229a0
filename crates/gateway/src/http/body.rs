//! Bodies of messages and how they are framed.

use bytes::{Bytes, BytesMut};

use super::head::Framing;
use super::Error;

/// Bytes to buffer while waiting for the end of a chunk-size or trailer line of a chunked body. If
/// more have arrived without a line end, the body is malformed.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Length of a line end, as far as limits are concerned.
const LINE_END_BYTES: usize = 2;
/// Longest trailer section.
const MAX_TRAILER_BYTES: usize = 16 << 10;
/// Bytes that the chunk sizes, extensions and line ends of a body may have besides
/// [`CHUNK_OVERHEAD_FACTOR`].
const MIN_CHUNK_OVERHEAD_BYTES: u64 = 64 << 10;
/// Multiple of the bytes of a body that its chunk sizes, extensions and line ends may have.
const CHUNK_OVERHEAD_FACTOR: u64 = 8;

/// Progress of reading a body.
#[derive(Debug)]
pub struct BodyReader {
    pub(super) framing: Framing,
    /// Bytes still to come: of the body if its length is known, of the current chunk if it is
    /// chunked.
    remaining: u64,
    /// Used for chunked bodies only.
    chunk_state: ChunkState,
    /// Bytes of chunks so far.
    chunk_bytes: u64,
    /// Bytes of chunk sizes, extensions and line ends so far.
    overhead_bytes: u64,
    /// Bytes of the trailer section so far.
    trailer_bytes: usize,
}

/// What comes next in a chunked body.
#[derive(Debug, PartialEq, Eq)]
enum ChunkState {
    /// The line with the size of a chunk.
    Size,
    /// The data of a chunk.
    Data,
    /// The line end after the data of a chunk.
    DataEnd,
    /// A trailer field, or the empty line that ends the body.
    Trailer,
    /// Nothing: the body is complete.
    End,
}

/// Result of reading a body from the buffer.
pub(super) enum Step {
    /// Bytes of the body.
    Part(Bytes),
    /// The body is complete.
    End,
    /// More bytes have to be read from the socket first.
    NeedsBytes,
}

impl BodyReader {
    /// Prepares to read a body with this framing.
    pub fn new(framing: Framing) -> BodyReader {
        let remaining = match framing {
            Framing::Length(length) => length,
            _ => 0,
        };
        BodyReader {
            framing,
            remaining,
            chunk_state: ChunkState::Size,
            chunk_bytes: 0,
            overhead_bytes: 0,
            trailer_bytes: 0,
        }
    }

    /// Removes the next bytes of the body from the buffer.
    pub(super) fn next_step(&mut self, buffer: &mut BytesMut) -> Result<Step, Error> {
        match self.framing {
            Framing::Length(_) if self.remaining == 0 => Ok(Step::End),
            Framing::Length(_) => Ok(self.take(buffer)),
            Framing::UntilClose if buffer.is_empty() => Ok(Step::NeedsBytes),
            Framing::UntilClose => Ok(Step::Part(buffer.split().freeze())),
            Framing::Chunked => self.next_chunked(buffer),
        }
    }

    /// Removes the bytes of the body, or of the current chunk, that are in the buffer.
    fn take(&mut self, buffer: &mut BytesMut) -> Step {
        if buffer.is_empty() {
            return Step::NeedsBytes;
        }
        let count = self.remaining.min(buffer.len() as u64);
        self.remaining -= count;
        Step::Part(buffer.split_to(count as usize).freeze())
    }

    /// Like [`Self::next_step`] for a chunked body; skips chunk extensions and trailer fields.
    fn next_chunked(&mut self, buffer: &mut BytesMut) -> Result<Step, Error> {
        loop {
            match self.chunk_state {
                ChunkState::Size => {
                    let Some(line) = self.take_chunk_line(buffer)? else {
                        return Ok(Step::NeedsBytes);
                    };
                    self.remaining = parse_chunk_size(&line)?;
                    self.chunk_bytes = self.chunk_bytes.saturating_add(self.remaining);
                    self.chunk_state =
                        if self.remaining == 0 { ChunkState::Trailer } else { ChunkState::Data };
                }
                ChunkState::Data if self.remaining > 0 => return Ok(self.take(buffer)),
                ChunkState::Data => self.chunk_state = ChunkState::DataEnd,
                ChunkState::DataEnd => {
                    let Some(line) = self.take_chunk_line(buffer)? else {
                        return Ok(Step::NeedsBytes);
                    };
                    if !line.is_empty() {
                        return Err(Error::Malformed("a chunk is longer than its stated size"));
                    }
                    self.chunk_state = ChunkState::Size;
                }
                ChunkState::Trailer => {
                    let Some(line) = take_line(buffer)? else { return Ok(Step::NeedsBytes) };
                    if line.is_empty() {
                        self.chunk_state = ChunkState::End;
                    }
                    self.trailer_bytes += line.len() + LINE_END_BYTES;
                    if self.trailer_bytes > MAX_TRAILER_BYTES {
                        return Err(Error::TrailerTooLong);
                    }
                }
                ChunkState::End => return Ok(Step::End),
            }
        }
    }

    /// Removes a line with the size of a chunk, or after its data, from the buffer; none if it is
    /// incomplete.
    fn take_chunk_line(&mut self, buffer: &mut BytesMut) -> Result<Option<BytesMut>, Error> {
        let Some(line) = take_line(buffer)? else { return Ok(None) };
        self.overhead_bytes += (line.len() + LINE_END_BYTES) as u64;
        let allowed = self.chunk_bytes.saturating_mul(CHUNK_OVERHEAD_FACTOR);
        if self.overhead_bytes > allowed.saturating_add(MIN_CHUNK_OVERHEAD_BYTES) {
            return Err(Error::ChunksTooLong);
        }
        Ok(Some(line))
    }
}

/// Removes a line from the buffer and returns it without its line end; none if it is incomplete.
fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, Error> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        if buffer.len() > MAX_CHUNK_LINE_BYTES {
            return Err(Error::Malformed("a chunk size or trailer line is too long"));
        }
        return Ok(None);
    };
    let mut line = buffer.split_to(end + 1);
    line.truncate(end);
    if line.last() == Some(&b'\r') {
        line.truncate(end - 1);
    }
    Ok(Some(line))
}

/// Number of bytes that a chunk-size line states; chunk extensions are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64, Error> {
    let text = std::str::from_utf8(line).unwrap_or_default();
    let digits = text.split(';').next().unwrap_or_default().trim();
    let digits_only = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !digits_only {
        return Err(Error::Malformed("a chunk size is not a hexadecimal number"));
    }
    u64::from_str_radix(digits, 16)
        .map_err(|_| Error::Malformed("a chunk size does not fit into 64 bits"))
}

/// Appends a chunk in chunked transfer encoding.
pub(crate) fn push_chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}
