//! One replica of a leader-based replicated log.
//!
//! The replica performs no I/O: messages, ticks and completed syncs go in, [`Output`]s come out. It
//! follows Raft (terms, votes, log matching), with these additions:
//!
//! * **Pre-vote**: a replica raises its term only after a quorum has confirmed that it could win,
//!   so a replica that was partitioned does not disturb a working leader when it reconnects.
//! * **Leader lease**: a leader considers itself leader only until [`Timing::lease`] after it
//!   *sent* the newest heartbeat that a quorum has answered. A voter refuses every vote for
//!   [`Timing::election`] after its start and after its last message from a leader, which is longer
//!   than the lease by more than the bound on clock drift. The lease of a suspended leader has thus
//!   expired before any other replica can win.
//! * **Re-election after a restart**: a voter refuses votes to protect the lease of the leader that
//!   it answered last. A candidate that led that term itself gives up the lease by asking for
//!   votes, so it is not refused, and a restarted leader is re-elected at once
//!   ([`VoteRequest::last_led_term`](message::VoteRequest::last_led_term)).
//! * **Weighted votes**: see [`quorum`].
//! * **Sync before send**: a message that reports stored state is held back until the write that it
//!   depends on has been synced.
//! * **Replica identities**: a voter is identified by its daemon *and* its disk. A daemon that lost
//!   its disk returns under a new identity as a learner and becomes a voter only through committed
//!   changes of the voter list, so it never repeats votes and acknowledgements given before the
//!   loss.
//! * **Stored voter lists**: a replica takes its voters from what it has stored, never from the
//!   settings, which may change. The initial voters are stored before the first start, and the first
//!   leader writes their list to the log, from which all others learn it. A replica that knows no
//!   list is no voter.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Instant;
use crate::Name;

mod election;
pub mod log;
pub mod message;
mod progress;
pub mod quorum;
mod replication;
mod voters;

use self::log::Log;
use self::message::{Entry, Payload, Snapshot, Voter};
use self::progress::Progress;

/// Maximum number of entries in one append message.
const MAX_APPEND_ENTRIES: usize = 256;
/// Bytes of commands from which on no further entry is added to an append message.
const MAX_APPEND_BYTES: usize = 1 << 20;
/// Base of the interval after which a leader sends a snapshot again to a replica that has not
/// acknowledged it.
const SNAPSHOT_RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// Snapshot size in bytes for which one millisecond is added to [`SNAPSHOT_RESEND_INTERVAL`], which
/// leaves large snapshots time to be transferred.
const SNAPSHOT_BYTES_PER_MS: u64 = 1024;
/// Time without an answer after which the leader may replace a voter by a learner that has caught
/// up.
pub const REPLACE_AFTER: Duration = Duration::from_millis(1500);

/// Intervals and timeouts of a log, the same for all of its replicas.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Time without a message from a leader after which a follower asks for votes; until then it
    /// refuses to grant any.
    pub election: Duration,
    /// Upper bound of the random addition to `election` for each election timeout.
    pub jitter: Duration,
    /// Duration of the leader lease, counted from the sending of a heartbeat that a quorum
    /// answered. Once it expires, the leader accepts no proposals and serves no reads.
    pub lease: Duration,
    /// Upper bound of the additional time, derived from its identity, that each replica waits
    /// before its first election after a start.
    pub stagger: Duration,
    /// Time without progress in syncing pending writes after which a leader steps down and a
    /// follower starts no election.
    pub disk_stall_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(1200),
            jitter: Duration::from_millis(800),
            lease: Duration::from_millis(900),
            stagger: Duration::ZERO,
            disk_stall_timeout: Duration::MAX,
        }
    }
}

/// Identity of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Identity of the disk and key in the voter list. A daemon that lost its disk gets a new one.
    pub replica: Name,
    /// Daemon that hosts the replica and receives its messages.
    pub daemon: Name,
    /// Number of votes that the replica has as a voter.
    pub weight: u32,
    /// Whether the replica may become leader. A replica that may not still votes and stores
    /// entries.
    pub electable: bool,
}

