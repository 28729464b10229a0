//! HTTP/1.1 on the path between callers and endpoints.
//!
//! Other interfaces of dotterelhoist use `async-h1`. It is not suitable for proxying: it rewrites
//! paths, reads bodies in full and does not expose how a response is framed. This module therefore
//! parses heads with `httparse` and reads bodies itself, within size limits. Messages whose framing
//! is ambiguous are refused.

use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};

/// Headers that one head may have; a request with more is refused as too long, a response with more
/// is malformed.
const MAX_HEADERS: usize = 100;
/// Size of the buffer for one read from a socket.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Delay before the next attempt to accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Bytes to buffer while waiting for the end of a chunk-size or trailer line of a chunked body. If
/// more have arrived without a line end, the body is malformed.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Why a message can't be received.
#[derive(Debug, Display)]
pub enum Error {
    /// the connection closed before the first byte of a message
    Closed,
    /// the connection failed: {0}
    Broken(io::Error),
    /// malformed HTTP message: {0}
    Malformed(&'static str),
    /// the head exceeds its size limit or has too many headers
    HeadTooLong,
    /// the body exceeds its size limit
    BodyTooLong,
}

impl std::error::Error for Error {}

/// One header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name in the spelling of the sender.
    pub name: Box<str>,
    /// Value as sent; need not be UTF-8.
    pub value: Bytes,
}

/// Headers in the order in which they were sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<Header>);

impl Headers {
    /// First value of the header `name`; none if the header is absent or the value is not UTF-8.
    pub fn find(&self, name: &str) -> Option<&str> {
        let header = self.0.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&header.value).ok().map(str::trim)
    }

    /// Whether the comma-separated values of the header `name` contain `element`, ignoring case.
    pub fn list_contains(&self, name: &str, element: &str) -> bool {
        let named = self.0.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
        named
            .filter_map(|header| std::str::from_utf8(&header.value).ok())
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(element))
    }

    /// All headers called `name`.
    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Header> {
        self.0.iter().filter(move |header| header.name.eq_ignore_ascii_case(name))
    }
}

/// Whether a header is hop-by-hop or describes the framing, so that a proxy must not forward it.
pub fn is_hop_by_hop(name: &str) -> bool {
    const NAMES: [&str; 10] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    NAMES.iter().any(|listed| name.eq_ignore_ascii_case(listed))
}

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// A body of this many bytes.
    Length(u64),
    /// Chunked transfer encoding.
    Chunked,
    /// The body ends where the sender closes the connection.
    UntilClose,
}

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method.
    pub method: Box<str>,
    /// Request target (path and query) exactly as sent.
    pub target: Box<str>,
    /// Headers.
    pub headers: Headers,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the sender allows the connection to stay open after the response.
    pub keep_alive: bool,
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Headers,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the connection stays open after the body.
    pub keep_alive: bool,
}

/// A connection with a read buffer.
#[derive(Debug)]
pub struct Connection {
    /// The socket; clones of it may be used for writing.
    pub stream: TcpStream,
    /// Bytes that were read and not yet parsed.
    pub buffer: BytesMut,
}

impl Connection {
    /// Wraps a socket and disables Nagle's algorithm on it.
    pub fn open(stream: TcpStream) -> Connection {
        stream.set_nodelay(true).ok();
        Connection { stream, buffer: BytesMut::new() }
    }

    /// Reads once into the buffer and returns the number of bytes; 0 means that the other side has
    /// closed the connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0u8; READ_BUFFER_BYTES];
        let count = self.stream.read(&mut chunk).await?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads the head of a request, which may have `max_bytes` at most.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the connection closes before the first byte of the head, and
    /// another error if the head is truncated, malformed or too long.
    pub async fn read_request_head(&mut self, max_bytes: usize) -> Result<RequestHead, Error> {
        loop {
            if let Some((head, length)) = parse_request_head(&self.buffer)? {
                if length > max_bytes {
                    return Err(Error::HeadTooLong);
                }
                self.buffer.advance(length);
                return Ok(head);
            }
            if self.buffer.len() > max_bytes {
                return Err(Error::HeadTooLong);
            }
            self.fill_head().await?;
        }
    }

