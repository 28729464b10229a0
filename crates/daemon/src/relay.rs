//! Forwards a streamed answer to the caller while it arrives.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use dotterelhoist_core::event::Event;
use dotterelhoist_core::request::End;
use futures_lite::{AsyncBufRead, AsyncRead, Future, Stream};
use http_types::Response;
use smol::channel::Receiver;
use smol::Timer;

use crate::reactor::{Handle, Permission};
use crate::upstream::Connection;

/// Start of the data line of the last event of a stream.
const DONE_LINE: &[u8] = b"data: [DONE]";
/// Start of the data line of any event of a stream.
const DATA_PREFIX: &[u8] = b"data:";

/// Counts the server-sent events of a stream and detects its last event.
#[derive(Debug, Default)]
pub(crate) struct Scanner {
    /// First bytes of the current line, at most as many as [`DONE_LINE`] has.
    line_start: Vec<u8>,
    /// Data events seen, not counting `[DONE]`; each counts as one token.
    pub tokens: u64,
    /// Whether the last event, `[DONE]`, was seen.
    pub done: bool,
}

impl Scanner {
    /// Scans the next bytes of the stream, which may begin and end within a line.
    pub(crate) fn scan(&mut self, bytes: &[u8]) {
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            if self.line_start.len() < DONE_LINE.len() {
                let remaining = DONE_LINE.len() - self.line_start.len();
                let text = part.strip_suffix(b"\n").unwrap_or(part);
                self.line_start.extend(&text[..text.len().min(remaining)]);
            }
            if !part.ends_with(b"\n") {
                continue;
            }
            if self.line_start.starts_with(DONE_LINE) {
                self.done = true;
            } else if self.line_start.starts_with(DATA_PREFIX) {
                self.tokens += 1;
            }
            self.line_start.clear();
        }
    }
}

/// Conditions that cut off an answer before it is complete.
pub(crate) struct Cancellation {
    /// Closed by the reactor when the group is broken or has changed its generation; the attempt
    /// then ends as lost.
    pub abort: Receiver<()>,
    /// Expires when the reactor no longer extends it, for example because the process was
    /// suspended; the attempt then ends as lost.
    pub permission: Permission,
    /// Time by which the answer must be complete; the attempt then ends as timed out.
    pub deadline: std::time::Instant,
}

/// Body of an answer that is being forwarded. It reports the end of the attempt to the reactor
/// exactly once: when the answer is complete, when it fails, or when it is dropped because the
/// caller has disconnected.
pub(crate) struct Relay {
    /// Answer of the endpoint, whose body is read as it is forwarded.
    response: Response,
    /// Connection to the endpoint, until it is released to the pool.
    connection: Option<Connection>,
    abort: Pin<Box<Receiver<()>>>,
    permission: Permission,
    deadline: Timer,
    reactor: Handle,
    /// Number of the request.
    request_number: u64,
    /// Length of the body if the endpoint has declared it.
    expected_bytes: Option<usize>,
    forwarded_bytes: usize,
    /// Scanner of the events, if the answer is an event stream.
    scanner: Option<Scanner>,
    status: u16,
    /// Whether the end of the attempt was reported to the reactor.
    is_end_reported: bool,
}

impl Relay {
    /// Makes a body that forwards `response`, the answer to the request with this number.
    pub(crate) fn new(
        response: Response,
        connection: Connection,
        cancellation: Cancellation,
        reactor: Handle,
        request_number: u64,
        is_event_stream: bool,
    ) -> Relay {
        let status = response.status().into();
        let expected_bytes = response.len();
        Relay {
            response,
            connection: Some(connection),
            abort: Box::pin(cancellation.abort),
            permission: cancellation.permission,
            deadline: Timer::at(cancellation.deadline),
            reactor,
            request_number,
            expected_bytes,
            forwarded_bytes: 0,
            scanner: is_event_stream.then(Scanner::default),
            status,
            is_end_reported: false,
        }
    }

    /// Number of tokens forwarded so far, 0 if the answer is not an event stream.
    fn tokens(&self) -> u64 {
        self.scanner.as_ref().map_or(0, |scanner| scanner.tokens)
    }

    /// Reports the end of the attempt, unless one was reported already.
    fn report_end(&mut self, end: End) {
        if self.is_end_reported {
            return;
        }
        self.is_end_reported = true;
        self.reactor.send_event(Event::AttemptEnded { request: self.request_number, end });
    }

    /// Whether the whole answer was forwarded: all bytes of a declared length, and the last
    /// event if it is an event stream.
    fn is_complete(&self) -> bool {
        let length_matches =
            self.expected_bytes.is_none_or(|expected| expected == self.forwarded_bytes);
        length_matches && self.scanner.as_ref().is_none_or(|scanner| scanner.done)
    }

    /// Handles the end of the body: releases the connection and reports the answer if it is
    /// complete, else reports it as lost.
    fn finish(&mut self) -> io::Result<usize> {
        let tokens = self.tokens();
        if !self.is_complete() {
            return self.fail(true);
        }
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
        let (status, body) = (self.status, Vec::new());
        self.report_end(End::Answered { status, content_type: String::new(), body, tokens });
        Ok(0)
    }

    /// Reports the attempt as lost and returns the error that cuts off the answer for the caller.
    /// `crashed` says whether the connection broke as it does when the endpoint dies.
    fn fail(&mut self, crashed: bool) -> io::Result<usize> {
        let tokens = self.tokens();
        self.report_end(End::Lost { tokens, forwarded: true, crashed });
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

impl AsyncRead for Relay {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_end_reported {
            return Poll::Ready(Ok(0));
        }
        if self.abort.as_mut().poll_next(context).is_ready() {
            return Poll::Ready(self.fail(false));
        }
        if Pin::new(&mut self.deadline).poll(context).is_ready() {
            let tokens = self.tokens();
            self.report_end(End::TimedOut { tokens });
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let read = std::task::ready!(Pin::new(&mut self.response).poll_read(context, buffer));
        if !self.permission.is_valid() {
            return Poll::Ready(self.fail(false));
        }
        match read {
            Ok(0) => Poll::Ready(self.finish()),
            Err(_) => Poll::Ready(self.fail(true)),
            Ok(read) => {
                self.forwarded_bytes += read;
                if let Some(scanner) = &mut self.scanner {
                    scanner.scan(&buffer[..read]);
                }
                Poll::Ready(Ok(read))
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let tokens = self.tokens();
        self.report_end(End::CallerGone { tokens });
    }
}

/// Wraps a relay in a buffered reader, which `http-types` requires for a body.
pub(crate) fn into_reader(relay: Relay) -> impl AsyncBufRead + Unpin + Send + Sync + 'static {
    futures_lite::io::BufReader::new(relay)
}