/// Persisted state of a replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stored {
    /// Voters that the log was created with; empty in a replica that is not one of them. They hold
    /// until the snapshot or an entry has a voter list.
    pub initial_voters: Vec<Voter>,
    /// Last persisted term.
    pub term: u64,
    /// Replica that this replica voted for in that term.
    pub vote: Option<Name>,
    /// Whether this replica was elected leader in that term.
    pub led: bool,
    /// Newest snapshot; its index is 0 before the first one.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Stored {
    /// Updates this state as a completed [`Write`] does on disk.
    ///
    /// ```
    /// use dotterelhoist_core::replica::{Stored, Write};
    ///
    /// let mut stored = Stored::default();
    /// stored.apply(Write::Ballot { term: 3, vote: None, led: false });
    /// assert_eq!(stored.term, 3);
    /// ```
    pub fn apply(&mut self, write: Write) {
        match write {
            Write::Ballot { term, vote, led } => {
                self.term = term;
                self.vote = vote;
                self.led = led;
            }
            Write::Entries(entries) => {
                for entry in entries {
                    self.entries.retain(|old| old.index < entry.index);
                    self.entries.push(entry);
                }
            }
            Write::Snapshot(snapshot) => {
                let is_last_covered =
                    |entry: &Entry| entry.index == snapshot.index && entry.term == snapshot.term;
                let matches = self.entries.iter().any(is_last_covered);
                self.entries.retain(|entry| matches && entry.index > snapshot.index);
                self.snapshot = snapshot;
            }
        }
    }
}

/// A write to a replica's persisted state. Writes are carried out in the order of their output.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Replaces the term, the vote in it, and whether this replica was elected in it.
    Ballot {
        /// Current term.
        term: u64,
        /// Replica that this replica voted for in this term.
        vote: Option<Name>,
        /// Whether this replica was elected leader in this term.
        led: bool,
    },
    /// Appends entries after dropping the stored entries from the first one's index on.
    Entries(Vec<Entry>),
    /// Replaces the log up to the snapshot's index. Later entries stay if the log has the
    /// snapshot's last entry; otherwise they are dropped.
    Snapshot(Snapshot),
}

/// An action that the caller has to carry out for a replica, in the order of output.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write and sync, then call [`Replica::mark_synced`] with this sequence number.
    Persist(u64, Write),
    /// Send a message to the replica on this daemon.
    Send(Name, Payload),
    /// Apply a committed entry to the state machine.
    Apply(Entry),
    /// Replace the state of the state machine by that of this snapshot.
    Restore(Snapshot),
}

/// Role of a replica in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Runs a pre-vote to find out whether it could win an election.
    PreCandidate,
    /// Asks for votes in its own term.
    Candidate,
    /// Was elected; appends entries and replicates them to the other replicas.
    Leader,
}

