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
use std::path::{Path, PathBuf};

use displaydoc::Display;
use dotterelhoist_core::replica::{Stored, Write};

pub mod disk;
pub mod identity;
mod record;
mod tail;

use self::disk::{Disk, Folder};
use self::identity::Identity;
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

    /// Restores the files after a write that failed: what had been synced before is written to a new
    /// file, so that nothing of the failed write stays behind.
    ///
    /// # Errors
    ///
    /// Returns the system's error; the call may be repeated.
    pub fn recover(&mut self) -> Result<(), Error> {
        self.tail.rebuild(&mut self.disk)
    }
}

/// The files of one replica, open and locked.
#[derive(Debug)]
pub struct Files {
    /// Where the replica writes.
    pub store: Store<Folder>,
    /// Identity of the disk.
    pub identity: Identity,
    /// What the files hold.
    pub stored: Stored,
}

impl Files {
    /// Opens the folder of a replica that `daemon` hosts. `found` makes a new folder the one of a
    /// founder; without it a daemon with a new folder returns as a learner under the random number
    /// `draw`.
    ///
    /// # Errors
    ///
    /// Returns the system's error, or the place of the damage.
    pub fn open(path: &Path, daemon: &str, found: bool, draw: u64) -> Result<Files, Error> {
        let mut folder = Folder::open(path)?;
        let identity = match identity::read(&mut folder)? {
            Some(identity) => identity,
            None => {
                let number = if found { 0 } else { draw.max(1) };
                let identity = Identity { daemon: daemon.to_owned(), number };
                identity::write(&mut folder, &identity)?;
                identity
            }
        };
        let (store, stored) = Store::open(folder)?;
        Ok(Files { store, identity, stored })
    }
}
