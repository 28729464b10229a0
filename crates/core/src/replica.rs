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
//!   leader whose process ended is thus elected again as soon as it is back ([`Vote::led`]).
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

pub mod log;
pub mod message;
mod progress;
pub mod quorum;

use self::log::Log;
use self::message::{Append, AppendReply, Entry, Install, Payload, Vote, VoteReply, Voter};
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
    pub disk_patience: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(1200),
            jitter: Duration::from_millis(800),
            lease: Duration::from_millis(900),
            stagger: Duration::ZERO,
            disk_patience: Duration::MAX,
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
    pub stands: bool,
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
    pub snapshot: Install,
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
    /// stored.take_in(Write::Ballot { term: 3, vote: None, led: false });
    /// assert_eq!(stored.term, 3);
    /// ```
    pub fn take_in(&mut self, write: Write) {
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
    Snapshot(Install),
}

/// What a replica wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write and sync, then report [`Replica::synced`] with this sequence number.
    Persist(u64, Write),
    /// Send to the daemon that hosts a replica.
    Send(Name, Payload),
    /// Apply a committed entry to the state machine.
    Apply(Entry),
    /// Replace the state machine by this snapshot.
    Restore(Install),
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
    pub fn set_capacity(&mut self, voters: usize) {
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
    pub fn reads(&self, now: Instant) -> bool {
        self.leads(now) && self.log.term(self.applied) == Some(self.term)
    }

    /// Whether the state machine holds everything that a leader, heard within the election time,
    /// had committed. A leader that has committed nothing in its own term does not know yet what the
    /// leaders before it committed.
    pub fn fresh(&self, now: Instant) -> bool {
        if self.role == Role::Leader {
            return self.reads(now);
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
    pub fn synced(&mut self, now: Instant, sequence: u64, outputs: &mut Vec<Output>) {
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
        if !self.identity.stands || !self.is_voter() || self.is_stalled(now) {
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
            Payload::Vote(vote) => self.receive_vote(now, draw, vote, outputs),
            Payload::VoteReply(reply) => self.receive_vote_reply(now, draw, reply, outputs),
            Payload::Append(append) => self.receive_append(now, draw, append, outputs),
            Payload::AppendReply(reply) => self.receive_append_reply(now, draw, reply, outputs),
            Payload::Install(install) => self.receive_install(now, draw, install, outputs),
            Payload::Join(voter) => self.receive_join(now, voter, outputs),
        }
    }

    /// Replaces the log up to the last applied entry by a snapshot of the state machine.
    pub fn compact(&mut self, machine: Vec<u8>, outputs: &mut Vec<Output>) {
        let snapshot = self.log.compact(self.applied, machine);
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
        let answered = quorum::reached(self.log.voters(), |voter| {
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

    fn ask_to_join(&mut self, outputs: &mut Vec<Output>) {
        for peer in self.peers() {
            if *peer.daemon != *self.identity.daemon {
                outputs.push(Output::Send(peer.daemon.into(), Payload::Join(self.as_voter())));
            }
        }
    }

    fn request_votes(&mut self, pre: bool, outputs: &mut Vec<Output>) {
        let term = if pre { self.term + 1 } else { self.term };
        let vote = Vote {
            term,
            pre,
            candidate: Some(self.as_voter()),
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            led: self.led,
        };
        for peer in self.peers() {
            let payload = Payload::Vote(vote.clone());
            if pre {
                outputs.push(Output::Send(peer.daemon.into(), payload));
            } else {
                self.send_durable(peer.daemon.into(), payload, outputs);
            }
        }
    }

    fn receive_vote(&mut self, now: Instant, draw: u64, vote: Vote, outputs: &mut Vec<Output>) {
        let Some(candidate) = vote.candidate else { return };
        let leads = self.role == Role::Leader && self.leads(now);
        let recently = now.since(self.heard) < self.timing.election && vote.led < self.answered;
        let known = self.log.voters().iter().any(|voter| voter.replica == candidate.replica);
        if leads || recently || !known || !self.is_voter() {
            return;
        }
        if !vote.pre && vote.term > self.term {
            self.follow(vote.term, None, now, draw, outputs);
        }
        let current =
            (vote.last_term, vote.last_index) >= (self.log.last_term(), self.log.last_index());
        let free = match &self.vote {
            None => true,
            Some(voted) => **voted == *candidate.replica,
        };
        let granted = if vote.pre {
            vote.term > self.term && current
        } else {
            vote.term == self.term && free && current
        };
        if granted && !vote.pre && self.vote.is_none() {
            self.vote = Some(candidate.replica.as_str().into());
            self.deadline = now + self.election_timeout(draw);
            self.persist_ballot(outputs);
        }
        let reply = VoteReply {
            term: if granted { vote.term } else { self.term },
            pre: vote.pre,
            granted,
            voter: self.identity.replica.to_string(),
        };
        self.send_durable(candidate.daemon.into(), Payload::VoteReply(reply), outputs);
    }

    fn receive_vote_reply(
        &mut self,
        now: Instant,
        draw: u64,
        reply: VoteReply,
        outputs: &mut Vec<Output>,
    ) {
        if !reply.granted {
            if reply.term > self.term {
                self.follow(reply.term, None, now, draw, outputs);
            }
            return;
        }
        let expected = match self.role {
            Role::PreCandidate => reply.pre && reply.term == self.term + 1,
            Role::Candidate => !reply.pre && reply.term == self.term,
            Role::Follower | Role::Leader => false,
        };
        if !expected {
            return;
        }
        let voter: Name = reply.voter.into();
        if !self.votes.contains(&voter) {
            self.votes.push(voter);
        }
        self.count_votes(now, outputs);
    }

    fn count_votes(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let votes = &self.votes;
        let granted = quorum::reached(self.log.voters(), |voter| {
            u64::from(votes.iter().any(|vote| **vote == *voter.replica))
        });
        if granted == 0 {
            return;
        }
        match self.role {
            Role::PreCandidate => self.stand(now, outputs),
            Role::Candidate if self.synced >= self.sequence => self.lead(now, outputs),
            _ => {}
        }
    }

    fn stand(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.role = Role::Candidate;
        self.deadline = self.deadline.max(now + self.timing.election);
        self.term += 1;
        self.vote = Some(self.identity.replica.clone());
        self.votes = vec![self.identity.replica.clone()];
        self.persist_ballot(outputs);
        self.request_votes(false, outputs);
        self.count_votes(now, outputs);
    }

    fn lead(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.role = Role::Leader;
        self.leader = Some(self.identity.clone());
        self.heard = now;
        self.led_since = now;
        self.led = self.term;
        self.persist_ballot(outputs);
        self.progress.clear();
        for peer in self.peers() {
            let progress = Progress::new(peer.daemon.into(), self.log.last_index() + 1);
            self.progress.insert(peer.replica.into(), progress);
        }
        self.append(now, Entry::default(), outputs);
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

    fn broadcast(&mut self, now: Instant, heartbeat: bool, outputs: &mut Vec<Output>) {
        if heartbeat {
            self.next_heartbeat = now + self.timing.heartbeat;
        }
        let replicas: Vec<Name> = self.progress.keys().cloned().collect();
        for replica in replicas {
            self.send_append(&replica, now, outputs);
        }
    }

    /// Sends what a replica lacks: entries, or the snapshot. While a snapshot is under way it gets
    /// heartbeats that claim nothing about its log, so that it does not miss its leader.
    fn send_append(&mut self, replica: &Name, now: Instant, outputs: &mut Vec<Output>) {
        let leader = self.as_voter();
        let bytes = self.log.snapshot().machine.len() as u64;
        let interval = INSTALL_INTERVAL + Duration::from_millis(bytes / INSTALL_BYTES_PER_MS);
        let Some(progress) = self.progress.get_mut(replica) else { return };
        if progress.next <= self.log.snapshot().index {
            let waiting = progress.installed.is_some_and(|at| now.since(at) < interval);
            if waiting {
                let append = Append {
                    term: self.term,
                    leader: Some(leader),
                    commit: self.commit,
                    sent_at: now.as_millis(),
                    ..Append::default()
                };
                outputs.push(Output::Send(progress.daemon.clone(), Payload::Append(append)));
                return;
            }
            progress.installed = Some(now);
            let mut install = self.log.snapshot().clone();
            install.leader_term = self.term;
            install.sent_at = now.as_millis();
            install.leader = Some(leader);
            outputs.push(Output::Send(progress.daemon.clone(), Payload::Install(install)));
            return;
        }
        let previous = progress.next - 1;
        let entries = self.log.batch(progress.next, APPEND_ENTRIES, APPEND_BYTES);
        progress.next += entries.len() as u64;
        let append = Append {
            term: self.term,
            leader: Some(leader),
            previous_index: previous,
            previous_term: self.log.term(previous).unwrap_or(0),
            entries,
            commit: self.commit,
            sent_at: now.as_millis(),
        };
        outputs.push(Output::Send(progress.daemon.clone(), Payload::Append(append)));
    }

    /// Accepts the sender as leader of `term`; false if the term is over.
    fn accept_leader(
        &mut self,
        term: u64,
        leader: &Voter,
        now: Instant,
        draw: u64,
        outputs: &mut Vec<Output>,
    ) -> bool {
        if term < self.term || (self.role == Role::Leader && term == self.term) {
            return false;
        }
        let identity = Identity {
            replica: leader.replica.as_str().into(),
            daemon: leader.daemon.as_str().into(),
            weight: leader.weight,
            stands: true,
        };
        self.follow(term, Some(identity), now, draw, outputs);
        self.heard = now;
        self.heard_leader = Some(now);
        self.answered = term;
        true
    }

    fn receive_append(
        &mut self,
        now: Instant,
        draw: u64,
        append: Append,
        outputs: &mut Vec<Output>,
    ) {
        let Some(leader) = append.leader else { return };
        let to: Name = leader.daemon.as_str().into();
        let mut reply = AppendReply {
            term: self.term.max(append.term),
            replica: self.identity.replica.to_string(),
            accepted: false,
            index: self.log.last_index(),
            sent_at: append.sent_at,
        };
        if !self.accept_leader(append.term, &leader, now, draw, outputs) {
            outputs.push(Output::Send(to, Payload::AppendReply(reply)));
            return;
        }
        self.leader_commit = append.commit;
        let snapshot = self.log.snapshot().index;
        let matches = append.previous_index < snapshot
            || self.log.term(append.previous_index) == Some(append.previous_term);
        if !matches {
            reply.index = self.log.last_index().min(append.previous_index.saturating_sub(1));
            self.send_durable(to, Payload::AppendReply(reply), outputs);
            return;
        }
        let last = append.previous_index + append.entries.len() as u64;
        let fresh = self.log.first_new(append.entries);
        if !fresh.is_empty() {
            self.log.truncate(fresh[0].index);
            self.log.append(fresh.clone());
            self.persist(Write::Entries(fresh), outputs);
        }
        self.commit = self.commit.max(append.commit.min(last));
        reply.accepted = true;
        self.answer_early(&to, &reply, outputs);
        reply.index = last;
        self.send_durable(to, Payload::AppendReply(reply), outputs);
        self.apply_committed(outputs);
    }

    /// Answers a leader while entries still wait for the disk, so that a slow disk does not cost it its
    /// lease. This answer says nothing of the entries. The ballot must be durable: a replica that forgot
    /// the term could vote against the leader that it has answered.
    fn answer_early(&self, to: &Name, reply: &AppendReply, outputs: &mut Vec<Output>) {
        if self.synced >= self.sequence || self.synced < self.ballot {
            return;
        }
        let reply = AppendReply { index: 0, ..reply.clone() };
        outputs.push(Output::Send(to.clone(), Payload::AppendReply(reply)));
    }

    fn receive_append_reply(
        &mut self,
        now: Instant,
        draw: u64,
        reply: AppendReply,
        outputs: &mut Vec<Output>,
    ) {
        if reply.term > self.term {
            self.follow(reply.term, None, now, draw, outputs);
            return;
        }
        if self.role != Role::Leader || reply.term < self.term {
            return;
        }
        let replica: Name = reply.replica.into();
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&replica) else { return };
        progress.answered_at = progress.answered_at.max(reply.sent_at);
        self.heard = now;
        if !reply.accepted {
            progress.next = (reply.index + 1).min(progress.next).max(progress.matched + 1);
            self.send_append(&replica, now, outputs);
            return;
        }
        if reply.index > progress.matched {
            progress.matched = reply.index;
            progress.installed = None;
        }
        progress.next = progress.next.max(progress.matched + 1);
        let behind = progress.next <= last;
        self.advance_commit(now, outputs);
        if behind {
            self.send_append(&replica, now, outputs);
        }
        self.admit_learners(now, outputs);
    }

    fn receive_install(
        &mut self,
        now: Instant,
        draw: u64,
        install: Install,
        outputs: &mut Vec<Output>,
    ) {
        let Some(leader) = install.leader.clone() else { return };
        if !self.accept_leader(install.leader_term, &leader, now, draw, outputs) {
            return;
        }
        let reply = AppendReply {
            term: self.term,
            replica: self.identity.replica.to_string(),
            accepted: true,
            index: install.index,
            sent_at: install.sent_at,
        };
        if install.index > self.applied {
            self.log.install(install.clone());
            self.commit = self.commit.max(install.index);
            self.applied = install.index;
            self.persist(Write::Snapshot(install.clone()), outputs);
            outputs.push(Output::Restore(install));
        }
        self.send_durable(leader.daemon.into(), Payload::AppendReply(reply), outputs);
    }

    /// Starts to feed a daemon that returned with an empty disk.
    fn receive_join(&mut self, now: Instant, voter: Voter, outputs: &mut Vec<Output>) {
        if !self.leads(now) {
            return;
        }
        let hosts = self.founders.iter().chain(self.log.voters());
        let listed = hosts.into_iter().any(|host| host.daemon == voter.daemon);
        let replica: Name = voter.replica.as_str().into();
        let welcome = listed || self.capacity.is_some();
        if self.progress.contains_key(&replica) || !welcome {
            return;
        }
        let mut progress = Progress::new(voter.daemon.into(), self.log.last_index() + 1);
        progress.learner = true;
        progress.weight = voter.weight;
        self.progress.insert(replica.clone(), progress);
        self.send_append(&replica, now, outputs);
    }

    /// Exchanges lost disks for learners that have caught up, one change at a time: first the old
    /// identity leaves, then the new one enters, so that any two successive quorums meet.
    fn admit_learners(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let settled =
            self.log.term(self.commit) == Some(self.term) && self.log.voters_index() <= self.commit;
        if !settled || !self.leads(now) {
            return;
        }
        let commit = self.commit;
        let ready = self.progress.iter().find(|(_, p)| p.learner && p.matched >= commit);
        let Some((replica, progress)) = ready else { return };
        let (replica, daemon, weight) = (replica.clone(), progress.daemon.clone(), progress.weight);
        let old = self.log.voters().to_vec();
        let mut new = old.clone();
        match new.iter().position(|voter| *voter.daemon == *daemon) {
            Some(position) => {
                let lost: Name = new.remove(position).replica.into();
                self.progress.remove(&lost);
            }
            None if self.is_full() => {
                let Some(position) = self.silent_voter(now) else { return };
                let lost: Name = new.remove(position).replica.into();
                self.progress.remove(&lost);
            }
            None => {
                new.push(Voter {
                    replica: replica.to_string(),
                    daemon: daemon.to_string(),
                    weight,
                });
                if let Some(progress) = self.progress.get_mut(&replica) {
                    progress.learner = false;
                }
            }
        }
        if quorum::meet(&old, &new) {
            self.append(now, Entry::voters(new), outputs);
        }
    }

    fn is_full(&self) -> bool {
        self.capacity.is_some_and(|capacity| self.log.voters().len() >= capacity)
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

    /// Whether the disk has not finished a write for [`Timing::disk_patience`]. A leader then gives up its
    /// lead, because it can commit nothing itself.
    fn is_stalled(&self, now: Instant) -> bool {
        self.stalled.is_some_and(|(_, since)| now.since(since) > self.timing.disk_patience)
    }

    /// Position of a voter that has not answered for [`REPLACE_AFTER`].
    fn silent_voter(&self, now: Instant) -> Option<usize> {
        let own = &self.identity.replica;
        self.log.voters().iter().position(|voter| {
            let answered = self.progress.get(&*voter.replica).map_or(0, |p| p.answered_at);
            let answered = Instant::from_millis(answered);
            *voter.replica != **own && now.since(answered.max(self.led_since)) > REPLACE_AFTER
        })
    }

    fn advance_commit(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let own = &self.identity.replica;
        let durable = self.log.durable_index();
        let progress = &self.progress;
        let agreed = quorum::reached(self.log.voters(), |voter| {
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