/// One replica of a log.
#[derive(Debug)]
pub struct Replica {
    identity: Identity,
    timing: Timing,
    /// Current term.
    term: u64,
    /// Replica that this replica voted for in `term`.
    vote: Option<Name>,
    role: Role,
    /// Leader of `term`, if known.
    leader: Option<Identity>,
    /// Daemons besides the voters that this replica asks to let it join.
    contacts: BTreeSet<Name>,
    /// Daemons besides the voters from which this replica, as leader, admits learners.
    hosts: BTreeSet<Name>,
    log: Log,
    /// Highest index known to be committed.
    commit: u64,
    /// Highest index that was output as [`Output::Apply`] or is covered by a restored snapshot.
    applied: u64,
    /// Replicas that granted their vote or pre-vote in the current election, including this one.
    votes: Vec<Name>,
    /// Replication state of each other replica; empty unless this replica leads.
    progress: BTreeMap<Name, Progress>,
    /// When this replica last accepted a leader's message or, as leader, received a reply. Opening
    /// and being elected count as well.
    last_contact: Instant,
    /// When this replica last accepted a leader's message, if it has since it was opened.
    last_leader_contact: Option<Instant>,
    /// When this replica starts the next election, unless a leader's message or a granted vote
    /// postpones it.
    election_deadline: Instant,
    /// When a leader next sends heartbeats, and when a replica that is new, is no voter or has lost
    /// its leader next sends [`Payload::Join`].
    next_heartbeat: Instant,
    /// Sequence number of the newest write.
    last_sequence: u64,
    /// Sequence number up to which all writes are synced.
    synced_sequence: u64,
    /// Sequence number of the newest [`Write::Ballot`].
    ballot_sequence: u64,
    /// Messages held back until the write with this sequence number is synced: number, daemon,
    /// message.
    pending_sends: VecDeque<(u64, Name, Payload)>,
    /// Commit index in the newest append message of a leader; `u64::MAX` before the first.
    leader_commit: u64,
    /// Limit set by [`Replica::set_max_voters`]. While it is unset, only daemons of voters and
    /// `hosts` are admitted.
    max_voters: Option<usize>,
    /// When this replica was last elected.
    leader_since: Instant,
    /// Newest term in which this replica is known to have been elected, else 0. A restart keeps it
    /// only if it is the stored term.
    last_led_term: u64,
    /// Newest term whose leader this replica may have answered, possibly before a restart.
    last_answered_term: u64,
    /// Until when this replica, which led before its restart, asks for votes at heartbeat intervals
    /// instead of waiting for an election timeout.
    immediate_election_until: Instant,
    /// While writes are unsynced: the synced sequence number, and since when it has not advanced.
    sync_stall: Option<(u64, Instant)>,
}

impl Replica {
    /// Opens a replica from its stored state.
    pub fn open(
        identity: Identity,
        timing: Timing,
        stored: Stored,
        now: Instant,
        outputs: &mut Vec<Output>,
    ) -> Replica {
        let snapshot = stored.snapshot.clone();
        let stagger = stagger(&identity.replica, timing.stagger);
        let immediate_election_until = if stored.led { now + timing.election } else { now };
        let log = Log::open(stored.snapshot, stored.entries, stored.initial_voters);
        if snapshot.index > 0 {
            outputs.push(Output::Restore(snapshot.clone()));
        }
        Replica {
            identity,
            timing,
            term: stored.term,
            last_led_term: if stored.led { stored.term } else { 0 },
            last_answered_term: stored.term,
            immediate_election_until,
            vote: stored.vote,
            role: Role::Follower,
            leader: None,
            contacts: BTreeSet::new(),
            hosts: BTreeSet::new(),
            commit: snapshot.index,
            applied: snapshot.index,
            log,
            votes: Vec::new(),
            progress: BTreeMap::new(),
            last_contact: now,
            last_leader_contact: None,
            election_deadline: if stored.led { now } else { now + timing.election + stagger },
            next_heartbeat: now,
            last_sequence: 0,
            synced_sequence: 0,
            ballot_sequence: 0,
            pending_sends: VecDeque::new(),
            leader_commit: u64::MAX,
            max_voters: None,
            leader_since: now,
            sync_stall: None,
        }
    }

    /// Adds a daemon that may know the leader, in addition to the voters: this replica asks it to
    /// let it join.
    pub fn add_contact(&mut self, daemon: Name) {
        self.contacts.insert(daemon);
    }

    /// Adds a daemon that may host a replica, in addition to the voters: as leader, this replica
    /// admits learners from it.
    pub fn add_host(&mut self, daemon: Name) {
        self.hosts.insert(daemon);
    }

    /// From now on admits any daemon, as long as there are fewer than `voters` voters, or in place
    /// of voters that have not answered for [`REPLACE_AFTER`].
    pub fn set_max_voters(&mut self, voters: usize) {
        self.max_voters = Some(voters);
    }

