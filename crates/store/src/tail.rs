//! The file to which batches are appended.

use std::collections::BTreeMap;

use dotterelhoist_core::replica::message::{Entry, Snapshot};
use dotterelhoist_core::replica::{Stored, Write};
use prost::Message;

use super::disk::Disk;
use super::record::{self, Ballot, Batch, Read};
use super::Error;

/// The file.
const TAIL: &str = "tail";
/// The file while it is written anew.
const TAIL_NEW: &str = "tail.new";

/// What the file holds, so that it can be written anew behind a snapshot.
#[derive(Debug, Default)]
pub(crate) struct Tail {
    ballot: Ballot,
    entries: BTreeMap<u64, Entry>,
}

impl Tail {
    /// Reads the file and cuts off a torn record at its end.
    pub(crate) fn open<Files>(disk: &mut Files, snapshot: Snapshot) -> Result<(Tail, Stored), Error>
    where
        Files: Disk,
    {
        let mut tail = Tail::default();
        let bytes = disk.read(TAIL)?.unwrap_or_default();
        let mut offset = 0;
        while offset < bytes.len() {
            match record::read(&bytes, offset) {
                Read::Whole(payload, next) => {
                    let batch = Batch::decode(payload)
                        .map_err(|_| disk.damaged(TAIL, offset, "the content does not decode"))?;
                    tail.take_in(batch);
                    offset = next;
                }
                Read::Torn => {
                    disk.truncate(TAIL, offset)?;
                    disk.sync(TAIL)?;
                    break;
                }
                Read::Damaged(detail) => return Err(disk.damaged(TAIL, offset, detail)),
            }
        }
        tail.cover(&snapshot);
        let mut entries: Vec<Entry> = Vec::new();
        for (index, entry) in &tail.entries {
            if *index != snapshot.index + entries.len() as u64 + 1 {
                return Err(disk.damaged(TAIL, 0, "entries are missing"));
            }
            entries.push(entry.clone());
        }
        let vote = tail.ballot.vote_name();
        let Ballot { term, led, .. } = tail.ballot;
        let stored = Stored { term, vote, led, snapshot, entries };
        Ok((tail, stored))
    }

    /// Appends a batch and syncs it.
    pub(crate) fn append<Files>(&mut self, disk: &mut Files, writes: &[Write]) -> Result<(), Error>
    where
        Files: Disk,
    {
        if writes.is_empty() {
            return Ok(());
        }
        let batch = Batch::of(writes);
        disk.append(TAIL, &record::frame(&batch.encode_to_vec()))?;
        disk.sync(TAIL)?;
        self.take_in(batch);
        Ok(())
    }

    /// Writes the file anew without what a snapshot covers.
    pub(crate) fn rewrite<Files>(
        &mut self,
        disk: &mut Files,
        snapshot: &Snapshot,
    ) -> Result<(), Error>
    where
        Files: Disk,
    {
        self.cover(snapshot);
        self.rebuild(disk)
    }

    /// Writes the file anew with what it held when it was last synced.
    pub(crate) fn rebuild<Files>(&mut self, disk: &mut Files) -> Result<(), Error>
    where
        Files: Disk,
    {
        let batch = Batch {
            ballot: Some(self.ballot.clone()),
            entries: self.entries.values().cloned().collect(),
        };
        disk.create(TAIL_NEW, &record::frame(&batch.encode_to_vec()))?;
        disk.sync(TAIL_NEW)?;
        disk.rename(TAIL_NEW, TAIL)?;
        disk.sync_folder()
    }

    fn take_in(&mut self, batch: Batch) {
        if let Some(ballot) = batch.ballot {
            self.ballot = ballot;
        }
        for entry in batch.entries {
            self.entries.split_off(&entry.index);
            self.entries.insert(entry.index, entry);
        }
    }

    /// Drops the entries that a snapshot covers, and all if they belong to another history. Entries
    /// are contiguous, so if the one at the snapshot's index is not there, what follows was written
    /// behind this snapshot.
    fn cover(&mut self, snapshot: &Snapshot) {
        if snapshot.index == 0 {
            return;
        }
        let agrees =
            self.entries.get(&snapshot.index).is_none_or(|entry| entry.term == snapshot.term);
        let rest = self.entries.split_off(&(snapshot.index + 1));
        self.entries = if agrees { rest } else { BTreeMap::new() };
    }
}
