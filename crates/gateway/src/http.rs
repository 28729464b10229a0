//! HTTP/1.1 on the path between callers and endpoints.
//!
//! `async-h1` serves the other interfaces of the product. On this path it does not fit: it rewrites
//! paths, reads whole bodies and hides how an answer is framed. Heads are therefore parsed with
//! `httparse`, and this module does the framing with bounds of its own. Ambiguous framing is refused.

use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};

/// Headers of one head.
const HEADERS_MAX: usize = 100;
/// Bytes to read at once.
const READ_BYTES: usize = 16 << 10;
/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(25);
/// Longest line that states the length of a chunk.
const CHUNK_LINE_MAX: usize = 256;

/// Why a message can't be read.
#[derive(Debug, Display)]
pub enum Error {
    /// the connection ended before a message
    Closed,
    /// the connection broke: {0}
    Broken(io::Error),
    /// the bytes are not a message: {0}
    Malformed(&'static str),
    /// the head is too long
    HeadTooLong,
    /// the body is too long
    BodyTooLong,
}

impl std::error::Error for Error {}

/// One header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name as sent.
    pub name: Box<str>,
    /// Value.
    pub value: Bytes,
}

/// Headers in the order in which they were sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<Header>);

impl Headers {
    /// First value of a header, if it is text.
    pub fn find(&self, name: &str) -> Option<&str> {
        let header = self.0.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&header.value).ok().map(str::trim)
    }

    /// Whether a list header has an element.
    pub fn list_contains(&self, name: &str, element: &str) -> bool {
        let named = self.0.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
        named
            .filter_map(|header| std::str::from_utf8(&header.value).ok())
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(element))
    }

    /// Values of a header.
    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Header> {
        self.0.iter().filter(move |header| header.name.eq_ignore_ascii_case(name))
    }
}

/// Whether a header concerns one connection only, or the framing on it.
pub fn is_hop_by_hop(name: &str) -> bool {
    const HOP: [&str; 10] = [
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
    HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(u64),
    /// Chunks.
    Chunked,
    /// Up to the end of the connection.
    UntilClose,
}

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method.
    pub method: Box<str>,
    /// Path with query, as sent.
    pub target: Box<str>,
    /// Headers.
    pub headers: Headers,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the connection stays open behind the answer.
    pub keep_alive: bool,
}

/// Head of an answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: Headers,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the connection stays open behind the body.
    pub keep_alive: bool,
}

/// A connection with the bytes that were read ahead.
#[derive(Debug)]
pub struct Connection {
    /// The socket; a clone of it may write.
    pub stream: TcpStream,
    /// Bytes that were read and not yet used.
    pub buffer: BytesMut,
}

impl Connection {
    /// Puts a buffer behind a socket.
    pub fn open(stream: TcpStream) -> Connection {
        stream.set_nodelay(true).ok();
        Connection { stream, buffer: BytesMut::new() }
    }

    /// Reads more bytes into the buffer; 0 at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0u8; READ_BYTES];
        let count = self.stream.read(&mut chunk).await?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Writes bytes.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the connection ends before its first byte, else what is wrong.
    pub async fn read_request_head(&mut self, max_bytes: usize) -> Result<RequestHead, Error> {
        loop {
            if let Some((head, length)) = parse_request(&self.buffer)? {
                if length > max_bytes {
                    return Err(Error::HeadTooLong);
                }
                self.buffer.advance(length);
                return Ok(head);
            }
            if self.buffer.len() > max_bytes {
                return Err(Error::HeadTooLong);
            }
            self.fill_more().await?;
        }
    }

    /// Reads the head of an answer to a request with this method; passes over interim answers.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the connection ends before its first byte, else what is wrong.
    pub async fn read_response_head(
        &mut self,
        method: &str,
        max_bytes: usize,
    ) -> Result<ResponseHead, Error> {
        loop {
            if let Some((head, length)) = parse_response(&self.buffer, method)? {
                self.buffer.advance(length);
                if head.status >= 200 {
                    return Ok(head);
                }
                continue;
            }
            if self.buffer.len() > max_bytes {
                return Err(Error::HeadTooLong);
            }
            self.fill_more().await?;
        }
    }

