//! Forwards an answer while it arrives.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use dotterelhoist_core::event::Event;
use dotterelhoist_core::request::End;
use futures_lite::{AsyncBufRead, AsyncRead, Future, Stream};
use http_types::Response;
use smol::channel::Receiver;
use smol::Timer;

use crate::reactor::{Desk, Permit};
use crate::upstream::Lease;

/// Last event of a stream.
const DONE: &[u8] = b"data: [DONE]";
/// Start of each event of a stream.
const DATA: &[u8] = b"data:";

/// Counts the events of a stream and watches for its end.
#[derive(Debug, Default)]
pub(crate) struct Scanner {
    line: Vec<u8>,
    /// Events seen, without the last one.
    pub tokens: u64,
    /// Whether the last event was seen.
    pub done: bool,
}

impl Scanner {
    pub(crate) fn scan(&mut self, bytes: &[u8]) {
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            if self.line.len() < DONE.len() {
                let room = DONE.len() - self.line.len();
                let text = part.strip_suffix(b"\n").unwrap_or(part);
                self.line.extend(&text[..text.len().min(room)]);
            }
            if !part.ends_with(b"\n") {
                continue;
            }
            if self.line.starts_with(DONE) {
                self.done = true;
            } else if self.line.starts_with(DATA) {
                self.tokens += 1;
            }
            self.line.clear();
        }
    }
}

/// What ends the forwarding of an answer.
pub(crate) struct Limits {
    /// Is closed when the group breaks.
    pub abort: Receiver<()>,
    /// Expires when this process stands still.
    pub permit: Permit,
    /// Moment by which the answer must be whole.
    pub deadline: std::time::Instant,
}

/// An answer on its way to the caller. It reports its end to the reactor exactly once: when it is
/// whole, when it breaks, or when the caller drops it.
pub(crate) struct Relay {
    response: Response,
    lease: Option<Lease>,
    abort: Pin<Box<Receiver<()>>>,
    permit: Permit,
    deadline: Timer,
    desk: Desk,
    request: u64,
    expected: Option<usize>,
    forwarded: usize,
    events: Option<Scanner>,
    status: u16,
    ended: bool,
}

impl Relay {
    pub(crate) fn new(
        response: Response,
        lease: Lease,
        limits: Limits,
        desk: Desk,
        request: u64,
        events: bool,
    ) -> Relay {
        let status = response.status().into();
        let expected = response.len();
        Relay {
            response,
            lease: Some(lease),
            abort: Box::pin(limits.abort),
            permit: limits.permit,
            deadline: Timer::at(limits.deadline),
            desk,
            request,
            expected,
            forwarded: 0,
            events: events.then(Scanner::default),
            status,
            ended: false,
        }
    }

    fn tokens(&self) -> u64 {
        self.events.as_ref().map_or(0, |scanner| scanner.tokens)
    }

    fn report(&mut self, end: End) {
        if self.ended {
            return;
        }
        self.ended = true;
        self.desk.event(Event::AttemptEnded { request: self.request, end });
    }

    fn is_whole(&self) -> bool {
        let length = self.expected.is_none_or(|expected| expected == self.forwarded);
        length && self.events.as_ref().is_none_or(|scanner| scanner.done)
    }

    fn finish(&mut self) -> io::Result<usize> {
        let tokens = self.tokens();
        if !self.is_whole() {
            return self.fail(true);
        }
        if let Some(lease) = self.lease.take() {
            lease.give_back();
        }
        let (status, body) = (self.status, Vec::new());
        self.report(End::Answered { status, content_type: String::new(), body, tokens });
        Ok(0)
    }

    fn fail(&mut self, crashed: bool) -> io::Result<usize> {
        let tokens = self.tokens();
        self.report(End::Lost { tokens, forwarded: true, crashed });
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

impl AsyncRead for Relay {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.ended {
            return Poll::Ready(Ok(0));
        }
        if self.abort.as_mut().poll_next(context).is_ready() {
            return Poll::Ready(self.fail(false));
        }
        if Pin::new(&mut self.deadline).poll(context).is_ready() {
            let tokens = self.tokens();
            self.report(End::TimedOut { tokens });
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let read = std::task::ready!(Pin::new(&mut self.response).poll_read(context, buffer));
        if !self.permit.holds() {
            return Poll::Ready(self.fail(false));
        }
        match read {
            Ok(0) => Poll::Ready(self.finish()),
            Err(_) => Poll::Ready(self.fail(true)),
            Ok(read) => {
                self.forwarded += read;
                if let Some(scanner) = &mut self.events {
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
        self.report(End::CallerGone { tokens });
    }
}

/// Wraps a relay for `http-types`, which asks for buffered readers.
pub(crate) fn buffered(relay: Relay) -> impl AsyncBufRead + Unpin + Send + Sync + 'static {
    futures_lite::io::BufReader::new(relay)
}
