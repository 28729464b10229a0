//! One replica of a leader-based replicated log.
//!
//! The replica is a pure state machine: messages, ticks and completed syncs go in, [`Output`]s come
//! out. It follows the usual scheme of terms, votes and log matching, with these additions:
//!
//! * **Pre-vote**: a replica only raises its term once a quorum says that it could win, so a replica
//!   that was cut off does not disturb a working leader when it returns.
//! * **Leader lease**: a leader counts itself as leader only until [`Timing::lease`] after the
//!   *sending* of the newest heartbeat that a quorum has answered. A voter refuses every vote for
//!   [`Timing::election`] after it last heard from a leader or started, which is longer than the
//!   lease by more than the drift bound. A leader that was frozen has thus lost its lease before any
//!   other replica can win.
//! * **Return of a leader**: the refusal protects the lease of the leader that the voter answered last.
//!   A candidate that led that term itself has given up that lease by asking, so it is not refused. A
//!   leader whose process ended is thus elected again as soon as it is back ([`VoteRequest::last_led_term`]).
//! * **Weighted votes**: see [`quorum`].
//! * **Durability before words**: each message that tells of stored state is held back until the
//!   write it depends on has been synced.
//! * **Replica identities**: a voter is a daemon *and* the identity of its disk. A daemon that lost
//!   its disk returns under a new identity as a learner and becomes a voter only through committed
//!   changes of the voter list, so votes and acknowledgements given before the loss are never given
//!   twice.

use std::collections::{BTreeMap, VecDeque};
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

/// Entries sent in one append message.
const APPEND_ENTRIES: usize = 256;
/// Bytes of entry data after which an append message is closed.
const APPEND_BYTES: usize = 1 << 20;
/// Least time between two snapshots sent to the same replica.
const INSTALL_INTERVAL: Duration = Duration::from_millis(250);
/// Bytes of a snapshot that lengthen this time by one millisecond.
const INSTALL_BYTES_PER_MS: u64 = 1024;
/// Silence after which a voter may be replaced by a daemon that has caught up.
pub const REPLACE_AFTER: Duration = Duration::from_millis(1500);

/// Time constants of a log; the same for each of its replicas.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Time without a leader after which a follower asks for votes, and for which it refuses them.
    pub election: Duration,
    /// Largest random addition to `election`.
    pub jitter: Duration,
    /// Time for which an answered heartbeat lets a leader act.
    pub lease: Duration,
    /// Largest time by which replicas that start together first stand later than one another.
    pub stagger: Duration,
    /// Time for which a write may wait for the disk before a leader gives up its lead.
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
    /// Identity of the disk, unique over lost disks; the key in the voter list.
    pub replica: Name,
    /// Daemon that hosts the replica and receives its messages.
    pub daemon: Name,
    /// Votes that the replica has once it is a voter.
    pub weight: u32,
    /// Whether it may stand for election; one that may not only votes and stores.
    pub electable: bool,
}

/// What a replica read back from its files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stored {
    /// Last persisted term.
    pub term: u64,
    /// Replica voted for in that term.
    pub vote: Option<Name>,
    /// Whether this replica was elected in that term.
    pub led: bool,
    /// Newest snapshot, empty before the first.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Stored {
    /// Takes in a write, as the files do.
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
                let covers =
                    |entry: &Entry| entry.index == snapshot.index && entry.term == snapshot.term;
                let agrees = self.entries.iter().any(covers);
                self.entries.retain(|entry| agrees && entry.index > snapshot.index);
                self.snapshot = snapshot;
            }
        }
    }
}

/// What a replica wants written, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// The term and the vote given in it.
    Ballot {
        /// Current term.
        term: u64,
        /// Replica voted for in this term.
        vote: Option<Name>,
        /// Whether this replica was elected in this term.
        led: bool,
    },
    /// Entries; stored entries from the first one's index on are dropped before.
    Entries(Vec<Entry>),
    /// A snapshot that replaces the log up to its index.
    Snapshot(Snapshot),
}

