//! Ports for daemons that a test starts.
//!
//! Several test processes may run at once, and each plans the ports of its daemons before the
//! daemons listen on them. A process therefore claims a block of ports by listening on the first
//! one for as long as it runs, and assigns only the others of its own blocks.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// First port of the first block. All blocks lie below the system's ephemeral ports, so that no
/// outgoing connection occupies a port before its daemon listens on it.
const FIRST_PORT: u16 = 10_000;
/// Number of ports of a block, the first included.
const BLOCK_PORTS: u16 = 100;
/// Number of blocks.
const BLOCK_COUNT: u16 = 200;

/// A block of ports that belongs to this process until the value is dropped.
#[derive(Debug)]
pub struct Block {
    /// Listens on the first port, which claims the block.
    _claim: TcpListener,
    /// Next port to try.
    next: u16,
    /// Port after the last one.
    end: u16,
}

impl Block {
    /// Claims a block that no other process has claimed. The search starts at a block that depends
    /// on the process id, so that processes rarely compete for the same one.
    ///
    /// # Panics
    ///
    /// If all blocks are claimed.
    ///
    /// ```
    /// use dotterelhoist_testkit::ports::Block;
    ///
    /// let mut block = Block::claim();
    /// assert!(block.next_address().is_some());
    /// ```
    pub fn claim() -> Block {
        let offset = (std::process::id() % u32::from(BLOCK_COUNT)) as u16;
        let blocks = (0..BLOCK_COUNT).map(|index| (index + offset) % BLOCK_COUNT);
        let mut claimed = blocks.filter_map(|block| {
            let first = FIRST_PORT + block * BLOCK_PORTS;
            let claim = TcpListener::bind(loopback(first)).ok()?;
            Some(Block { _claim: claim, next: first + 1, end: first + BLOCK_PORTS })
        });
        claimed.next().expect("a block of ports is free")
    }

    /// The next address of the block on which nothing listens; none once all have been assigned.
    pub fn next_address(&mut self) -> Option<SocketAddr> {
        while self.next < self.end {
            let address = loopback(self.next);
            self.next += 1;
            let _no_process_starts = lock_descriptors();
            if TcpListener::bind(address).is_ok() {
                return Some(address);
            }
        }
        None
    }
}

/// Held while a port is checked, and while a process is started: a process that is being started
/// holds all sockets of this one until its program runs, so it would keep the checked port occupied.
static DESCRIPTORS: Mutex<()> = Mutex::new(());

/// Waits until no port is being checked and no process is being started, and keeps it that way
/// until the guard is dropped.
pub(crate) fn lock_descriptors() -> MutexGuard<'static, ()> {
    DESCRIPTORS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Blocks claimed by this process; addresses are assigned from the last one.
static BLOCKS: Mutex<Vec<Block>> = Mutex::new(Vec::new());

/// Assigns loopback addresses on which nothing listens, none of them twice in this process.
pub fn assign(count: usize) -> Vec<SocketAddr> {
    let mut blocks = BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    let mut addresses = Vec::new();
    while addresses.len() < count {
        match blocks.last_mut().and_then(Block::next_address) {
            Some(address) => addresses.push(address),
            None => blocks.push(Block::claim()),
        }
    }
    addresses
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
