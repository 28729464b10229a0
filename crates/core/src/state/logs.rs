//! Replicas hosted by this daemon, the configuration log fetched from other daemons, and proposals.

use prost::Message;
use smallvec::SmallVec;

use crate::clock::Instant;
use crate::control::command::{
    Body as CommandBody, Command, Run, RunResult, Settle, SuspectChange, Suspicion,
};
use crate::control::StateMachine;
use crate::effect::{Effect, Effects};
use crate::journal;
use crate::message::{Body, Suspect};
use crate::policy::{CLAIM_GRACE, COMPACT_AFTER, PROPOSAL_TIMEOUT};
use crate::replica::message::{Entry, Envelope, Voter};
use crate::replica::{Output, Replica, Role};
use crate::Name;

use super::{Content, State, StoredReplica};

use std::collections::BTreeMap;
use std::time::Duration;

mod fetching;
mod proposing;

/// Log entries in one reply to a daemon that fetches them; it asks again for the rest.
const FETCH_REPLY_ENTRIES: usize = 512;
/// Times that a command may be forwarded after its proposer has sent it. The daemon that receives
/// it then answers that no leader accepted it, without trying itself.
const FORWARDS_MAX: u32 = 2;
/// Time after its start at which a daemon that has a configuration accepts requests even though it
/// has not reached an up-to-date replica.
const ISOLATED_START_AFTER: Duration = Duration::from_secs(5);
/// Interval at which open claims and suspected requests are checked for expiry.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a trial whose end was not recorded is abandoned, so that another can start.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which a request is no longer suspected.
const SUSPICION_TTL: Duration = Duration::from_secs(600);

/// A log of which this daemon hosts a replica, with its state machine.
#[derive(Debug)]
pub(super) struct HostedLog {
    pub replica: Replica,
    pub state_machine: StateMachine,
    pub content: Content,
    /// Since when this replica has been the leader; none if it is not.
    pub leading_since: Option<Instant>,
    /// When this leader first saw each open claim, suspicion and trial. Their age is counted from
    /// there, because the log stores no times.
    pub first_seen: BTreeMap<String, Instant>,
    /// Voters as last reported in a [`Voters`](journal::Event::Voters) event.
    pub voters: Vec<Voter>,
}

/// The configuration log as fetched from other daemons by one that hosts no replica of it.
#[derive(Debug)]
pub(super) struct FetchedLog {
    pub log: Name,
    pub state_machine: StateMachine,
    /// Index of the last entry that was applied.
    pub applied: u64,
    /// When the log was last known to be complete, by the reply of an up-to-date replica.
    pub up_to_date_at: Option<Instant>,
    /// When the last reply arrived.
    pub replied_at: Option<Instant>,
    /// Index of the host to fetch from, modulo the number of reachable hosts. Incremented when no
    /// reply has arrived for too long.
    host_index: usize,
}

/// Log and index at which a command was appended; its outcome is known once that entry is applied.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    log: Name,
    index: u64,
}

/// The proposal that waits for an appended entry to be applied.
#[derive(Debug)]
pub(super) struct Waiter {
    /// Term in which the entry was appended; an entry of another term at the same index is not it.
    term: u64,
    /// Ticket of the proposal.
    ticket: u64,
}

/// A command whose outcome is not known yet.
#[derive(Debug)]
pub(super) struct Proposal {
    log: Name,
    /// The encoded command.
    command: Vec<u8>,
    purpose: Purpose,
    /// Daemons to which the command was forwarded; only they can answer it.
    asked: SmallVec<[Name; 2]>,
    /// When the command was last appended or forwarded.
    sent: Instant,
    /// When the proposal is abandoned with an unknown outcome.
    deadline: Instant,
}

impl Proposal {
    /// Records that the command is forwarded to a daemon.
    fn record_asked(&mut self, daemon: &Name) {
        if !self.asked.contains(daemon) {
            self.asked.push(daemon.clone());
        }
    }
}

/// What the outcome of a proposal is used for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Purpose {
    /// The request with this number waits for its claim.
    Claim(u64),
    /// The request with this number waits until the end of its claim is recorded.
    Settle(u64),
    /// The suspected request with this number waits for permission to run as a trial.
    Trial(u64),
    /// The request with this number waits until the death of its endpoint is recorded.
    CrashRecord(u64),
    /// The outcome is ignored.
    Unobserved,
    /// A batch of usage lines waits to be recorded.
    UsageBatch,
    /// An operator waits for the operation with this ticket.
    Operator(u64),
    /// Another daemon forwarded the command and waits for the outcome.
    Forwarded {
        /// Name of the daemon.
        peer: Name,
        /// Ticket of the proposal on that daemon.
        ticket: u64,
    },
}

