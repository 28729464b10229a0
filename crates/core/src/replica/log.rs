//! Entries held in memory, with what is known of their durability.

use std::collections::VecDeque;

use super::message::{Entry, Snapshot, Voter};

/// The tail of a log after its snapshot.
#[derive(Debug)]
pub struct Log {
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
    /// Voter lists in the tail, oldest first; the first comes from the snapshot or the founders.
    voters: Vec<Listed>,
    durable: u64,
    writing: VecDeque<Writing>,
}

/// A voter list and the index from which it holds.
#[derive(Debug)]
struct Listed {
    index: u64,
    voters: Vec<Voter>,
}

/// A write under way, and the last index that is durable once it is synced.
#[derive(Debug)]
struct Writing {
    sequence: u64,
    last: u64,
}

impl Log {
    pub(super) fn open(snapshot: Snapshot, entries: Vec<Entry>, founders: Vec<Voter>) -> Log {
        let first = if snapshot.voters.is_empty() { founders } else { snapshot.voters.clone() };
        let mut log = Log {
            durable: snapshot.index,
            voters: vec![Listed { index: snapshot.index, voters: first }],
            snapshot,
            entries: VecDeque::new(),
            writing: VecDeque::new(),
        };
        log.append(entries);
        log.durable = log.last_index();
        log
    }

    pub(super) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(super) fn voters(&self) -> &[Voter] {
        self.voters.last().map_or(&[], |listed| &listed.voters)
    }

    pub(super) fn voters_index(&self) -> u64 {
        self.voters.last().map_or(0, |listed| listed.index)
    }

    pub(super) fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    pub(super) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.snapshot.term, |entry| entry.term)
    }

    pub(super) fn durable_index(&self) -> u64 {
        self.durable
    }

    pub(super) fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    pub(super) fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(offset as usize)
    }

    pub(super) fn append(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if !entry.voters.is_empty() {
                self.voters.push(Listed { index: entry.index, voters: entry.voters.clone() });
            }
            self.entries.push_back(entry);
        }
    }

    /// Entries from `first` on that this log lacks or holds with another term.
    pub(super) fn first_new(&self, mut entries: Vec<Entry>) -> Vec<Entry> {
        let known = entries.iter().take_while(|entry| {
            entry.index <= self.snapshot.index || self.term(entry.index) == Some(entry.term)
        });
        let known = known.count();
        entries.split_off(known)
    }

    /// Drops the entries from `index` on.
    pub(super) fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(keep as usize);
        while self.voters.len() > 1 && self.voters_index() >= index {
            self.voters.pop();
        }
        self.durable = self.durable.min(index - 1);
        for writing in &mut self.writing {
            writing.last = writing.last.min(index - 1);
        }
    }

    /// Entries from `first` on, bounded in number and bytes, at least one if there is any.
    pub(super) fn batch(&self, first: u64, count: usize, bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let skip = (first - self.snapshot.index - 1) as usize;
        let tail = self.entries.iter().skip(skip).take(count);
        tail.take_while(|entry| {
            let fits = size < bytes;
            size += entry.command.len();
            fits
        })
        .cloned()
        .collect()
    }

    /// Replaces the entries up to `index` by a snapshot and returns it.
    pub(super) fn compact(&mut self, index: u64, state_machine: Vec<u8>) -> Snapshot {
        let term = self.term(index).unwrap_or(self.snapshot.term);
        let at = self.voters.iter().rposition(|listed| listed.index <= index).unwrap_or(0);
        self.voters.drain(..at);
        let voters = self.voters[0].voters.clone();
        let covered = index - self.snapshot.index;
        self.entries.drain(..covered as usize);
        self.snapshot = Snapshot { index, term, voters, state_machine, ..Snapshot::default() };
        self.snapshot.clone()
    }

    /// Takes over a snapshot of the leader.
    pub(super) fn install(&mut self, mut snapshot: Snapshot) {
        snapshot.leader = None;
        if self.term(snapshot.index) == Some(snapshot.term) {
            let covered = snapshot.index - self.snapshot.index;
            self.entries.drain(..covered as usize);
        } else {
            self.entries.clear();
            self.writing.clear();
            self.durable = snapshot.index;
        }
        self.voters.retain(|listed| listed.index > snapshot.index);
        if self.entries.is_empty() {
            self.voters.clear();
        }
        self.voters.insert(0, Listed { index: snapshot.index, voters: snapshot.voters.clone() });
        self.durable = self.durable.max(snapshot.index);
        self.snapshot = snapshot;
    }

    /// Notes that a write of the newest entries has begun.
    pub(super) fn writing(&mut self, sequence: u64) {
        let last = self.last_index();
        self.writing.push_back(Writing { sequence, last });
    }

    /// Notes that all writes up to `sequence` are synced.
    pub(super) fn synced(&mut self, sequence: u64) {
        while self.writing.front().is_some_and(|writing| writing.sequence <= sequence) {
            if let Some(writing) = self.writing.pop_front() {
                self.durable = self.durable.max(writing.last);
            }
        }
    }
}
