//! The in-memory log: a snapshot, the entries after it, and how far they are synced to disk.

use std::collections::VecDeque;

use super::message::{Entry, Snapshot, Voter};

/// The newest snapshot of a log and all entries after it.
#[derive(Debug)]
pub struct Log {
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
    /// The voter list of the snapshot (of a new log, the initial voters, empty if they are not
    /// known), then those that entries set, oldest first.
    voters: Vec<VoterList>,
    /// Highest index up to which all entries are synced.
    durable_index: u64,
    /// Writes that are not synced yet, oldest first.
    pending_writes: VecDeque<PendingWrite>,
}

/// A voter list and the index of the entry that set it. It holds as soon as that entry is appended.
#[derive(Debug)]
struct VoterList {
    index: u64,
    voters: Vec<Voter>,
}

/// A write that has been output and not synced.
#[derive(Debug)]
struct PendingWrite {
    /// Sequence number of the write.
    sequence: u64,
    /// Index up to which all entries are durable once this write is synced.
    last_index: u64,
}

impl Log {
    pub(super) fn open(snapshot: Snapshot, entries: Vec<Entry>, initial_voters: Vec<Voter>) -> Log {
        let base_voters =
            if snapshot.voters.is_empty() { initial_voters } else { snapshot.voters.clone() };
        let mut log = Log {
            durable_index: snapshot.index,
            voters: vec![VoterList { index: snapshot.index, voters: base_voters }],
            snapshot,
            entries: VecDeque::new(),
            pending_writes: VecDeque::new(),
        };
        log.append(entries);
        log.durable_index = log.last_index();
        log
    }

    pub(super) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Voter list as of the last entry, whether or not it is committed.
    pub(super) fn voters(&self) -> &[Voter] {
        self.voters.last().map_or(&[], |list| &list.voters)
    }

    /// Index of the entry that set the current voter list.
    pub(super) fn voters_index(&self) -> u64 {
        self.voters.last().map_or(0, |list| list.index)
    }

    /// The initial voters, as long as neither the snapshot nor an entry has a voter list; until then
    /// only they know who votes.
    pub(super) fn unwritten_voters(&self) -> &[Voter] {
        let is_written = self.voters.len() > 1 || !self.snapshot.voters.is_empty();
        if is_written {
            return &[];
        }
        self.voters()
    }

    /// Sets the initial voters of a log that knows no voters.
    pub(super) fn set_initial_voters(&mut self, voters: Vec<Voter>) {
        self.voters = vec![VoterList { index: self.snapshot.index, voters }];
    }

    pub(super) fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    pub(super) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.snapshot.term, |entry| entry.term)
    }

    pub(super) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Term of the entry at `index`, or `None` if it is before the snapshot's index or after the
    /// last entry.
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
                self.voters.push(VoterList { index: entry.index, voters: entry.voters.clone() });
            }
            self.entries.push_back(entry);
        }
    }

    /// `entries` without the leading ones that this log has with the same term or that the snapshot
    /// covers.
    pub(super) fn missing_suffix(&self, mut entries: Vec<Entry>) -> Vec<Entry> {
        let known = entries.iter().take_while(|entry| {
            entry.index <= self.snapshot.index || self.term(entry.index) == Some(entry.term)
        });
        let known = known.count();
        entries.split_off(known)
    }

    /// Removes the entries from `index` on, and the voter lists that they set.
    pub(super) fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(keep as usize);
        while self.voters.len() > 1 && self.voters_index() >= index {
            self.voters.pop();
        }
        self.durable_index = self.durable_index.min(index - 1);
        for write in &mut self.pending_writes {
            write.last_index = write.last_index.min(index - 1);
        }
    }

    /// At most `count` entries from index `first` on. Stops once the commands add up to `bytes`, so
    /// the last entry may exceed that limit.
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

    /// Replaces the entries up to `index` by a snapshot with the encoded `state_machine`, and
    /// returns it.
    pub(super) fn compact(&mut self, index: u64, state_machine: Vec<u8>) -> Snapshot {
        let term = self.term(index).unwrap_or(self.snapshot.term);
        let at = self.voters.iter().rposition(|list| list.index <= index).unwrap_or(0);
        self.voters.drain(..at);
        let voters = self.voters[0].voters.clone();
        let covered = index - self.snapshot.index;
        self.entries.drain(..covered as usize);
        self.snapshot = Snapshot { index, term, voters, state_machine, ..Snapshot::default() };
        self.snapshot.clone()
    }

    /// Installs a snapshot from the leader. Later entries are kept only if the log has the
    /// snapshot's last entry with the same term; otherwise the log conflicts with the leader's and
    /// is dropped.
    pub(super) fn install(&mut self, mut snapshot: Snapshot) {
        snapshot.leader = None;
        if self.term(snapshot.index) == Some(snapshot.term) {
            let covered = snapshot.index - self.snapshot.index;
            self.entries.drain(..covered as usize);
        } else {
            self.entries.clear();
            self.pending_writes.clear();
            self.durable_index = snapshot.index;
        }
        self.voters.retain(|list| list.index > snapshot.index);
        if self.entries.is_empty() {
            self.voters.clear();
        }
        self.voters.insert(0, VoterList { index: snapshot.index, voters: snapshot.voters.clone() });
        self.durable_index = self.durable_index.max(snapshot.index);
        self.snapshot = snapshot;
    }

    /// Records that a write has been output. Once it is synced, all entries that the log now has
    /// are durable.
    pub(super) fn begin_write(&mut self, sequence: u64) {
        let last_index = self.last_index();
        self.pending_writes.push_back(PendingWrite { sequence, last_index });
    }

    /// Records that all writes up to `sequence` are synced.
    pub(super) fn mark_synced(&mut self, sequence: u64) {
        while self.pending_writes.front().is_some_and(|write| write.sequence <= sequence) {
            if let Some(write) = self.pending_writes.pop_front() {
                self.durable_index = self.durable_index.max(write.last_index);
            }
        }
    }
}