impl State {
    /// Opens the replicas that this daemon hosts, and prepares to fetch the configuration log if it
    /// hosts no replica of that.
    pub(super) fn open_logs(
        &mut self,
        replicas: Vec<StoredReplica>,
        now: Instant,
        effects: &mut Effects,
    ) {
        for stored_replica in replicas {
            let setup = self.setup.logs.iter().find(|log| log.name == stored_replica.log);
            let Some(setup) = setup.cloned() else { continue };
            let mut outputs = Vec::new();
            let StoredReplica { identity, stored, .. } = stored_replica;
            let mut replica = Replica::open(identity, self.setup.timing, stored, now, &mut outputs);
            for peer in &self.setup.peers {
                replica.add_contact(peer.daemon.clone());
            }
            for host in setup.hosts {
                replica.add_host(host);
            }
            let hosted = HostedLog {
                replica,
                state_machine: StateMachine::default(),
                content: setup.content,
                leading_since: None,
                first_seen: BTreeMap::new(),
                voters: Vec::new(),
            };
            self.logs.insert(setup.name.clone(), hosted);
            self.process_outputs(now, &setup.name, outputs, effects);
        }
        let configuration = self.log_holding(&Content::Configuration).map(|log| log.name.clone());
        let log_to_fetch = configuration.filter(|name| !self.logs.contains_key(name));
        self.fetched = log_to_fetch.map(|log| FetchedLog {
            log,
            state_machine: StateMachine::default(),
            applied: 0,
            up_to_date_at: None,
            replied_at: None,
            host_index: 0,
        });
    }

    /// Advances the timers of all replicas, closes expired claims and fetches the configuration
    /// log.
    pub(super) fn tick_logs(&mut self, now: Instant, random: u64, effects: &mut Effects) {
        let names: Vec<Name> = self.logs.keys().cloned().collect();
        for (at, name) in names.iter().enumerate() {
            let mut outputs = Vec::new();
            if let Some(hosted) = self.logs.get_mut(name) {
                // Rotated so that the replicas of this daemon get different election timeouts.
                hosted.replica.tick(now, random.rotate_left(at as u32 * 7), &mut outputs);
            }
            self.process_outputs(now, name, outputs, effects);
            self.log_role_change(now, name, effects);
        }
        self.close_expired(now, effects);
        self.fetch_entries(now, effects);
    }

    /// Passes a message between replicas to the replica it is for.
    pub(super) fn receive_log_message(
        &mut self,
        now: Instant,
        envelope: Envelope,
        random: u64,
        effects: &mut Effects,
    ) {
        let name: Name = envelope.log.into();
        let Some(hosted) = self.logs.get_mut(&name) else { return };
        let Some(payload) = envelope.payload else { return };
        let mut outputs = Vec::new();
        hosted.replica.receive(now, random, payload, &mut outputs);
        self.process_outputs(now, &name, outputs, effects);
    }

    /// Tells a replica that its writes up to a sequence number are on stable storage.
    pub(super) fn record_sync(
        &mut self,
        now: Instant,
        name: &Name,
        sequence: u64,
        effects: &mut Effects,
    ) {
        let Some(hosted) = self.logs.get_mut(name) else { return };
        let mut outputs = Vec::new();
        hosted.replica.mark_synced(now, sequence, &mut outputs);
        self.process_outputs(now, name, outputs, effects);
    }

    /// Turns the outputs of a replica into effects, applies committed entries, and compacts the log
    /// if it has grown long enough.
    pub(super) fn process_outputs(
        &mut self,
        now: Instant,
        name: &Name,
        outputs: Vec<Output>,
        effects: &mut Effects,
    ) {
        for output in outputs {
            match output {
                Output::Persist(sequence, write) => {
                    effects.push(Effect::Persist { log: name.clone(), sequence, write });
                }
                Output::Send(to, payload) => {
                    let envelope = Envelope { log: name.to_string(), payload: Some(payload) };
                    effects.push(Effect::Send { to, body: Body::Log(envelope) });
                }
                Output::Apply(entry) => self.apply_entry(now, name, entry, effects),
                Output::Restore(snapshot) => {
                    let Some(hosted) = self.logs.get_mut(name) else { continue };
                    match StateMachine::decode(&snapshot.state_machine) {
                        Ok(machine) => hosted.state_machine = machine,
                        Err(_) => {
                            let (log, index) = (name.clone(), snapshot.index);
                            effects.push(Effect::Log(journal::Event::BadEntry { log, index }));
                        }
                    }
                    self.update_view(name, effects);
                }
            }
        }
        self.compact(name, effects);
    }