    /// Current role. A leader may still have lost its lease, see [`Replica::leads`].
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term, which is also the fencing number of orders given by its leader.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Index of the last entry that was output to be applied or is covered by a restored snapshot.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Voters as of the newest entry of the log.
    pub fn voters(&self) -> &[Voter] {
        self.log.voters()
    }

    /// Index of the last entry of the log, which need not be synced.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// At most `count` applied entries after `index`, or `None` if a snapshot has replaced them.
    pub fn committed_after(&self, index: u64, count: usize) -> Option<Vec<Entry>> {
        if index < self.log.snapshot().index {
            return None;
        }
        let end = self.applied.min(index + count as u64);
        Some((index + 1..=end).filter_map(|at| self.log.entry(at).cloned()).collect())
    }

    /// Number of entries after the snapshot.
    pub fn tail_len(&self) -> u64 {
        self.log.last_index() - self.log.snapshot().index
    }

    /// Daemon that hosts the leader, if this replica knows one.
    pub fn leader(&self) -> Option<&Name> {
        self.leader.as_ref().map(|leader| &leader.daemon)
    }

    /// Whether this replica is leader and its lease is valid at `now`.
    pub fn leads(&self, now: Instant) -> bool {
        self.role == Role::Leader && now < self.lease_end()
    }

    /// Whether this replica is leader with a valid lease and its last applied entry is of its own
    /// term. It has then applied everything that earlier leaders committed, so its state machine
    /// can answer reads.
    pub fn can_serve_reads(&self, now: Instant) -> bool {
        self.leads(now) && self.log.term(self.applied) == Some(self.term)
    }

    /// Whether the state machine contains everything that the leader had committed at its last
    /// message, which arrived less than [`Timing::election`] ago; a leader must be able to serve
    /// reads.
    ///
    /// The leader's commit index counts only if that entry is of the current term, because a leader
    /// that has committed nothing in its own term does not know yet what earlier leaders committed.
    pub fn is_up_to_date(&self, now: Instant) -> bool {
        if self.role == Role::Leader {
            return self.can_serve_reads(now);
        }
        let leader_is_recent = self
            .last_leader_contact
            .is_some_and(|contact| now.since(contact) < self.timing.election);
        let commit_is_current = self.log.term(self.leader_commit) == Some(self.term);
        leader_is_recent && commit_is_current && self.applied >= self.leader_commit
    }

    /// Appends a command to the log and returns its index, or returns `None` if this replica is not
    /// leader with a valid lease.
    pub fn propose(
        &mut self,
        now: Instant,
        command: Vec<u8>,
        outputs: &mut Vec<Output>,
    ) -> Option<u64> {
        if !self.leads(now) {
            return None;
        }
        Some(self.append(now, Entry::command(command), outputs))
    }

    /// Records that all writes up to `sequence` are on stable storage, and sends and applies what
    /// waited for them.
    pub fn mark_synced(&mut self, now: Instant, sequence: u64, outputs: &mut Vec<Output>) {
        self.synced_sequence = self.synced_sequence.max(sequence);
        self.log.mark_synced(sequence);
        while self.pending_sends.front().is_some_and(|send| send.0 <= self.synced_sequence) {
            if let Some((_, to, payload)) = self.pending_sends.pop_front() {
                outputs.push(Output::Send(to, payload));
            }
        }
        if self.role == Role::Candidate && self.synced_sequence >= self.last_sequence {
            self.count_votes(now, outputs);
        }
        if self.role == Role::Leader {
            self.advance_commit(now, outputs);
        }
        self.apply_committed(outputs);
    }

