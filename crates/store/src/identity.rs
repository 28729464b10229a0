//! Identity of a replica's disk.
//!
//! `dotterelhoistd --found` writes the founding identity, whose number is 0. A daemon that finds no
//! identity has lost its disk: it draws a new number and returns as a learner, so that votes given
//! under the old identity are never given twice.

use serde::{Deserialize, Serialize};

use super::disk::Disk;
use super::Error;

/// File that holds the identity.
const IDENTITY: &str = "identity";
/// The file while it is written.
const IDENTITY_NEW: &str = "identity.new";

/// Identity of a disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Daemon that founded it.
    pub daemon: String,
    /// 0 for a founder, else a random number.
    pub number: u64,
}

impl Identity {
    /// Name in voter lists.
    pub fn replica_name(&self) -> String {
        format!("{}#{:x}", self.daemon, self.number)
    }
}

/// Reads the identity; none if the folder has none.
///
/// # Errors
///
/// Returns the system's error, or that the file is damaged.
pub fn read<Files>(disk: &mut Files) -> Result<Option<Identity>, Error>
where
    Files: Disk,
{
    let Some(bytes) = disk.read(IDENTITY)? else { return Ok(None) };
    let identity = serde_json::from_slice(&bytes);
    identity.map(Some).map_err(|_| disk.damaged(IDENTITY, 0, "is not an identity"))
}

/// Writes the identity so that it lasts.
///
/// # Errors
///
/// Returns the system's error.
pub fn write<Files>(disk: &mut Files, identity: &Identity) -> Result<(), Error>
where
    Files: Disk,
{
    let bytes = serde_json::to_vec(identity).unwrap_or_default();
    disk.create(IDENTITY_NEW, &bytes)?;
    disk.sync(IDENTITY_NEW)?;
    disk.rename(IDENTITY_NEW, IDENTITY)?;
    disk.sync_folder()
}
