//! The write-ahead log: the file to which batches of writes are appended.

use std::collections::BTreeMap;

use dotterelhoist_core::replica::message::{Entry, Snapshot};
use dotterelhoist_core::replica::{Stored, Write};
use prost::Message;

use super::disk::{self, Disk};
use super::record::{self, Ballot, Batch, Parsed};
use super::Error;

/// File of the write-ahead log.
const WAL_FILE: &str = "tail";
/// New write-ahead log, until it is complete and renamed to [`WAL_FILE`].
const WAL_NEW_FILE: &str = "tail.new";

/// Copy in memory of what the write-ahead log holds, from which the file is rewritten.
#[derive(Debug, Default)]
pub(crate) struct Wal {
    /// Last synced term and vote.
    ballot: Ballot,
    /// Synced entries after the snapshot, by index; the indices are contiguous.
    entries: BTreeMap<u64, Entry>,
}

impl Wal {
    /// Reads the file, truncates a torn record at its end and syncs the rest. Returns the log, and the state
    /// that results from the snapshot and the log.
    pub(crate) fn open<Backend>(
        disk: &mut Backend,
        snapshot: Snapshot,
    ) -> Result<(Wal, Stored), Error>
    where
        Backend: Disk,
    {
        let mut wal = Wal::default();
        let bytes = disk.read(WAL_FILE)?.unwrap_or_default();
        let mut offset = 0;
        while offset < bytes.len() {
            match record::read(&bytes, offset) {
                Parsed::Valid(payload, next) => {
                    let batch = Batch::decode(payload).map_err(|_| {
                        disk.damage_error(WAL_FILE, offset, "the content does not decode")
                    })?;
                    wal.apply(batch);
                    offset = next;
                }
                Parsed::Torn => {
                    disk.truncate(WAL_FILE, offset)?;
                    break;
                }
                Parsed::Damaged(detail) => return Err(disk.damage_error(WAL_FILE, offset, detail)),
            }
        }
        if !bytes.is_empty() {
            // An earlier process may have ended before it had synced what it wrote.
            disk.sync(WAL_FILE)?;
        }
        wal.remove_covered(&snapshot);
        let mut entries: Vec<Entry> = Vec::new();
        for (index, entry) in &wal.entries {
            if *index != snapshot.index + entries.len() as u64 + 1 {
                return Err(disk.damage_error(
                    WAL_FILE,
                    0,
                    "entries after the snapshot are missing",
                ));
            }
            entries.push(entry.clone());
        }
        let vote = wal.ballot.vote_name();
        let Ballot { term, led, .. } = wal.ballot;
        let stored = Stored { term, vote, led, snapshot, entries, ..Stored::default() };
        Ok((wal, stored))
    }

    /// Appends a batch and syncs it.
    pub(crate) fn append<Backend>(
        &mut self,
        disk: &mut Backend,
        writes: &[Write],
    ) -> Result<(), Error>
    where
        Backend: Disk,
    {
        if writes.is_empty() {
            return Ok(());
        }
        let batch = Batch::from_writes(writes);
        disk.append(WAL_FILE, &record::encode(&batch.encode_to_vec()))?;
        disk.sync(WAL_FILE)?;
        self.apply(batch);
        Ok(())
    }

    /// Rewrites the file without the entries that a snapshot covers.
    pub(crate) fn compact<Backend>(
        &mut self,
        disk: &mut Backend,
        snapshot: &Snapshot,
    ) -> Result<(), Error>
    where
        Backend: Disk,
    {
        self.remove_covered(snapshot);
        self.rewrite(disk)
    }

    /// Replaces the file by a new one with the state as of the last sync, as a single record.
    pub(crate) fn rewrite<Backend>(&mut self, disk: &mut Backend) -> Result<(), Error>
    where
        Backend: Disk,
    {
        let batch = Batch {
            ballot: Some(self.ballot.clone()),
            entries: self.entries.values().cloned().collect(),
        };
        let bytes = record::encode(&batch.encode_to_vec());
        disk::replace(disk, WAL_FILE, WAL_NEW_FILE, &bytes)
    }

    /// Updates the copy in memory with a batch that has been synced to disk.
    fn apply(&mut self, batch: Batch) {
        if let Some(ballot) = batch.ballot {
            self.ballot = ballot;
        }
        for entry in batch.entries {
            self.entries.split_off(&entry.index);
            self.entries.insert(entry.index, entry);
        }
    }

    /// Removes the entries that a snapshot covers. If the entry at the snapshot's index has another
    /// term, the log has diverged, and the later entries are removed too. If there is no entry at
    /// that index, the later ones are kept: indices are contiguous, so those entries were written
    /// after the snapshot. Index 0 means that there is no snapshot.
    fn remove_covered(&mut self, snapshot: &Snapshot) {
        if snapshot.index == 0 {
            return;
        }
        let log_matches =
            self.entries.get(&snapshot.index).is_none_or(|entry| entry.term == snapshot.term);
        let later = self.entries.split_off(&(snapshot.index + 1));
        self.entries = if log_matches { later } else { BTreeMap::new() };
    }
}
