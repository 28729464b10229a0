//! Reading from a peer that may send faster than its bytes are handled, or without end.
//!
//! A task whose socket always has bytes never waits, so that no other task of its executor runs, and
//! no timer. [`Turn`] makes such a task wait for the others at regular intervals; [`Stream`] does so
//! for libraries that read from a stream themselves, and bounds what they may read.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use smol::io::{AsyncRead, AsyncWrite};

/// Reads in a row that a task makes without waiting, before other tasks run.
const READS_PER_TURN: u32 = 4;

/// Counts the reads of a task since it has last waited.
///
/// ```
/// use std::future::poll_fn;
/// use std::task::Poll;
///
/// use dotterelhoist_wire::stream::Turn;
///
/// smol::block_on(async {
///     let mut turn = Turn::default();
///     let mut polls = 0;
///     for _ in 0..100 {
///         poll_fn(|context| {
///             polls += 1;
///             turn.poll(context, |_| Poll::Ready(()))
///         })
///         .await;
///     }
///     assert!(polls > 100, "no read has waited");
/// });
/// ```
#[derive(Debug, Default)]
pub struct Turn {
    reads: u32,
}

impl Turn {
    /// Polls a read, unless the turn of the task is over: then it is woken to read after the other
    /// tasks that are ready.
    pub fn poll<Output, Read>(&mut self, context: &mut Context<'_>, read: Read) -> Poll<Output>
    where
        Read: FnOnce(&mut Context<'_>) -> Poll<Output>,
    {
        if self.reads >= READS_PER_TURN {
            self.reads = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = read(context);
        self.reads = if polled.is_ready() { self.reads + 1 } else { 0 };
        polled
    }
}

/// Number of bytes that may still be read from a [`Stream`]; clones share it.
#[derive(Clone, Debug)]
pub struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    /// An allowance of this many bytes.
    pub fn open(bytes: usize) -> Allowance {
        Allowance(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Replaces what is left of the allowance.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Takes bytes that were read from the allowance; false if they are more than was left.
    fn take(&self, bytes: usize) -> bool {
        let taken = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
            if left == usize::MAX {
                return Some(left);
            }
            left.checked_sub(bytes)
        });
        taken.is_ok()
    }
}

/// A stream whose reads let other tasks run and fail beyond an allowance.
#[derive(Debug)]
pub struct Stream<Inner> {
    inner: Inner,
    turn: Turn,
    allowance: Allowance,
}

impl<Inner> Stream<Inner> {
    /// Wraps a stream of which any number of bytes may be read.
    pub fn open(inner: Inner) -> Stream<Inner> {
        Stream::with_allowance(inner, Allowance::open(usize::MAX))
    }

    /// Wraps a stream of which as many bytes may be read as the allowance states.
    pub fn with_allowance(inner: Inner, allowance: Allowance) -> Stream<Inner> {
        Stream { inner, turn: Turn::default(), allowance }
    }

    /// The stream that is wrapped.
    pub fn inner(&self) -> &Inner {
        &self.inner
    }
}

impl<Inner> Clone for Stream<Inner>
where
    Inner: Clone,
{
    fn clone(&self) -> Stream<Inner> {
        Stream::with_allowance(self.inner.clone(), self.allowance.clone())
    }
}

impl<Inner> AsyncRead for Stream<Inner>
where
    Inner: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let Stream { inner, turn, allowance } = &mut *self;
        let read = turn.poll(context, |context| Pin::new(inner).poll_read(context, buffer));
        let count = std::task::ready!(read)?;
        if !allowance.take(count) {
            return Poll::Ready(Err(io::Error::other("more bytes than are allowed")));
        }
        Poll::Ready(Ok(count))
    }
}

impl<Inner> AsyncWrite for Stream<Inner>
where
    Inner: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
