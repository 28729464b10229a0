//! Records: a header of payload length, payload checksum and header checksum, then the payload.

use dotterelhoist_core::replica::message::{Entry, Snapshot};
use dotterelhoist_core::replica::Write;
use dotterelhoist_core::Name;
use prost::Message;

/// Bytes of a header.
pub(crate) const HEADER: usize = 12;

/// One batch of writes.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Batch {
    /// Term and vote, if the batch changes them.
    #[prost(message, optional, tag = "1")]
    pub ballot: Option<Ballot>,
    /// Entries in order; each drops those stored from its index on.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<Entry>,
}

/// Term and vote.
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
    pub(crate) fn of(writes: &[Write]) -> Batch {
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

/// A record that was read.
pub(crate) enum Read<'a> {
    /// A whole record and the offset behind it.
    Whole(&'a [u8], usize),
    /// The bytes from here to the end were never synced.
    Torn,
    /// Damage.
    Damaged(&'static str),
}

pub(crate) fn frame(payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER + payload.len());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(payload).to_le_bytes());
    let check = crc32fast::hash(&bytes);
    bytes.extend(check.to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// Reads the record at `offset`.
pub(crate) fn read(bytes: &[u8], offset: usize) -> Read<'_> {
    match whole(&bytes[offset..]) {
        Some(payload) => Read::Whole(payload, offset + HEADER + payload.len()),
        None if holds_record(&bytes[offset + 1..]) => {
            Read::Damaged("a record that does not check is followed by one that does")
        }
        None => Read::Torn,
    }
}

pub(crate) fn snapshot(snapshot: &Snapshot) -> Vec<u8> {
    frame(&snapshot.encode_to_vec())
}

pub(crate) fn read_snapshot(bytes: &[u8]) -> Result<Snapshot, (usize, &'static str)> {
    let payload = whole(bytes).ok_or((0, "the checksum does not match"))?;
    Snapshot::decode(payload).map_err(|_| (HEADER, "the content does not decode"))
}

fn field(bytes: &[u8], at: usize) -> Option<u32> {
    let field = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}

fn whole(bytes: &[u8]) -> Option<&[u8]> {
    let length = field(bytes, 0)? as usize;
    let sum = field(bytes, 4)?;
    let check = field(bytes, 8)?;
    if crc32fast::hash(&bytes[..8]) != check {
        return None;
    }
    let payload = bytes.get(HEADER..HEADER + length)?;
    (crc32fast::hash(payload) == sum).then_some(payload)
}

fn holds_record(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|offset| whole(&bytes[offset..]).is_some())
}
