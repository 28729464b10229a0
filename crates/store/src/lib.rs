//! Files in which the replicas of dotterelhoist keep their logs.
//!
//! Each log has a folder of its own with three files: `identity`, written once when the replica is
//! founded or returns on a new disk; `snapshot`; and `tail`, to which one record is appended for
//! each batch of writes and synced. Records carry checksums of their header and payload.
//!
//! A batch is one record, and no batch is written before the one before it is synced. So only the
//! last record of `tail` can be torn by a crash: it is cut off when the file is opened. Anything
//! else that does not check is damage, and the replica refuses to start. An error of any write or
//! sync is final: the caller has to end the process, because what the disk then holds is unknown.

use std::io;
use std::path::PathBuf;

use displaydoc::Display;
use dotterelhoist_core::replica::{Stored, Write};

pub mod disk;
pub mod identity;
mod record;
mod tail;

use self::disk::Disk;
use self::tail::Tail;

/// File that holds the newest snapshot.
const SNAPSHOT: &str = "snapshot";
/// New snapshot before it takes its place.
const SNAPSHOT_NEW: &str = "snapshot.new";

/// Why files can't be read or written.
#[derive(Debug, Display)]
pub enum Error {
    /// {path}: {error}
    Io {
        /// File or folder.
        path: PathBuf,
        /// Error of the system.
        error: io::Error,
    },
    /// {path}: damaged at byte {offset}: {detail}; restore the file, or start with an empty folder to return as a new replica
    Damaged {
        /// File.
        path: PathBuf,
        /// Offset of the record that does not check.
        offset: usize,
        /// What is wrong with it.
        detail: &'static str,
    },
    /// {path}: is in use by another process
    InUse {
        /// Folder.
        path: PathBuf,
    },
}

impl std::error::Error for Error {}

/// The files of one log.
#[derive(Debug)]
pub struct Store<Files> {
    disk: Files,
    tail: Tail,
}

impl<Files> Store<Files>
where
    Files: Disk,
{
    /// Opens the files of a log and returns what they hold.
    ///
    /// # Errors
    ///
    /// Returns the system's error, or the place of the damage.
    pub fn open(mut disk: Files) -> Result<(Store<Files>, Stored), Error> {
        let snapshot = match disk.read(SNAPSHOT)? {
            None => Default::default(),
            Some(bytes) => record::read_snapshot(&bytes)
                .map_err(|(offset, detail)| disk.damaged(SNAPSHOT, offset, detail))?,
        };
        let (tail, stored) = Tail::open(&mut disk, snapshot)?;
        Ok((Store { disk, tail }, stored))
    }

    /// Writes a batch and syncs it.
    ///
    /// # Errors
    ///
    /// Returns the system's error; the process must then end.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), Error> {
        let mut batch = Vec::new();
        for write in writes {
            let Write::Snapshot(snapshot) = write else {
                batch.push(write.clone());
                continue;
            };
            self.tail.append(&mut self.disk, &batch)?;
            batch.clear();
            self.disk.create(SNAPSHOT_NEW, &record::snapshot(snapshot))?;
            self.disk.sync(SNAPSHOT_NEW)?;
            self.disk.rename(SNAPSHOT_NEW, SNAPSHOT)?;
            self.disk.sync_folder()?;
            self.tail.rewrite(&mut self.disk, snapshot)?;
        }
        self.tail.append(&mut self.disk, &batch)
    }
}