/// What a replica wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write and sync, then report [`Replica::mark_synced`] with this sequence number.
    Persist(u64, Write),
    /// Send to the daemon that hosts a replica.
    Send(Name, Payload),
    /// Apply a committed entry to the state machine.
    Apply(Entry),
    /// Replace the state machine by this snapshot.
    Restore(Snapshot),
}

/// Part that a replica plays in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it could win.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Appends entries.
    Leader,
}

/// One replica of a log.
#[derive(Debug)]
pub struct Replica {
    identity: Identity,
    timing: Timing,
    term: u64,
    vote: Option<Name>,
    role: Role,
    leader: Option<Identity>,
    founders: Vec<Voter>,
    log: Log,
    commit: u64,
    applied: u64,
    votes: Vec<Name>,
    progress: BTreeMap<Name, Progress>,
    heard: Instant,
    heard_leader: Option<Instant>,
    deadline: Instant,
    /// When a leader next sends heartbeats, and a learner next asks to be fed.
    next_heartbeat: Instant,
    sequence: u64,
    synced: u64,
    /// Sequence of the newest ballot.
    ballot: u64,
    held: VecDeque<(u64, Name, Payload)>,
    leader_commit: u64,
    capacity: Option<usize>,
    /// When this replica began to lead.
    led_since: Instant,
    /// Newest term in which this replica was elected, 0 if it never was.
    led: u64,
    /// Newest term whose leader this replica may have answered.
    answered: u64,
    /// Until when this replica, which led before it started, asks for votes at once.
    returns_until: Instant,
    /// Sequence that was synced last, and since when nothing newer was, while writes wait.
    stalled: Option<(u64, Instant)>,
}

impl Replica {
    /// Opens a replica from its stored state. `founders` is the voter list of a new log and is
    /// ignored once the log holds a list of its own.
    pub fn open(
        identity: Identity,
        founders: Vec<Voter>,
        timing: Timing,
        stored: Stored,
        now: Instant,
        outputs: &mut Vec<Output>,
    ) -> Replica {
        let snapshot = stored.snapshot.clone();
        let stagger = stagger(&identity.replica, timing.stagger);
        let returns_until = if stored.led { now + timing.election } else { now };
        let log = Log::open(stored.snapshot, stored.entries, founders.clone());
        if snapshot.index > 0 {
            outputs.push(Output::Restore(snapshot.clone()));
        }
        Replica {
            identity,
            timing,
            term: stored.term,
            led: if stored.led { stored.term } else { 0 },
            answered: stored.term,
            returns_until,
            vote: stored.vote,
            role: Role::Follower,
            leader: None,
            founders,
            commit: snapshot.index,
            applied: snapshot.index,
            log,
            votes: Vec::new(),
            progress: BTreeMap::new(),
            heard: now,
            heard_leader: None,
            deadline: if stored.led { now } else { now + timing.election + stagger },
            next_heartbeat: now,
            sequence: 0,
            synced: 0,
            ballot: 0,
            held: VecDeque::new(),
            leader_commit: u64::MAX,
            capacity: None,
            led_since: now,
            stalled: None,
        }
    }

    /// Lets daemons that no settings name become voters: up to `voters` of them in all, and in place
    /// of voters that have been silent for [`REPLACE_AFTER`].
    pub fn set_max_voters(&mut self, voters: usize) {
        self.capacity = Some(voters);
    }

    /// Part that this replica plays.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term, which is also the fencing number of orders given by its leader.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Voters as of the newest entry of the log.
    pub fn voters(&self) -> &[Voter] {
        self.log.voters()
    }

    /// Index of the last entry that is held in memory or on disk.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Committed entries after `index` that are durable here, at most `count`; none if they are no
    /// longer kept.
    pub fn committed_after(&self, index: u64, count: usize) -> Option<Vec<Entry>> {
        if index < self.log.snapshot().index {
            return None;
        }
        let end = self.applied.min(index + count as u64);
        Some((index + 1..=end).filter_map(|at| self.log.entry(at).cloned()).collect())
    }

    /// Number of entries since the snapshot.
    pub fn tail_len(&self) -> u64 {
        self.log.last_index() - self.log.snapshot().index
    }