    /// Does what is due at `now`: a leader sends heartbeats or steps down, any other replica asks
    /// the leader to replicate the log to it or starts an election. `random` adds jitter to the
    /// next election timeout.
    pub fn tick(&mut self, now: Instant, random: u64, outputs: &mut Vec<Output>) {
        self.track_sync_stall(now);
        if self.role == Role::Leader {
            let isolated =
                now >= self.lease_end() && now.since(self.last_contact) > self.timing.election;
            if isolated || self.is_disk_stalled(now) {
                self.become_follower(self.term, None, now, random, outputs);
                return;
            }
            if now >= self.next_heartbeat {
                self.broadcast(now, true, outputs);
            }
            return;
        }
        let leader_missing = now.since(self.last_contact) > self.timing.election * 3;
        let is_new = self.log.last_index() == 0;
        if (!self.is_voter() || leader_missing || is_new) && now >= self.next_heartbeat {
            let interval = if is_new { self.timing.heartbeat } else { self.timing.election };
            self.next_heartbeat = now + interval;
            self.send_join(outputs);
        }
        if now < self.election_deadline {
            return;
        }
        let returning_leader = now < self.immediate_election_until;
        let timeout =
            if returning_leader { self.timing.heartbeat } else { self.election_timeout(random) };
        self.election_deadline = now + timeout;
        self.leader = None;
        if !self.identity.electable || !self.is_voter() || self.is_disk_stalled(now) {
            return;
        }
        self.role = Role::PreCandidate;
        self.votes = vec![self.identity.replica.clone()];
        self.request_votes(true, outputs);
        self.count_votes(now, outputs);
    }

    /// Handles a message from another replica of the same log. `random` adds jitter to the next
    /// election timeout.
    pub fn receive(
        &mut self,
        now: Instant,
        random: u64,
        payload: Payload,
        outputs: &mut Vec<Output>,
    ) {
        match payload {
            Payload::VoteRequest(request) => {
                self.receive_vote_request(now, random, request, outputs)
            }
            Payload::VoteReply(reply) => self.receive_vote_reply(now, random, reply, outputs),
            Payload::Append(append) => self.receive_append(now, random, append, outputs),
            Payload::AppendReply(reply) => self.receive_append_reply(now, random, reply, outputs),
            Payload::InstallSnapshot(snapshot) => {
                self.receive_snapshot(now, random, snapshot, outputs)
            }
            Payload::Join(voter) => self.receive_join(now, voter, outputs),
        }
    }

    /// Replaces the log up to the last applied entry by a snapshot; `state_machine` is the encoded
    /// state after that entry.
    pub fn compact(&mut self, state_machine: Vec<u8>, outputs: &mut Vec<Output>) {
        let snapshot = self.log.compact(self.applied, state_machine);
        self.persist(Write::Snapshot(snapshot), outputs);
    }

    fn is_voter(&self) -> bool {
        self.log.voters().iter().any(|voter| *voter.replica == *self.identity.replica)
    }

    /// Election timeout with a jitter that is derived from `random`.
    fn election_timeout(&self, random: u64) -> Duration {
        let jitter = self.timing.jitter.as_millis() as u64;
        self.timing.election + Duration::from_millis(random % jitter.max(1))
    }

    /// When the leader lease expires: [`Timing::lease`] after the sending of the newest message
    /// that a quorum has answered. If no quorum has answered yet, it counts as expired. It never
    /// expires if this replica is a quorum by itself.
    fn lease_end(&self) -> Instant {
        let own = &self.identity.replica;
        let progress = &self.progress;
        let answered = quorum::highest_reached(self.log.voters(), |voter| {
            if *voter.replica == **own {
                return u64::MAX;
            }
            progress.get(&*voter.replica).map_or(0, |progress| progress.acked_send_ms)
        });
        match answered {
            0 => Instant::default(),
            u64::MAX => Instant::after(Duration::MAX),
            millis => Instant::from_millis(millis) + self.timing.lease,
        }
    }

    /// Outputs a write of the current term, the vote in it and whether this replica was elected.
    fn persist_ballot(&mut self, outputs: &mut Vec<Output>) {
        let led = self.last_led_term == self.term;
        self.persist(Write::Ballot { term: self.term, vote: self.vote.clone(), led }, outputs);
        self.ballot_sequence = self.last_sequence;
    }

    /// Outputs a write with the next sequence number.
    fn persist(&mut self, write: Write, outputs: &mut Vec<Output>) {
        self.last_sequence += 1;
        self.log.begin_write(self.last_sequence);
        outputs.push(Output::Persist(self.last_sequence, write));
    }

