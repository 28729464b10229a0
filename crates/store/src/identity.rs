//! Identity of a replica, stored on its disk.
//!
//! When a deployment is started for the first time (`dotterelhoistd --found`), a new folder gets
//! the identity of an initial voter, whose number is 0. A daemon that is started later and finds no
//! identity may have lost its disk: it takes a random number and joins as a learner, so that it
//! can't vote a second time in a term in which it voted under its old identity.

use serde::{Deserialize, Serialize};

use super::disk::Disk;
use super::Error;

/// File that holds the identity, as JSON.
const IDENTITY_FILE: &str = "identity";
/// New identity file, until it is complete and renamed to [`IDENTITY_FILE`].
const IDENTITY_NEW_FILE: &str = "identity.new";

/// Identity of a replica. A replica that has lost its disk returns with a new one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Daemon that created the identity.
    pub daemon: String,
    /// 0 for an initial voter of the log, otherwise a random number.
    pub number: u64,
}

impl Identity {
    /// Name of the replica in voter lists: the daemon and the number in hexadecimal.
    pub fn replica_name(&self) -> String {
        format!("{}#{:x}", self.daemon, self.number)
    }
}

/// Reads the identity; `None` if the folder has none.
///
/// # Errors
///
/// Returns the error of the operating system, or [`Error::Damaged`] if the file is not an identity.
pub fn read<Backend>(disk: &mut Backend) -> Result<Option<Identity>, Error>
where
    Backend: Disk,
{
    let Some(bytes) = disk.read(IDENTITY_FILE)? else { return Ok(None) };
    let identity = serde_json::from_slice(&bytes);
    identity
        .map(Some)
        .map_err(|_| disk.damage_error(IDENTITY_FILE, 0, "the content is not a valid identity"))
}

/// Replaces the identity atomically and syncs it.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn write<Backend>(disk: &mut Backend, identity: &Identity) -> Result<(), Error>
where
    Backend: Disk,
{
    let bytes = serde_json::to_vec(identity).unwrap_or_default();
    disk.create(IDENTITY_NEW_FILE, &bytes)?;
    disk.sync(IDENTITY_NEW_FILE)?;
    disk.rename(IDENTITY_NEW_FILE, IDENTITY_FILE)?;
    disk.sync_folder()
}