    /// Applies a committed entry and resolves the proposal that waits for it.
    fn apply_entry(&mut self, now: Instant, name: &Name, entry: Entry, effects: &mut Effects) {
        let Some(hosted) = self.logs.get_mut(name) else { return };
        let position = Position { log: name.clone(), index: entry.index };
        let waiter = self.waiters.remove(&position);
        if entry.command.is_empty() {
            return;
        }
        let Ok(command) = Command::decode(entry.command.as_slice()) else {
            let (log, index) = (name.clone(), entry.index);
            effects.push(Effect::Log(journal::Event::BadEntry { log, index }));
            return;
        };
        let changes_view = matches!(command.body, Some(CommandBody::Change(_)));
        let change = match &command.body {
            Some(CommandBody::SuspectChange(change)) => Some(change.clone()),
            _ => None,
        };
        let outcome = hosted.state_machine.apply(entry.index, command);
        if changes_view {
            self.update_view(name, effects);
        }
        if let Some(change) = change {
            self.broadcast_applied_change(&change, effects);
        }
        let Some(waiter) = waiter else { return };
        if waiter.term == entry.term {
            self.resolve(now, waiter.ticket, Some(outcome), effects);
        }
    }

    /// Tells other daemons about a committed change that starts or ends a suspicion.
    fn broadcast_applied_change(&mut self, change: &SuspectChange, effects: &mut Effects) {
        match change.suspicion() {
            Suspicion::Crashed => self.broadcast_suspect(change.fingerprint, false, effects),
            Suspicion::Cleared => self.broadcast_suspect(change.fingerprint, true, effects),
            Suspicion::Trial | Suspicion::Abandoned => {}
        }
    }

    /// Records that a request is suspected or no longer suspected, and tells all linked daemons.
    pub(super) fn broadcast_suspect(
        &mut self,
        fingerprint: u64,
        cleared: bool,
        effects: &mut Effects,
    ) {
        let suspect = Suspect { fingerprint, cleared };
        self.record_suspect(&suspect);
        for peer in self.links.keys() {
            let body = Body::Suspect(suspect.clone());
            effects.push(Effect::Send { to: peer.clone(), body });
        }
    }

    /// Tells a newly linked daemon about all suspected requests.
    pub(super) fn send_suspects(&mut self, peer: &Name, effects: &mut Effects) {
        for fingerprint in &self.suspects {
            let body = Body::Suspect(Suspect { fingerprint: *fingerprint, cleared: false });
            effects.push(Effect::Send { to: peer.clone(), body });
        }
    }

    /// Records that a request is suspected or no longer suspected.
    pub(super) fn record_suspect(&mut self, suspect: &Suspect) {
        if suspect.cleared {
            self.suspects.remove(&suspect.fingerprint);
        } else {
            self.suspects.insert(suspect.fingerprint);
        }
    }

    /// Replaces the applied entries of a log by a snapshot once there are [`COMPACT_AFTER`] of
    /// them.
    fn compact(&mut self, name: &Name, effects: &mut Effects) {
        let Some(hosted) = self.logs.get_mut(name) else { return };
        let applied = hosted.replica.applied();
        let applied_in_tail = applied + hosted.replica.tail_len() - hosted.replica.last_index();
        if applied_in_tail < COMPACT_AFTER {
            return;
        }
        let mut outputs = Vec::new();
        hosted.replica.compact(hosted.state_machine.encode(), &mut outputs);
        for output in outputs {
            if let Output::Persist(sequence, write) = output {
                effects.push(Effect::Persist { log: name.clone(), sequence, write });
            }
        }
    }

    /// Logs changes of leadership and of the voters. A new leader counts the age of claims and
    /// suspicions from this moment on.
    fn log_role_change(&mut self, now: Instant, name: &Name, effects: &mut Effects) {
        let Some(hosted) = self.logs.get_mut(name) else { return };
        let leads = hosted.replica.leads(now);
        let log = name.clone();
        if leads && hosted.leading_since.is_none() {
            hosted.leading_since = Some(now);
            hosted.first_seen.clear();
            let term = hosted.replica.term();
            effects.push(Effect::Log(journal::Event::Leading { log: log.clone(), term }));
        }
        if !leads && hosted.leading_since.is_some() {
            hosted.leading_since = None;
            effects.push(Effect::Log(journal::Event::Deposed { log: log.clone() }));
        }
        if hosted.voters != hosted.replica.voters() {
            hosted.voters = hosted.replica.voters().to_vec();
            let list: Vec<String> =
                hosted.voters.iter().map(|v| format!("{}:{}", v.replica, v.weight)).collect();
            let voters = list.join(" ");
            effects.push(Effect::Log(journal::Event::Voters { log, voters }));
        }
    }