    /// Daemon that hosts the leader this replica knows of.
    pub fn leader(&self) -> Option<&Name> {
        self.leader.as_ref().map(|leader| &leader.daemon)
    }

    /// Whether this replica leads and its lease has not run out at `now`.
    pub fn leads(&self, now: Instant) -> bool {
        self.role == Role::Leader && now < self.lease_end()
    }

    /// Whether this replica leads, holds its lease and has applied all that earlier leaders
    /// committed, so that its state machine can answer reads.
    pub fn can_serve_reads(&self, now: Instant) -> bool {
        self.leads(now) && self.log.term(self.applied) == Some(self.term)
    }

    /// Whether the state machine holds everything that a leader, heard within the election time,
    /// had committed. A leader that has committed nothing in its own term does not know yet what the
    /// leaders before it committed.
    pub fn is_up_to_date(&self, now: Instant) -> bool {
        if self.role == Role::Leader {
            return self.can_serve_reads(now);
        }
        let heard = self.heard_leader.is_some_and(|heard| now.since(heard) < self.timing.election);
        let current = self.log.term(self.leader_commit) == Some(self.term);
        heard && current && self.applied >= self.leader_commit
    }

    /// Appends a command as leader.
    ///
    /// Returns its index, or `None` if this replica does not lead with a valid lease.
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

    /// Records that all writes up to `sequence` are on stable storage.
    pub fn mark_synced(&mut self, now: Instant, sequence: u64, outputs: &mut Vec<Output>) {
        self.synced = self.synced.max(sequence);
        self.log.synced(sequence);
        while self.held.front().is_some_and(|held| held.0 <= self.synced) {
            if let Some((_, to, payload)) = self.held.pop_front() {
                outputs.push(Output::Send(to, payload));
            }
        }
        if self.role == Role::Candidate && self.synced >= self.sequence {
            self.count_votes(now, outputs);
        }
        if self.role == Role::Leader {
            self.advance_commit(now, outputs);
        }
        self.apply_committed(outputs);
    }

    /// Lets time pass. `draw` is a random number for the next election timeout.
    pub fn tick(&mut self, now: Instant, draw: u64, outputs: &mut Vec<Output>) {
        self.note_stall(now);
        if self.role == Role::Leader {
            let cut_off = now >= self.lease_end() && now.since(self.heard) > self.timing.election;
            if cut_off || self.is_stalled(now) {
                self.follow(self.term, None, now, draw, outputs);
                return;
            }
            if now >= self.next_heartbeat {
                self.broadcast(now, true, outputs);
            }
            return;
        }
        let forgotten = now.since(self.heard) > self.timing.election * 3;
        if (!self.is_voter() || forgotten) && now >= self.next_heartbeat {
            self.next_heartbeat = now + self.timing.election;
            self.ask_to_join(outputs);
        }
        if now < self.deadline {
            return;
        }
        let returns = now < self.returns_until;
        let again = if returns { self.timing.heartbeat } else { self.election_timeout(draw) };
        self.deadline = now + again;
        self.leader = None;
        if !self.identity.electable || !self.is_voter() || self.is_stalled(now) {
            return;
        }
        self.role = Role::PreCandidate;
        self.votes = vec![self.identity.replica.clone()];
        self.request_votes(true, outputs);
        self.count_votes(now, outputs);
    }

    /// Handles a message of another replica of the same log.
    pub fn receive(
        &mut self,
        now: Instant,
        draw: u64,
        payload: Payload,
        outputs: &mut Vec<Output>,
    ) {
        match payload {
            Payload::VoteRequest(request) => self.receive_vote_request(now, draw, request, outputs),
            Payload::VoteReply(reply) => self.receive_vote_reply(now, draw, reply, outputs),
            Payload::Append(append) => self.receive_append(now, draw, append, outputs),
            Payload::AppendReply(reply) => self.receive_append_reply(now, draw, reply, outputs),
            Payload::InstallSnapshot(snapshot) => {
                self.receive_snapshot(now, draw, snapshot, outputs)
            }
            Payload::Join(voter) => self.receive_join(now, voter, outputs),
        }
    }

