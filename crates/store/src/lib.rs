//! Durable storage of the replicated logs.
//!
//! Each replica of a log has a folder of its own with a lock file and three others: `identity`,
//! written once when the replica is created; `snapshot`, the newest snapshot of the state machine;
//! and `tail`, the write-ahead log since that snapshot. `tail` gets one record for each batch of
//! writes, which is synced before the next batch is written. Records carry checksums of their
//! header and payload.
//!
//! A crash can therefore tear only the last record of `tail`, which is truncated when the file is
//! opened. Any other record with a wrong checksum is damage, and the store refuses to open. After a
//! write or sync has failed, the content of the disk is unknown: the caller must end the process,
//! or call [`Store::recover`] before it writes again.

use std::io;
use std::path::{Path, PathBuf};

use displaydoc::Display;
use dotterelhoist_core::replica::{Stored, Write};

pub mod departures;
pub mod disk;
pub mod identity;
mod record;
mod wal;

use self::disk::{Disk, Folder};
use self::identity::Identity;
use self::wal::Wal;

/// File that holds the newest snapshot.
const SNAPSHOT_FILE: &str = "snapshot";
/// New snapshot file, until it is complete and renamed to [`SNAPSHOT_FILE`].
const SNAPSHOT_NEW_FILE: &str = "snapshot.new";

/// Why the files of a log can't be opened, read or written.
#[derive(Debug, Display)]
pub enum Error {
    /// {path}: {error}
    Io {
        /// File or folder.
        path: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// {path}: damaged at byte {offset}: {detail}; restore the file, or start with an empty folder to return as a new replica
    Damaged {
        /// File.
        path: PathBuf,
        /// Byte offset of the invalid record, or 0 if the damage is not in a single record.
        offset: usize,
        /// What is wrong with the content.
        detail: &'static str,
    },
    /// {path}: is in use by another process
    InUse {
        /// Folder.
        path: PathBuf,
    },
}

impl std::error::Error for Error {}

/// Snapshot and write-ahead log of one replica.
#[derive(Debug)]
pub struct Store<Backend> {
    disk: Backend,
    wal: Wal,
}

impl<Backend> Store<Backend>
where
    Backend: Disk,
{
    /// Opens the files of a log and returns the state that they hold, which is an empty log if the
    /// folder is empty.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, or the file and offset of the damage.
    pub fn open(mut disk: Backend) -> Result<(Store<Backend>, Stored), Error> {
        let snapshot = match disk.read(SNAPSHOT_FILE)? {
            None => Default::default(),
            Some(bytes) => record::decode_snapshot(&bytes)
                .map_err(|(offset, detail)| disk.damage_error(SNAPSHOT_FILE, offset, detail))?,
        };
        let (wal, stored) = Wal::open(&mut disk, snapshot)?;
        Ok((Store { disk, wal }, stored))
    }

    /// Writes a batch and syncs it. A snapshot in the batch replaces the snapshot file, and the
    /// entries that it covers are removed from the write-ahead log.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system. The caller must then end the process, or call
    /// [`Store::recover`] before the next write.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), Error> {
        let mut batch = Vec::new();
        for write in writes {
            let Write::Snapshot(snapshot) = write else {
                batch.push(write.clone());
                continue;
            };
            self.wal.append(&mut self.disk, &batch)?;
            batch.clear();
            let bytes = record::encode_snapshot(snapshot);
            disk::replace(&mut self.disk, SNAPSHOT_FILE, SNAPSHOT_NEW_FILE, &bytes)?;
            self.wal.compact(&mut self.disk, snapshot)?;
        }
        self.wal.append(&mut self.disk, &batch)
    }

    /// Makes the store writable again after a write that failed: replaces the write-ahead log by a
    /// new file with what had been synced before, so that no part of the failed write remains.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; the caller may call again.
    pub fn recover(&mut self) -> Result<(), Error> {
        self.wal.rewrite(&mut self.disk)
    }
}

/// The files of one replica, open and locked.
#[derive(Debug)]
pub struct Files {
    /// Snapshot and write-ahead log, open for writing.
    pub store: Store<Folder>,
    /// Identity of the replica.
    pub identity: Identity,
    /// State that the files held when they were opened.
    pub stored: Stored,
    /// As in [`identity::Opened::unstored`].
    pub unstored: Option<Error>,
    /// Second handle of the folder, for [`departures`].
    pub beside: Folder,
}

impl Files {
    /// Opens the folder of a replica. `random_number` becomes part of the identity of a learner
    /// whose folder is empty.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, or the file and offset of the damage.
    pub fn open(
        path: &Path,
        setup: identity::Setup<'_>,
        random_number: u64,
    ) -> Result<Files, Error> {
        let mut folder = Folder::open(path)?;
        let identity::Opened { identity, unstored } =
            identity::open(&mut folder, setup, random_number)?;
        let beside = folder.try_clone()?;
        let (store, stored) = Store::open(folder)?;
        let stored = Stored { initial_voters: identity.initial_voters.clone(), ..stored };
        Ok(Files { store, identity, stored, unstored, beside })
    }
}
