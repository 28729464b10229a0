//! Messages between replicas, and the records that they share with the files of a log.
//!
//! All are `prost` messages; entries and snapshots have the same encoding on the network and on
//! disk.

use prost::{Message, Oneof};
use serde::{Deserialize, Serialize};

/// One entry of the log.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// Term of the leader that appended it.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Position in the log, starting at 1.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Encoded command; empty in the first entry of a term and in entries with a voter list.
    #[prost(bytes = "vec", tag = "3")]
    pub command: Vec<u8>,
    /// Voter list from this entry on; empty if the entry doesn't set it.
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

/// A member of the voter list.
#[derive(Clone, PartialEq, Eq, Hash, Message, Serialize, Deserialize)]
pub struct Voter {
    /// Identity of the replica's disk.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// Daemon that hosts the replica.
    #[prost(string, tag = "2")]
    pub daemon: String,
    /// Number of votes.
    #[prost(uint32, tag = "3")]
    pub weight: u32,
}

/// Request for a vote or pre-vote.
#[derive(Clone, PartialEq, Message)]
pub struct VoteRequest {
    /// Term in which the candidate wants to lead.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Whether this is a pre-vote, which asks whether the voter would grant its vote and changes no
    /// state.
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
    /// Newest term in which the candidate knows that it was leader, else 0. It no longer uses the
    /// lease of that term.
    #[prost(uint64, tag = "6")]
    pub last_led_term: u64,
    /// Initial voters of the log, if it has no voter list yet; for initial voters whose files were
    /// written by a build that did not store them.
    #[prost(message, repeated, tag = "7")]
    pub initial_voters: Vec<Voter>,
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

/// Entries that a leader replicates, and its heartbeat.
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
    /// Entries to append; may be empty, since every message also serves as a heartbeat.
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<Entry>,
    /// Index up to which the leader knows entries to be committed.
    #[prost(uint64, tag = "6")]
    pub commit: u64,
    /// Sending time in milliseconds on the leader's monotonic clock, echoed in the answer.
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
    /// Whether the follower accepted the message: it knows no newer term than the leader's, and the
    /// logs match at `previous_index`.
    #[prost(bool, tag = "3")]
    pub accepted: bool,
    /// If accepted, the last index that is durable and matches the leader's log, or 0 if nothing is
    /// said about entries. Otherwise the highest index at which the logs may still match.
    #[prost(uint64, tag = "4")]
    pub index: u64,
    /// `sent_at` of the message that this answers.
    #[prost(uint64, tag = "5")]
    pub sent_at: u64,
}

/// A snapshot of the state machine, as stored on disk and as sent to a replica that lacks entries
/// which the leader no longer has.
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
    /// Term of the sending leader; 0 in a snapshot that the replica took itself.
    #[prost(uint64, tag = "5")]
    pub leader_term: u64,
    /// The sending leader; not set in a snapshot that the replica took itself.
    #[prost(message, optional, tag = "6")]
    pub leader: Option<Voter>,
    /// Sending time in milliseconds on the leader's monotonic clock, echoed in the answer.
    #[prost(uint64, tag = "7")]
    pub sent_at: u64,
}

/// Any message between replicas of one log.
#[derive(Clone, PartialEq, Oneof)]
pub enum Payload {
    /// Request for a vote or pre-vote.
    #[prost(message, tag = "2")]
    VoteRequest(VoteRequest),
    /// Answer to a vote request.
    #[prost(message, tag = "3")]
    VoteReply(VoteReply),
    /// Entries or a heartbeat.
    #[prost(message, tag = "4")]
    Append(Append),
    /// Answer to entries, a heartbeat or a snapshot.
    #[prost(message, tag = "5")]
    AppendReply(AppendReply),
    /// A snapshot to be installed.
    #[prost(message, tag = "6")]
    InstallSnapshot(Snapshot),
    /// Request to the leader to replicate its log to this replica, which is no voter or has lost
    /// its leader.
    #[prost(message, tag = "7")]
    Join(Voter),
}

/// A message together with the name of its log.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Name of the log.
    #[prost(string, tag = "1")]
    pub log: String,
    /// The message.
    #[prost(oneof = "Payload", tags = "2, 3, 4, 5, 6, 7")]
    pub payload: Option<Payload>,
}
