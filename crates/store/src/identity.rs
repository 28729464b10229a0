//! Identity of a replica, stored on its disk.
//!
//! When a deployment is started for the first time (`dotterelhoistd --found`), a new folder gets
//! the identity of an initial voter, whose number is 0. A daemon that is started later and finds no
//! identity may have lost its disk: it takes a random number and joins as a learner, so that it
//! can't vote a second time in a term in which it voted under its old identity.
//!
//! With its identity, an initial voter stores the list of all initial voters. The settings give that
//! list only at the first start; those of later starts may name other daemons, which say nothing
//! about who votes.

use std::path::Path;

use dotterelhoist_core::replica::message::Voter;
use serde::{Deserialize, Serialize};

use super::disk::{self, Disk};
use super::Error;

/// File that holds the identity, as JSON.
const IDENTITY_FILE: &str = "identity";
/// New identity file, until it is complete and renamed to [`IDENTITY_FILE`].
const IDENTITY_NEW_FILE: &str = "identity.new";

/// Identity of a replica. A replica that has lost its disk returns with a new one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Daemon that created the identity.
    pub daemon: String,
    /// 0 for an initial voter of the log, otherwise a random number.
    pub number: u64,
    /// All initial voters of the log; empty if this replica is not one of them. Older builds don't
    /// write this field, and ignore it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub initial_voters: Vec<Voter>,
}

/// What the settings say about a replica at its start.
#[derive(Clone, Copy, Debug)]
pub struct Setup<'a> {
    /// Daemon that hosts the replica.
    pub daemon: &'a str,
    /// Whether the deployment is started for the first time.
    pub bootstrap: bool,
    /// Initial voters, if this is the first start.
    pub initial_voters: &'a [Voter],
}

impl Identity {
    /// Identity for an empty folder: that of an initial voter at the first start of the deployment,
    /// otherwise that of a learner with the number `random_number`.
    fn create(setup: Setup<'_>, random_number: u64) -> Identity {
        let daemon = setup.daemon.to_owned();
        if setup.bootstrap {
            return Identity { daemon, number: 0, initial_voters: setup.initial_voters.to_vec() };
        }
        Identity { daemon, number: random_number.max(1), initial_voters: Vec::new() }
    }

    /// Takes the initial voters from the settings if an older build created the identity of an
    /// initial voter, and the settings still name it as one. Returns whether it has taken them.
    fn adopt_voters(&mut self, setup: Setup<'_>) -> bool {
        let name = self.replica_name();
        let adopts = self.number == 0
            && self.initial_voters.is_empty()
            && setup.initial_voters.iter().any(|voter| voter.replica == name);
        if adopts {
            self.initial_voters = setup.initial_voters.to_vec();
        }
        adopts
    }

    /// Name of the replica in voter lists: the daemon and the number in hexadecimal.
    pub fn replica_name(&self) -> String {
        format!("{}#{:x}", self.daemon, self.number)
    }
}

/// Whether a folder holds the identity of a replica.
pub fn is_stored(folder: &Path) -> bool {
    folder.join(IDENTITY_FILE).is_file()
}

/// An identity, and whether it could be completed.
#[derive(Debug)]
pub struct Opened {
    /// Identity of the replica.
    pub identity: Identity,
    /// Why the initial voters could not be added to the file of an older build. The next start tries
    /// again.
    pub unstored: Option<Error>,
}

/// Reads the identity of a replica. An empty folder gets a new one, and the identity that an older
/// build has written is completed; for that alone, a disk that refuses writes is no error.
///
/// # Errors
///
/// Returns the error of the operating system, or [`Error::Damaged`] if the file is not an identity.
pub fn open<Backend>(
    disk: &mut Backend,
    setup: Setup<'_>,
    random_number: u64,
) -> Result<Opened, Error>
where
    Backend: Disk,
{
    let Some(mut identity) = read(disk)? else {
        let identity = Identity::create(setup, random_number);
        write(disk, &identity)?;
        return Ok(Opened { identity, unstored: None });
    };
    let adopted = identity.adopt_voters(setup);
    let unstored = if adopted { write(disk, &identity).err() } else { None };
    Ok(Opened { identity, unstored })
}

/// Reads the identity; `None` if the folder has none.
///
/// # Errors
///
/// Returns the error of the operating system, or [`Error::Damaged`] if the file is not an identity.
fn read<Backend>(disk: &mut Backend) -> Result<Option<Identity>, Error>
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
fn write<Backend>(disk: &mut Backend, identity: &Identity) -> Result<(), Error>
where
    Backend: Disk,
{
    let bytes = serde_json::to_vec(identity).unwrap_or_default();
    disk::replace(disk, IDENTITY_FILE, IDENTITY_NEW_FILE, &bytes)
}