    async fn fill_more(&mut self) -> Result<(), Error> {
        let empty = self.buffer.is_empty();
        match self.fill().await {
            Ok(0) if empty => Err(Error::Closed),
            Ok(0) => Err(Error::Malformed("ended within a head")),
            Ok(_) => Ok(()),
            Err(error) if empty && error.kind() == io::ErrorKind::ConnectionReset => {
                Err(Error::Closed)
            }
            Err(error) => Err(Error::Broken(error)),
        }
    }

    /// Reads a whole body.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    pub async fn read_body(&mut self, framing: Framing, max_bytes: usize) -> Result<Bytes, Error> {
        if matches!(framing, Framing::Length(length) if length > max_bytes as u64) {
            return Err(Error::BodyTooLong);
        }
        let mut body = BodyReader::new(framing);
        let mut whole = BytesMut::new();
        while let Some(part) = self.read_part(&mut body).await? {
            if whole.len() + part.len() > max_bytes {
                return Err(Error::BodyTooLong);
            }
            whole.extend_from_slice(&part);
        }
        Ok(whole.freeze())
    }

    /// Reads the next part of a body; none at its end.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it; a body that ends early is an error.
    pub async fn read_part(&mut self, body: &mut BodyReader) -> Result<Option<Bytes>, Error> {
        loop {
            match body.next(&mut self.buffer)? {
                Step::Part(bytes) => return Ok(Some(bytes)),
                Step::End => return Ok(None),
                Step::More => {}
            }
            match self.fill().await {
                Ok(0) if body.framing == Framing::UntilClose => return Ok(None),
                Ok(0) => return Err(Error::Malformed("ended within a body")),
                Ok(_) => {}
                Err(error) => return Err(Error::Broken(error)),
            }
        }
    }

    /// Whether an idle connection can be used again: nothing has arrived and it is still open.
    pub fn is_reusable(&self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut stream = self.stream.clone();
        let mut byte = [0u8; 1];
        smol::future::block_on(smol::future::poll_once(stream.read(&mut byte))).is_none()
    }
}

/// Where the reading of a body stands.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    left: u64,
    stage: Chunk,
}

#[derive(Debug, PartialEq, Eq)]
enum Chunk {
    Size,
    Data,
    DataEnd,
    Trailer,
    End,
}

enum Step {
    Part(Bytes),
    End,
    More,
}

impl BodyReader {
    /// Begins to read a body.
    pub fn new(framing: Framing) -> BodyReader {
        let left = match framing {
            Framing::Length(length) => length,
            _ => 0,
        };
        BodyReader { framing, left, stage: Chunk::Size }
    }

    fn next(&mut self, buffer: &mut BytesMut) -> Result<Step, Error> {
        match self.framing {
            Framing::Length(_) if self.left == 0 => Ok(Step::End),
            Framing::Length(_) => Ok(self.take(buffer)),
            Framing::UntilClose if buffer.is_empty() => Ok(Step::More),
            Framing::UntilClose => Ok(Step::Part(buffer.split().freeze())),
            Framing::Chunked => self.next_chunk(buffer),
        }
    }

    fn take(&mut self, buffer: &mut BytesMut) -> Step {
        if buffer.is_empty() {
            return Step::More;
        }
        let count = self.left.min(buffer.len() as u64);
        self.left -= count;
        Step::Part(buffer.split_to(count as usize).freeze())
    }

    fn next_chunk(&mut self, buffer: &mut BytesMut) -> Result<Step, Error> {
        loop {
            match self.stage {
                Chunk::Size => {
                    let Some(line) = line(buffer)? else { return Ok(Step::More) };
                    self.left = chunk_size(&line)?;
                    self.stage = if self.left == 0 { Chunk::Trailer } else { Chunk::Data };
                }
                Chunk::Data if self.left > 0 => return Ok(self.take(buffer)),
                Chunk::Data => self.stage = Chunk::DataEnd,
                Chunk::DataEnd => {
                    let Some(line) = line(buffer)? else { return Ok(Step::More) };
                    if !line.is_empty() {
                        return Err(Error::Malformed("a chunk is longer than stated"));
                    }
                    self.stage = Chunk::Size;
                }
                Chunk::Trailer => {
                    let Some(line) = line(buffer)? else { return Ok(Step::More) };
                    if line.is_empty() {
                        self.stage = Chunk::End;
                    }
                }
                Chunk::End => return Ok(Step::End),
            }
        }
    }
}

