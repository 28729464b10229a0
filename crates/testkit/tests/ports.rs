//! Ports of test processes that run at once.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use dotterelhoist_testkit::ports::Block;

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