    /// Reads the head of the response to a request with this method; skips interim (1xx) responses.
    /// A head that is still incomplete once more than `max_bytes` are buffered is too long.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the connection closes before the first byte of the head, and
    /// another error if the head is truncated, malformed or too long.
    pub async fn read_response_head(
        &mut self,
        method: &str,
        max_bytes: usize,
    ) -> Result<ResponseHead, Error> {
        loop {
            if let Some((head, length)) = parse_response_head(&self.buffer, method)? {
                self.buffer.advance(length);
                if head.status >= 200 {
                    return Ok(head);
                }
                continue;
            }
            if self.buffer.len() > max_bytes {
                return Err(Error::HeadTooLong);
            }
            self.fill_head().await?;
        }
    }

    /// Reads more of a head. The end of the connection is an error; it is [`Error::Closed`] if no
    /// byte of the head has arrived.
    async fn fill_head(&mut self) -> Result<(), Error> {
        let nothing_received = self.buffer.is_empty();
        match self.fill().await {
            Ok(0) if nothing_received => Err(Error::Closed),
            Ok(0) => Err(Error::Malformed("the connection closed within a head")),
            Ok(_) => Ok(()),
            Err(error) if nothing_received && error.kind() == io::ErrorKind::ConnectionReset => {
                Err(Error::Closed)
            }
            Err(error) => Err(Error::Broken(error)),
        }
    }

    /// Reads a complete body of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated, malformed or too long.
    pub async fn read_body(&mut self, framing: Framing, max_bytes: usize) -> Result<Bytes, Error> {
        if matches!(framing, Framing::Length(length) if length > max_bytes as u64) {
            return Err(Error::BodyTooLong);
        }
        let mut body = BodyReader::new(framing);
        let mut complete = BytesMut::new();
        while let Some(part) = self.read_part(&mut body).await? {
            if complete.len() + part.len() > max_bytes {
                return Err(Error::BodyTooLong);
            }
            complete.extend_from_slice(&part);
        }
        Ok(complete.freeze())
    }

    /// Returns the next bytes of a body as they arrive; none at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated or malformed.
    pub async fn read_part(&mut self, body: &mut BodyReader) -> Result<Option<Bytes>, Error> {
        loop {
            match body.next_step(&mut self.buffer)? {
                Step::Part(bytes) => return Ok(Some(bytes)),
                Step::End => return Ok(None),
                Step::NeedsBytes => {}
            }
            match self.fill().await {
                Ok(0) if body.framing == Framing::UntilClose => return Ok(None),
                Ok(0) => return Err(Error::Malformed("the connection closed within a body")),
                Ok(_) => {}
                Err(error) => return Err(Error::Broken(error)),
            }
        }
    }

    /// Whether an idle connection can carry another request: it is still open, and no bytes have
    /// arrived that would be taken for the response to that request.
    pub fn is_reusable(&self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut stream = self.stream.clone();
        let mut byte = [0u8; 1];
        smol::future::block_on(smol::future::poll_once(stream.read(&mut byte))).is_none()
    }
}

/// Progress of reading a body.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    /// Bytes still to come: of the body if its length is known, of the current chunk if it is
    /// chunked.
    remaining: u64,
    /// Used for chunked bodies only.
    chunk_state: ChunkState,
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
enum Step {
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
        BodyReader { framing, remaining, chunk_state: ChunkState::Size }
    }

    /// Removes the next bytes of the body from the buffer.
    fn next_step(&mut self, buffer: &mut BytesMut) -> Result<Step, Error> {
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
                    let Some(line) = take_line(buffer)? else { return Ok(Step::NeedsBytes) };
                    self.remaining = parse_chunk_size(&line)?;
                    self.chunk_state =
                        if self.remaining == 0 { ChunkState::Trailer } else { ChunkState::Data };
                }
                ChunkState::Data if self.remaining > 0 => return Ok(self.take(buffer)),
                ChunkState::Data => self.chunk_state = ChunkState::DataEnd,
                ChunkState::DataEnd => {
                    let Some(line) = take_line(buffer)? else { return Ok(Step::NeedsBytes) };
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
                }
                ChunkState::End => return Ok(Step::End),
            }
        }
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

fn copy_headers(parsed: &[httparse::Header<'_>]) -> Headers {
    let copy = |header: &httparse::Header<'_>| Header {
        name: header.name.into(),
        value: Bytes::copy_from_slice(header.value),
    };
    Headers(parsed.iter().map(copy).collect())
}

