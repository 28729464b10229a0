//! Departures of endpoints that a daemon has acknowledged, in a file beside the log.
//!
//! They don't belong into the log: an acknowledgement must not need a quorum. The file is replaced as a whole,
//! as it holds those of the last minute only.

use prost::Message;

use super::disk::{self, Disk};
use super::{record, Error};

/// File that holds the departures, as a single record.
const DEPARTURES_FILE: &str = "departures";
/// New file, until it is complete and renamed to [`DEPARTURES_FILE`].
const DEPARTURES_NEW_FILE: &str = "departures.new";

/// An endpoint that leaves: it has deregistered, or reported that it drains.
#[derive(Clone, PartialEq, Message)]
pub struct Departure {
    /// Identity of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start time of its incarnation in Unix milliseconds, 0 if it is not known.
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
    /// When it was acknowledged, in Unix milliseconds by the clock of the daemon.
    #[prost(uint64, tag = "3")]
    pub left_unix_ms: u64,
}

/// Content of the file.
#[derive(Clone, PartialEq, Message)]
struct Departures {
    #[prost(message, repeated, tag = "1")]
    departures: Vec<Departure>,
}

/// Reads the departures; an empty list if there is no file.
///
/// # Errors
///
/// Returns the error of the operating system, or [`Error::Damaged`] if the file can't be read in full.
pub fn read<Backend>(disk: &mut Backend) -> Result<Vec<Departure>, Error>
where
    Backend: Disk,
{
    let Some(bytes) = disk.read(DEPARTURES_FILE)? else { return Ok(Vec::new()) };
    let payload = record::valid_payload(&bytes);
    let departures = payload.and_then(|payload| Departures::decode(payload).ok());
    let damage = || disk.damage_error(DEPARTURES_FILE, 0, "the record is truncated or invalid");
    Ok(departures.ok_or_else(damage)?.departures)
}

/// Replaces the departures atomically and syncs them.
///
/// # Errors
///
/// Returns the error of the operating system; the file then holds what it held before.
pub fn write<Backend>(disk: &mut Backend, departures: &[Departure]) -> Result<(), Error>
where
    Backend: Disk,
{
    let departures = Departures { departures: departures.to_vec() };
    let bytes = record::encode(&departures.encode_to_vec());
    disk::replace(disk, DEPARTURES_FILE, DEPARTURES_NEW_FILE, &bytes)
}
