//! Reading from a peer that sends without end.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use dotterelhoist_wire::stream::{Allowance, Stream};
use smol::future::yield_now;
use smol::io::{AsyncRead, AsyncReadExt};
use smol::LocalExecutor;

/// Bytes that the peer of a test sends.
const FLOOD_BYTES: usize = 1 << 20;

/// A stream that always has bytes, up to a number.
struct Flood {
    left: usize,
}

impl AsyncRead for Flood {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = buffer.len().min(self.left);
        buffer[..count].fill(b'x');
        self.left -= count;
        Poll::Ready(Ok(count))
    }
}

#[test]
fn reads_that_never_wait_let_other_tasks_run() {
    let executor = LocalExecutor::new();
    let rounds = Rc::new(Cell::new(0));
    let counted = rounds.clone();
    executor
        .spawn(async move {
            loop {
                counted.set(counted.get() + 1);
                yield_now().await;
            }
        })
        .detach();
    let read = async move {
        let mut buffer = [0u8; 1024];
        let mut stream = Stream::open(Flood { left: FLOOD_BYTES });
        while stream.read(&mut buffer).await.expect("the flood does not fail") > 0 {}
        rounds.get()
    };
    let rounds = smol::block_on(executor.run(executor.spawn(read)));
    assert!(rounds >= 100, "the other task has run {rounds} times before the end");
}

#[test]
fn reads_beyond_the_allowance_fail_until_it_is_raised() {
    smol::block_on(async {
        let allowance = Allowance::open(1000);
        let flood = Flood { left: FLOOD_BYTES };
        let mut stream = Stream::with_allowance(flood, allowance.clone());
        let mut buffer = [0u8; 600];
        assert_eq!(stream.read(&mut buffer).await.ok(), Some(600));
        assert!(stream.read(&mut buffer).await.is_err());
        allowance.set(usize::MAX);
        assert_eq!(stream.read(&mut buffer).await.ok(), Some(600));
    });
}