/// Takes a line without its end out of a buffer.
fn line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, Error> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        if buffer.len() > CHUNK_LINE_MAX {
            return Err(Error::Malformed("a line of a chunk is too long"));
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

fn chunk_size(line: &[u8]) -> Result<u64, Error> {
    let text = std::str::from_utf8(line).unwrap_or_default();
    let digits = text.split(';').next().unwrap_or_default().trim();
    let plain = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !plain {
        return Err(Error::Malformed("the size of a chunk is not a number"));
    }
    u64::from_str_radix(digits, 16).map_err(|_| Error::Malformed("a chunk is too large"))
}

fn headers(parsed: &[httparse::Header<'_>]) -> Headers {
    let copy = |header: &httparse::Header<'_>| Header {
        name: header.name.into(),
        value: Bytes::copy_from_slice(header.value),
    };
    Headers(parsed.iter().map(copy).collect())
}

fn parse_request(buffer: &[u8]) -> Result<Option<(RequestHead, usize)>, Error> {
    let mut slots = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut slots);
    let length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadTooLong),
        Err(_) => return Err(Error::Malformed("not a request")),
    };
    let headers = headers(request.headers);
    let old = request.version == Some(0);
    let keep_alive = match old {
        true => headers.list_contains("connection", "keep-alive"),
        false => !headers.list_contains("connection", "close"),
    };
    let framing = framing(&headers)?.unwrap_or(Framing::Length(0));
    let head = RequestHead {
        method: request.method.unwrap_or_default().into(),
        target: request.path.unwrap_or_default().into(),
        headers,
        framing,
        keep_alive,
    };
    Ok(Some((head, length)))
}

fn parse_response(buffer: &[u8], method: &str) -> Result<Option<(ResponseHead, usize)>, Error> {
    let mut slots = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut response = httparse::Response::new(&mut slots);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Error::Malformed("not an answer")),
    };
    let headers = headers(response.headers);
    let status = response.code.unwrap_or_default();
    let empty = status < 200 || status == 204 || status == 304 || method == "HEAD";
    let framing = match framing(&headers)? {
        _ if empty => Framing::Length(0),
        Some(framing) => framing,
        None => Framing::UntilClose,
    };
    let old = response.version == Some(0);
    let close =
        old || headers.list_contains("connection", "close") || framing == Framing::UntilClose;
    Ok(Some((ResponseHead { status, headers, framing, keep_alive: !close }, length)))
}

/// Framing by the headers; none if they state none.
fn framing(headers: &Headers) -> Result<Option<Framing>, Error> {
    let mut lengths = headers.all("content-length");
    let first = lengths.next();
    if lengths.next().is_some() {
        return Err(Error::Malformed("two lengths"));
    }
    let mut encodings = headers.all("transfer-encoding");
    let encoding = encodings.next();
    if encodings.next().is_some() {
        return Err(Error::Malformed("two encodings"));
    }
    match (first, encoding) {
        (Some(_), Some(_)) => Err(Error::Malformed("a length and an encoding")),
        (None, Some(encoding)) => {
            if !encoding.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(Error::Malformed("an encoding other than chunked"));
            }
            Ok(Some(Framing::Chunked))
        }
        (Some(length), None) => {
            let text = std::str::from_utf8(&length.value).unwrap_or_default().trim();
            let plain = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            let length = text.parse().ok().filter(|_| plain);
            let length = length.ok_or(Error::Malformed("a length that is not a number"))?;
            Ok(Some(Framing::Length(length)))
        }
        (None, None) => Ok(None),
    }
}

/// Accepts connections for as long as the executor runs, and serves each in a task of its own.
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
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Runs a future for at most `span`; none if it takes longer.
pub async fn within<Output, Work>(span: Duration, work: Work) -> Option<Output>
where
    Work: Future<Output = Output>,
{
    let late = async {
        Timer::after(span).await;
        None
    };
    let work = async { Some(work.await) };
    work.or(late).await
}