/// Head of the request at the start of `buffer`, and its length in bytes; none if it is incomplete.
fn parse_request_head(buffer: &[u8]) -> Result<Option<(RequestHead, usize)>, Error> {
    let mut header_storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut header_storage);
    let length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadTooLong),
        Err(_) => return Err(Error::Malformed("the head of the request can't be parsed")),
    };
    let headers = copy_headers(request.headers);
    let http_1_0 = request.version == Some(0);
    let keep_alive = match http_1_0 {
        true => headers.list_contains("connection", "keep-alive"),
        false => !headers.list_contains("connection", "close"),
    };
    let framing = parse_framing(&headers)?.unwrap_or(Framing::Length(0));
    let head = RequestHead {
        method: request.method.unwrap_or_default().into(),
        target: request.path.unwrap_or_default().into(),
        headers,
        framing,
        keep_alive,
    };
    Ok(Some((head, length)))
}

/// Head of the response at the start of `buffer`, and its length in bytes; none if it is
/// incomplete. `method` is that of the request: the response to `HEAD` has no body, whatever its
/// headers state.
fn parse_response_head(
    buffer: &[u8],
    method: &str,
) -> Result<Option<(ResponseHead, usize)>, Error> {
    let mut header_storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut header_storage);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Error::Malformed("the head of the response can't be parsed")),
    };
    let headers = copy_headers(response.headers);
    let status = response.code.unwrap_or_default();
    let has_no_body = status < 200 || status == 204 || status == 304 || method == "HEAD";
    let framing = match parse_framing(&headers)? {
        _ if has_no_body => Framing::Length(0),
        Some(framing) => framing,
        None => Framing::UntilClose,
    };
    let http_1_0 = response.version == Some(0);
    let close =
        http_1_0 || headers.list_contains("connection", "close") || framing == Framing::UntilClose;
    Ok(Some((ResponseHead { status, headers, framing, keep_alive: !close }, length)))
}

/// Framing that the headers state; none if there is neither `Content-Length` nor
/// `Transfer-Encoding`.
fn parse_framing(headers: &Headers) -> Result<Option<Framing>, Error> {
    let mut lengths = headers.all("content-length");
    let first = lengths.next();
    if lengths.next().is_some() {
        return Err(Error::Malformed("more than one Content-Length"));
    }
    let mut encodings = headers.all("transfer-encoding");
    let encoding = encodings.next();
    if encodings.next().is_some() {
        return Err(Error::Malformed("more than one Transfer-Encoding"));
    }
    match (first, encoding) {
        (Some(_), Some(_)) => Err(Error::Malformed("both Content-Length and Transfer-Encoding")),
        (None, Some(encoding)) => {
            if !encoding.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(Error::Malformed("a Transfer-Encoding other than chunked"));
            }
            Ok(Some(Framing::Chunked))
        }
        (Some(length), None) => {
            let text = std::str::from_utf8(&length.value).unwrap_or_default().trim();
            let digits_only = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            let length = text.parse().ok().filter(|_| digits_only);
            let length = length.ok_or(Error::Malformed("a Content-Length that is not a number"))?;
            Ok(Some(Framing::Length(length)))
        }
        (None, None) => Ok(None),
    }
}

/// Appends a header line.
pub(crate) fn push_header(bytes: &mut Vec<u8>, name: &str, value: &[u8]) {
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}

/// Appends a chunk in chunked transfer encoding.
pub(crate) fn push_chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// Accepts connections until the future is dropped and serves each in its own task.
pub async fn accept_all<Serve, Work>(
    listener: TcpListener,
    executor: Rc<LocalExecutor<'static>>,
    serve: Serve,
) where
    Serve: Fn(TcpStream) -> Work,
    Work: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => executor.spawn(serve(stream)).detach(),
            Err(_) => {
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the connections that are established and have not been accepted yet, each in its own task.
pub fn accept_waiting<Serve, Work>(
    listener: &TcpListener,
    executor: &LocalExecutor<'static>,
    serve: Serve,
) where
    Serve: Fn(TcpStream) -> Work,
    Work: Future<Output = ()> + 'static,
{
    let accept = || smol::future::block_on(smol::future::poll_once(listener.accept()));
    while let Some(Ok((stream, _))) = accept() {
        executor.spawn(serve(stream)).detach();
    }
}

/// Runs a future for at most `timeout`; if it takes longer, drops it and returns none.
pub async fn within<Output, Work>(timeout: Duration, work: Work) -> Option<Output>
where
    Work: Future<Output = Output>,
{
    let timed_out = async {
        Timer::after(timeout).await;
        None
    };
    let work = async { Some(work.await) };
    work.or(timed_out).await
}
