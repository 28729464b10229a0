//! Messages and records of a replicated log.
//!
//! All are plain `prost` messages: the same bytes go over the network and into the files.

use prost::{Message, Oneof};

/// One entry of the log.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// Term of the leader that appended it.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Position, from 1.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Encoded command; empty for the entry that opens a term.
    #[prost(bytes = "vec", tag = "3")]
    pub command: Vec<u8>,
    /// New voter list, if the entry changes it.
    #[prost(message, repeated, tag = "4")]
    pub voters: Vec<Voter>,
}

impl Entry {
    pub(super) fn command(command: Vec<u8>) -> Entry {
        Entry { command, ..Entry::default() }
    }

    pub(super) fn voters(voters: Vec<Voter>) -> Entry {
        Entry { voters, ..Entry::default() }
    }
}

/// A replica with votes.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Voter {
    /// Identity of its disk.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Daemon that hosts it.
    #[prost(string, tag = "2")]
    pub daemon: String,
    /// Number of votes.
    #[prost(uint32, tag = "3")]
    pub weight: u32,
}

/// Request for a vote.
#[derive(Clone, PartialEq, Message)]
pub struct VoteRequest {
    /// Term that the candidate wants to lead.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Whether this only asks how the vote would go.
    #[prost(bool, tag = "2")]
    pub pre_vote: bool,
    /// The candidate.
    #[prost(message, optional, tag = "3")]
    pub candidate: Option<Voter>,
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "4")]
    pub last_index: u64,
    /// Term of the candidate's last entry.
    #[prost(uint64, tag = "5")]
    pub last_term: u64,
    /// Newest term that the candidate led and has given up, 0 if it never led.
    #[prost(uint64, tag = "6")]
    pub last_led_term: u64,
}

/// Answer to a [`VoteRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct VoteReply {
    /// The requested term if granted, else the voter's term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Whether this answers a pre-vote.
    #[prost(bool, tag = "2")]
    pub pre_vote: bool,
    /// Whether the vote is granted.
    #[prost(bool, tag = "3")]
    pub granted: bool,
    /// Replica that answers.
    #[prost(string, tag = "4")]
    pub voter: String,
}

/// Entries and heartbeat of a leader.
#[derive(Clone, PartialEq, Message)]
pub struct Append {
    /// Term of the leader.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The leader.
    #[prost(message, optional, tag = "2")]
    pub leader: Option<Voter>,
    /// Index of the entry before `entries`.
    #[prost(uint64, tag = "3")]
    pub previous_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "4")]
    pub previous_term: u64,
    /// Entries to append, none for a heartbeat.
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<Entry>,
    /// Index up to which entries are committed.
    #[prost(uint64, tag = "6")]
    pub commit: u64,
    /// Milliseconds on the leader's monotonic clock, echoed in the answer.
    #[prost(uint64, tag = "7")]
    pub sent_at: u64,
}

/// Answer to an [`Append`] or [`Snapshot`].
#[derive(Clone, PartialEq, Message)]
pub struct AppendReply {
    /// Term of the follower.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Replica that answers.
    #[prost(string, tag = "2")]
    pub replica: String,
    /// Whether the entries are stored.
    #[prost(bool, tag = "3")]
    pub accepted: bool,
    /// Last stored index if accepted, else the last index that may match.
    #[prost(uint64, tag = "4")]
    pub index: u64,
    /// Echo of the leader's sending time.
    #[prost(uint64, tag = "5")]
    pub sent_at: u64,
}

/// A snapshot, as stored and as sent to a replica that is far behind.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Voter list as of that entry.
    #[prost(message, repeated, tag = "3")]
    pub voters: Vec<Voter>,
    /// Encoded state machine.
    #[prost(bytes = "vec", tag = "4")]
    pub state_machine: Vec<u8>,
    /// Term of the sending leader.
    #[prost(uint64, tag = "5")]
    pub leader_term: u64,
    /// The sending leader.
    #[prost(message, optional, tag = "6")]
    pub leader: Option<Voter>,
    /// Milliseconds on the leader's monotonic clock, echoed in the answer.
    #[prost(uint64, tag = "7")]
    pub sent_at: u64,
}

/// Any message between replicas of one log.
#[derive(Clone, PartialEq, Oneof)]
pub enum Payload {
    /// Request for a vote.
    #[prost(message, tag = "2")]
    VoteRequest(VoteRequest),
    /// Answer to it.
    #[prost(message, tag = "3")]
    VoteReply(VoteReply),
    /// Entries or a heartbeat.
    #[prost(message, tag = "4")]
    Append(Append),
    /// Answer to it.
    #[prost(message, tag = "5")]
    AppendReply(AppendReply),
    /// A snapshot.
    #[prost(message, tag = "6")]
    InstallSnapshot(Snapshot),
    /// A replica with a new disk asks to be fed.
    #[prost(message, tag = "7")]
    Join(Voter),
}

/// A message with the log that it belongs to.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Name of the log.
    #[prost(string, tag = "1")]
    pub log: String,
    /// The message.
    #[prost(oneof = "Payload", tags = "2, 3, 4, 5, 6, 7")]
    pub payload: Option<Payload>,
}
