//! Ports of test processes that run at once.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};

use dotterelhoist_testkit::ports::{self, Block};
use dotterelhoist_testkit::process::Process;

/// Two test processes each claim a block and plan all addresses before any daemon listens.
#[test]
fn blocks_claimed_at_once_share_no_address() {
    let mut blocks: Vec<Block> = (0..4).map(|_| Block::claim()).collect();
    let mut planned: Vec<SocketAddr> = Vec::new();
    for block in &mut blocks {
        planned.extend(std::iter::from_fn(|| block.next_address()));
    }
    let distinct: BTreeSet<&SocketAddr> = planned.iter().collect();
    assert_eq!(distinct.len(), planned.len());
    assert!(planned.len() >= 4 * 90, "{} addresses in 4 blocks", planned.len());
}

/// The tests of one program run in threads, which plan addresses while others start daemons.
#[test]
fn address_assigned_while_processes_start_is_free() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let log = folder.path().join("log");
    let done = AtomicBool::new(false);
    let occupied = std::thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    Process::spawn(&["true".into()], &[], &log)
                        .expect("the program can be started");
                }
            });
        }
        let addresses = (0..2000).map(|_| ports::assign(1)[0]);
        let occupied: Vec<SocketAddr> =
            addresses.filter(|address| TcpListener::bind(address).is_err()).collect();
        done.store(true, Ordering::Relaxed);
        occupied
    });
    assert!(occupied.is_empty(), "occupied after assignment: {occupied:?}");
}