    /// Replaces the log up to the last applied entry by a snapshot of the state machine.
    pub fn compact(&mut self, state_machine: Vec<u8>, outputs: &mut Vec<Output>) {
        let snapshot = self.log.compact(self.applied, state_machine);
        self.persist(Write::Snapshot(snapshot), outputs);
    }

    fn is_voter(&self) -> bool {
        self.log.voters().iter().any(|voter| *voter.replica == *self.identity.replica)
    }

    fn election_timeout(&self, draw: u64) -> Duration {
        let jitter = self.timing.jitter.as_millis() as u64;
        self.timing.election + Duration::from_millis(draw % jitter.max(1))
    }

    fn lease_end(&self) -> Instant {
        let own = &self.identity.replica;
        let progress = &self.progress;
        let answered = quorum::highest_reached(self.log.voters(), |voter| {
            if *voter.replica == **own {
                return u64::MAX;
            }
            progress.get(&*voter.replica).map_or(0, |progress| progress.answered_at)
        });
        match answered {
            0 => Instant::default(),
            u64::MAX => Instant::after(Duration::MAX),
            millis => Instant::from_millis(millis) + self.timing.lease,
        }
    }

    fn persist_ballot(&mut self, outputs: &mut Vec<Output>) {
        let led = self.led == self.term;
        self.persist(Write::Ballot { term: self.term, vote: self.vote.clone(), led }, outputs);
        self.ballot = self.sequence;
    }

    fn persist(&mut self, write: Write, outputs: &mut Vec<Output>) {
        self.sequence += 1;
        self.log.writing(self.sequence);
        outputs.push(Output::Persist(self.sequence, write));
    }

    /// Sends once everything written so far has been synced.
    fn send_durable(&mut self, to: Name, payload: Payload, outputs: &mut Vec<Output>) {
        if self.synced >= self.sequence {
            outputs.push(Output::Send(to, payload));
            return;
        }
        self.held.push_back((self.sequence, to, payload));
    }

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

    /// Becomes a follower in `term`.
    fn follow(
        &mut self,
        term: u64,
        leader: Option<Identity>,
        now: Instant,
        draw: u64,
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
        self.deadline = now + self.election_timeout(draw);
    }

    fn append(&mut self, now: Instant, mut entry: Entry, outputs: &mut Vec<Output>) -> u64 {
        entry.term = self.term;
        entry.index = self.log.last_index() + 1;
        let index = entry.index;
        self.log.append(vec![entry.clone()]);
        self.persist(Write::Entries(vec![entry]), outputs);
        self.broadcast(now, false, outputs);
        index
    }

    /// Keeps in mind since when a write has waited for the disk.
    fn note_stall(&mut self, now: Instant) {
        if self.synced >= self.sequence {
            self.stalled = None;
            return;
        }
        match self.stalled {
            Some((synced, _)) if synced == self.synced => {}
            _ => self.stalled = Some((self.synced, now)),
        }
    }

    /// Whether the disk has not finished a write for [`Timing::disk_stall_timeout`]. A leader then gives up its
    /// lead, because it can commit nothing itself.
    fn is_stalled(&self, now: Instant) -> bool {
        self.stalled.is_some_and(|(_, since)| now.since(since) > self.timing.disk_stall_timeout)
    }

    fn advance_commit(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let own = &self.identity.replica;
        let durable = self.log.durable_index();
        let progress = &self.progress;
        let agreed = quorum::highest_reached(self.log.voters(), |voter| {
            if *voter.replica == **own {
                return durable;
            }
            progress.get(&*voter.replica).map_or(0, |progress| progress.matched)
        });
        if agreed <= self.commit || self.log.term(agreed) != Some(self.term) {
            return;
        }
        self.commit = agreed;
        self.apply_committed(outputs);
        self.broadcast(now, false, outputs);
    }

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

/// Time by which a replica stands later after its start than another: replicas that start at the same
/// moment would otherwise stand at the same moment and split the votes.
fn stagger(replica: &str, most: Duration) -> Duration {
    let span = most.as_millis() as u64;
    Duration::from_millis(xxh3_64(replica.as_bytes()) % span.max(1))
}
