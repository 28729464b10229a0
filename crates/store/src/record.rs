//! Format of a record: payload length, CRC-32 of the payload and CRC-32 of these two fields, each
//! four bytes little-endian, then the payload.

use dotterelhoist_core::replica::message::{Entry, Snapshot};
use dotterelhoist_core::replica::Write;
use dotterelhoist_core::Name;
use prost::Message;

/// Length of a record header in bytes.
pub(crate) const HEADER_BYTES: usize = 12;

/// One batch of writes, the payload of a record in the write-ahead log.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Batch {
    /// Term and vote, if the batch changes them.
    #[prost(message, optional, tag = "1")]
    pub ballot: Option<Ballot>,
    /// Entries in order of index; each one replaces all stored entries from its index on.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<Entry>,
}

/// The election state that a replica persists before it answers.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Ballot {
    /// Current term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Replica voted for in this term.
    #[prost(string, optional, tag = "2")]
    pub vote: Option<String>,
    /// Whether the replica itself was elected in this term.
    #[prost(bool, tag = "3")]
    pub led: bool,
}

impl Ballot {
    pub(crate) fn vote_name(&self) -> Option<Name> {
        self.vote.as_deref().map(Name::from)
    }
}

impl Batch {
    /// Combines writes into one batch. Snapshots are left out, because they have a file of their
    /// own.
    pub(crate) fn from_writes(writes: &[Write]) -> Batch {
        let mut batch = Batch::default();
        for write in writes {
            match write {
                Write::Ballot { term, vote, led } => {
                    let vote = vote.as_ref().map(ToString::to_string);
                    batch.ballot = Some(Ballot { term: *term, vote, led: *led });
                }
                Write::Entries(entries) => batch.entries.extend(entries.iter().cloned()),
                Write::Snapshot(_) => {}
            }
        }
        batch
    }
}

/// What was found at an offset of the write-ahead log.
pub(crate) enum Parsed<'a> {
    /// Payload of a valid record, and the offset of the next one.
    Valid(&'a [u8], usize),
    /// There is no valid record from here to the end of the file: a crash interrupted the last
    /// write before it was synced.
    Torn,
    /// An invalid record is followed by a valid one. It had been synced before that one was
    /// written, so it was damaged later; the text says what is wrong.
    Damaged(&'static str),
}

/// Builds a record from its payload.
pub(crate) fn encode(payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(payload).to_le_bytes());
    let header_checksum = crc32fast::hash(&bytes);
    bytes.extend(header_checksum.to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// Reads the record at `offset`.
pub(crate) fn read(bytes: &[u8], offset: usize) -> Parsed<'_> {
    match valid_payload(&bytes[offset..]) {
        Some(payload) => Parsed::Valid(payload, offset + HEADER_BYTES + payload.len()),
        None if contains_valid_record(&bytes[offset + 1..]) => {
            Parsed::Damaged("an invalid record is followed by a valid one")
        }
        None => Parsed::Torn,
    }
}

/// Encodes the content of the snapshot file, which is a single record.
pub(crate) fn encode_snapshot(snapshot: &Snapshot) -> Vec<u8> {
    encode(&snapshot.encode_to_vec())
}

/// Decodes the content of the snapshot file; the error is the offset and kind of the damage.
pub(crate) fn decode_snapshot(bytes: &[u8]) -> Result<Snapshot, (usize, &'static str)> {
    let payload =
        valid_payload(bytes).ok_or((0, "the record is truncated or a checksum is wrong"))?;
    Snapshot::decode(payload).map_err(|_| (HEADER_BYTES, "the content does not decode"))
}

/// Reads the little-endian `u32` at an offset.
fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let value = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(value.try_into().ok()?))
}

/// Payload of the record at the start of `bytes`; `None` if it is incomplete or a checksum is
/// wrong.
pub(crate) fn valid_payload(bytes: &[u8]) -> Option<&[u8]> {
    let length = read_u32(bytes, 0)? as usize;
    let payload_checksum = read_u32(bytes, 4)?;
    let header_checksum = read_u32(bytes, 8)?;
    if crc32fast::hash(&bytes[..8]) != header_checksum {
        return None;
    }
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?;
    (crc32fast::hash(payload) == payload_checksum).then_some(payload)
}

/// Whether a valid record starts anywhere in `bytes`. The length in an invalid header can't be
/// trusted, so each offset is tried.
fn contains_valid_record(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|offset| valid_payload(&bytes[offset..]).is_some())
}
