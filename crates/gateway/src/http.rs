//! HTTP/1.1 on the path between callers and endpoints.
//!
//! Other interfaces of dotterelhoist use `async-h1`. It is not suitable for proxying: it rewrites
//! paths, reads bodies in full and does not expose how a response is framed. This module therefore
//! parses heads with `httparse` and reads bodies itself, within size limits. Messages whose framing
//! is ambiguous are refused.

use std::future::{poll_fn, Future};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;
use dotterelhoist_fleet::Name;
use dotterelhoist_wire::stream::Turn;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWriteExt, FutureExt};
use smallvec::SmallVec;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};

use self::body::Step;
use self::head::{parse_request_head, parse_response_head};
use self::status::Kind;

use crate::memory::Reservation;

pub use self::body::BodyReader;
pub use self::head::{is_hop_by_hop, Framing, Header, Headers, RequestHead, ResponseHead};

pub(crate) use self::body::push_chunk;
pub(crate) use self::head::push_header;

mod body;
mod head;
mod status;

/// Size of the buffer for one read from a socket.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Requests of which a connection keeps the ids, to tell responses that come once more.
const MAX_CARRIED_IDS: usize = 4;
/// Delay before the next attempt to accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Why a message can't be received.
#[derive(Debug, Display)]
pub enum Error {
    /// the connection closed before the first byte of a message
    Closed,
    /// the connection failed: {0}
    Broken(io::Error),
    /// the connection closed within a head
    CutInHead,
    /// the connection closed within a body
    CutInBody,
    /// malformed HTTP message: {0}
    Malformed(&'static str),
    /// the head exceeds its size limit or has too many headers
    HeadTooLong,
    /// the interim responses before a head exceed their size limit
    InterimTooLong,
    /// the trailer fields exceed their size limit
    TrailerTooLong,
    /// the chunk sizes and extensions exceed their size limit
    ChunksTooLong,
    /// the body exceeds its size limit
    BodyTooLong,
    /// the bodies that are held exceed the memory for them
    NoMemory,
}

impl std::error::Error for Error {}

/// A connection with a read buffer.
#[derive(Debug)]
pub struct Connection {
    /// The socket; clones of it may be used for writing.
    pub stream: TcpStream,
    /// Bytes that were read and not yet parsed.
    pub buffer: BytesMut,
    /// Lets other tasks run while bytes arrive faster than they are handled.
    turn: Turn,
    /// Ids of the last [`MAX_CARRIED_IDS`] requests that were sent on it, the newest last.
    carried: SmallVec<[Name; 2]>,
}

impl Connection {
    /// Wraps a socket and disables Nagle's algorithm on it.
    pub fn open(stream: TcpStream) -> Connection {
        stream.set_nodelay(true).ok();
        let carried = SmallVec::new();
        Connection { stream, buffer: BytesMut::new(), turn: Turn::default(), carried }
    }

    /// Records that it has carried the request with this id.
    pub fn record_carried(&mut self, id: &Name) {
        if self.carried.len() == MAX_CARRIED_IDS {
            self.carried.remove(0);
        }
        self.carried.push(id.clone());
    }

    /// Whether it has carried the request with this id, of late.
    pub fn has_carried(&self, id: &str) -> bool {
        self.carried.iter().any(|carried| **carried == *id)
    }

    /// Whether it has carried no request.
    pub fn is_new(&self) -> bool {
        self.carried.is_empty()
    }

    /// Reads once into the buffer and returns the number of bytes; 0 means that the other side has
    /// closed the connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let Connection { stream, buffer, turn, .. } = self;
        // The bytes are read onto the stack of a poll: a future that held them would be large, and so
        // would each request's task.
        let read = poll_fn(|context| {
            turn.poll(context, |context| {
                let mut chunk = [0u8; READ_BUFFER_BYTES];
                let read = Pin::new(&mut *stream).poll_read(context, &mut chunk);
                if let Poll::Ready(Ok(count)) = &read {
                    buffer.extend_from_slice(&chunk[..*count]);
                }
                read
            })
        });
        read.await
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

    /// Reads the head of the response to a request with this method; skips interim responses (status
    /// 100 and 102 to 199) of together at most `max_bytes`. A head that is still incomplete once more
    /// than `max_bytes` are buffered is too long.
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
        let mut interim_bytes = 0;
        loop {
            if let Some((head, length)) = parse_response_head(&self.buffer, method)? {
                self.buffer.advance(length);
                if Kind::of(head.status)? == Kind::Final {
                    return Ok(head);
                }
                interim_bytes += length;
                if interim_bytes > max_bytes {
                    return Err(Error::InterimTooLong);
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
            Ok(0) => Err(Error::CutInHead),
            Ok(_) => Ok(()),
            Err(error) if nothing_received && error.kind() == io::ErrorKind::ConnectionReset => {
                Err(Error::Closed)
            }
            Err(error) => Err(Error::Broken(error)),
        }
    }

    /// Reads a complete body of at most `max_bytes`, which `reservation` holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated, malformed or too long, or if its bytes can't be
    /// reserved.
    pub async fn read_body(
        &mut self,
        framing: Framing,
        max_bytes: usize,
        reservation: &mut Reservation,
    ) -> Result<Bytes, Error> {
        if matches!(framing, Framing::Length(length) if length > max_bytes as u64) {
            return Err(Error::BodyTooLong);
        }
        let mut body = BodyReader::new(framing);
        let mut complete = BytesMut::new();
        while let Some(part) = self.read_part(&mut body).await? {
            if complete.len() + part.len() > max_bytes {
                return Err(Error::BodyTooLong);
            }
            if !reservation.resize(complete.len() + part.len()) {
                return Err(Error::NoMemory);
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
                Ok(0) => return Err(Error::CutInBody),
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