    /// Parses the configuration again after entries of its log were applied.
    fn update_view(&mut self, name: &Name, effects: &mut Effects) {
        let before = self.view.revision;
        match (self.logs.get(name), &self.fetched) {
            (Some(hosted), _) if hosted.content == Content::Configuration => {
                self.view.update(&hosted.state_machine.configuration);
            }
            (None, Some(fetched)) if fetched.log == *name => {
                self.view.update(&fetched.state_machine.configuration);
            }
            _ => return,
        }
        let revision = self.view.revision;
        if revision != before {
            effects.push(Effect::Log(journal::Event::Revision { revision }));
        }
    }

    /// As leader of a claim log, closes claims whose holders may no longer run them, and drops
    /// suspicions and trials that are too old.
    fn close_expired(&mut self, now: Instant, effects: &mut Effects) {
        if now < self.schedule.sweep {
            return;
        }
        self.schedule.sweep = now + SWEEP_INTERVAL;
        let mut commands: Vec<(Name, CommandBody)> = Vec::new();
        for (name, hosted) in &mut self.logs {
            if hosted.content != Content::Claims || !hosted.replica.can_serve_reads(now) {
                continue;
            }
            let expired = expired_commands(hosted, now);
            commands.extend(expired.into_iter().map(|command| (name.clone(), command)));
        }
        for (log, command) in commands {
            if let CommandBody::Settle(settle) = &command {
                let request = settle.request.as_str().into();
                effects.push(Effect::Log(journal::Event::ClaimClosed { request }));
            }
            self.propose(now, log, command, Purpose::Unobserved, PROPOSAL_TIMEOUT, effects);
        }
    }

    /// Whether the replica of a log on this daemon is its leader and holds the lease.
    pub(super) fn leads_log(&self, name: &Name, now: Instant) -> bool {
        let hosted = self.logs.get(name);
        hosted.is_some_and(|hosted| {
            hosted.replica.role() == Role::Leader && hosted.replica.leads(now)
        })
    }
}

/// Commands that close the claims, suspicions and trials of a log that have been open for too long.
/// Also records when this leader first saw each of them, and forgets those that no longer exist.
fn expired_commands(hosted: &mut HostedLog, now: Instant) -> Vec<CommandBody> {
    let mut commands = Vec::new();
    let mut known = BTreeMap::new();
    for open in hosted.state_machine.claims.open() {
        let key = open.id.to_owned() + open.request;
        let since = hosted.first_seen.get(&key).copied().unwrap_or(now);
        if now.since(since) > Duration::from_millis(open.permission_ms) + CLAIM_GRACE {
            let result = RunResult { run: Run::Unknown as i32, ..RunResult::default() };
            commands.push(CommandBody::Settle(Settle {
                workspace: open.workspace.to_owned(),
                key: open.key.to_owned(),
                request: open.request.to_owned(),
                result: Some(result),
            }));
        }
        known.insert(key, since);
    }
    for (fingerprint, trial) in hosted.state_machine.claims.suspects() {
        let key = format!("{fingerprint:x}");
        let since = hosted.first_seen.get(&key).copied().unwrap_or(now);
        known.insert(key, since);
        if now.since(since) > SUSPICION_TTL {
            commands.push(suspect_change(fingerprint, "", Suspicion::Cleared));
        }
        let Some(trial) = trial else { continue };
        let key = format!("{fingerprint:x} {trial}");
        let since = hosted.first_seen.get(&key).copied().unwrap_or(now);
        known.insert(key, since);
        if now.since(since) > TRIAL_TIMEOUT {
            commands.push(suspect_change(fingerprint, trial, Suspicion::Abandoned));
        }
    }
    hosted.first_seen = known;
    commands
}

/// Command that changes the record of a suspected request, proposed by the leader itself.
fn suspect_change(fingerprint: u64, request: &str, suspicion: Suspicion) -> CommandBody {
    CommandBody::SuspectChange(SuspectChange {
        fingerprint,
        request: request.to_owned(),
        vm: String::new(),
        suspicion: suspicion as i32,
        incarnation: 0,
    })
}