    /// Sends a message as soon as all writes output so far have been synced.
    fn send_durable(&mut self, to: Name, payload: Payload, outputs: &mut Vec<Output>) {
        if self.synced_sequence >= self.last_sequence {
            outputs.push(Output::Send(to, payload));
            return;
        }
        self.pending_sends.push_back((self.last_sequence, to, payload));
    }

    /// All voters other than this replica.
    fn peers(&self) -> Vec<Voter> {
        let own = &self.identity.replica;
        self.log.voters().iter().filter(|voter| *voter.replica != **own).cloned().collect()
    }

    fn as_voter(&self) -> Voter {
        Voter {
            replica: self.identity.replica.to_string(),
            daemon: self.identity.daemon.to_string(),
            weight: self.identity.weight,
        }
    }

    /// Becomes a follower in `term` and restarts the election timeout.
    fn become_follower(
        &mut self,
        term: u64,
        leader: Option<Identity>,
        now: Instant,
        random: u64,
        outputs: &mut Vec<Output>,
    ) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.persist_ballot(outputs);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.progress.clear();
        self.election_deadline = now + self.election_timeout(random);
    }

    /// Appends an entry in this leader's term, replicates it and returns its index.
    fn append(&mut self, now: Instant, mut entry: Entry, outputs: &mut Vec<Output>) -> u64 {
        entry.term = self.term;
        entry.index = self.log.last_index() + 1;
        let index = entry.index;
        self.log.append(vec![entry.clone()]);
        self.persist(Write::Entries(vec![entry]), outputs);
        self.broadcast(now, false, outputs);
        index
    }

    /// Records since when unsynced writes have made no progress.
    fn track_sync_stall(&mut self, now: Instant) {
        if self.synced_sequence >= self.last_sequence {
            self.sync_stall = None;
            return;
        }
        match self.sync_stall {
            Some((synced, _)) if synced == self.synced_sequence => {}
            _ => self.sync_stall = Some((self.synced_sequence, now)),
        }
    }

    /// Whether no unsynced write has completed for longer than [`Timing::disk_stall_timeout`]. A
    /// leader then steps down, because it cannot make its own entries durable.
    fn is_disk_stalled(&self, now: Instant) -> bool {
        self.sync_stall.is_some_and(|(_, since)| now.since(since) > self.timing.disk_stall_timeout)
    }

    /// Raises the commit index to the highest index that a quorum has made durable, provided that
    /// this entry is of the current term: an entry of an earlier term can still be overwritten by
    /// another leader even when a quorum has it.
    fn advance_commit(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let own = &self.identity.replica;
        let durable = self.log.durable_index();
        let progress = &self.progress;
        let agreed = quorum::highest_reached(self.log.voters(), |voter| {
            if *voter.replica == **own {
                return durable;
            }
            progress.get(&*voter.replica).map_or(0, |progress| progress.match_index)
        });
        if agreed <= self.commit || self.log.term(agreed) != Some(self.term) {
            return;
        }
        self.commit = agreed;
        self.apply_committed(outputs);
        self.broadcast(now, false, outputs);
    }

    /// Outputs the entries that are committed and durable here, and not yet applied.
    fn apply_committed(&mut self, outputs: &mut Vec<Output>) {
        let end = self.commit.min(self.log.durable_index());
        while self.applied < end {
            self.applied += 1;
            if let Some(entry) = self.log.entry(self.applied) {
                outputs.push(Output::Apply(entry.clone()));
            }
        }
    }
}

/// Additional time, less than `limit`, that a replica waits before its first election after a
/// start. It is derived from the replica's identity, because replicas that start together would
/// otherwise become candidates together and split the votes.
fn stagger(replica: &str, limit: Duration) -> Duration {
    let span = limit.as_millis() as u64;
    Duration::from_millis(xxh3_64(replica.as_bytes()) % span.max(1))
}
