//! Replicas hosted here, logs followed from afar, and proposals.

use prost::Message;

use crate::clock::Instant;
use crate::control::command::{
    Body as CommandBody, Command, Run, RunResult, Settle, SuspectChange, Suspicion,
};
use crate::control::Machine;
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

mod following;
mod proposing;

/// Entries sent in one feed.
const FEED_ENTRIES: usize = 512;
/// Times that a command is passed on on its way to the leader.
const HOPS_MAX: u32 = 2;
/// Time after its start at which a daemon without contact to a leader answers callers all the same.
const ISOLATED_START: Duration = Duration::from_secs(5);
/// Time between two sweeps over open claims and suspected requests.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a trial without an end counts as abandoned.
const TRIAL_MAX: Duration = Duration::from_secs(60);
/// Time after which a suspicion is dropped.
const SUSPICION_MAX: Duration = Duration::from_secs(600);

/// A replica hosted here with its state machine.
#[derive(Debug)]
pub(super) struct Hosted {
    pub replica: Replica,
    pub machine: Machine,
    pub content: Content,
    /// Since when this replica leads.
    pub leading: Option<Instant>,
    /// Since when this leader has known each open claim, and each suspicion.
    pub known: BTreeMap<String, Instant>,
    pub voters: Vec<Voter>,
}

/// The configuration log, followed by a daemon that is no replica of it.
#[derive(Debug)]
pub(super) struct Followed {
    pub log: Name,
    pub machine: Machine,
    pub applied: u64,
    pub fresh: Option<Instant>,
    pub fed: Option<Instant>,
    turn: usize,
}

/// Index of a log at which the outcome of a proposal will be known.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    log: Name,
    index: u64,
}

/// Who waits for the outcome of an entry.
#[derive(Debug)]
pub(super) struct Waiter {
    term: u64,
    ticket: u64,
}

/// A command on its way.
#[derive(Debug)]
pub(super) struct Pending {
    log: Name,
    command: Vec<u8>,
    purpose: Purpose,
    sent: Instant,
    deadline: Instant,
}

/// What the outcome of a command is for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Purpose {
    /// A request waits for its claim.
    Claim(u64),
    /// A request waits for its end to be recorded.
    Settle(u64),
    /// A suspected request waits for leave to run.
    Trial(u64),
    /// A request waits for the record that its endpoint died.
    Crashed(u64),
    /// Nobody waits.
    Nothing,
    /// Usage lines.
    UsageBatch,
    /// An operator waits.
    Operator(u64),
    /// Another daemon waits.
    Relay {
        /// Name of the daemon.
        peer: Name,
        /// Its ticket.
        ticket: u64,
    },
}

impl State {
    pub(super) fn open_logs(
        &mut self,
        opened: Vec<StoredReplica>,
        now: Instant,
        effects: &mut Effects,
    ) {
        for opened in opened {
            let setup = self.setup.logs.iter().find(|log| log.name == opened.log);
            let Some(setup) = setup.cloned() else { continue };
            let mut outputs = Vec::new();
            let replica = Replica::open(
                opened.identity,
                setup.initial_voters,
                self.setup.timing,
                opened.stored,
                now,
                &mut outputs,
            );
            let hosted = Hosted {
                replica,
                machine: Machine::default(),
                content: setup.content,
                leading: None,
                known: BTreeMap::new(),
                voters: Vec::new(),
            };
            self.logs.insert(setup.name.clone(), hosted);
            self.carry_out(now, &setup.name, outputs, effects);
        }
        let configuration = self.log_with(&Content::Configuration).map(|log| log.name.clone());
        let followed = configuration.filter(|name| !self.logs.contains_key(name));
        self.followed = followed.map(|log| Followed {
            log,
            machine: Machine::default(),
            applied: 0,
            fresh: None,
            fed: None,
            turn: 0,
        });
    }

    pub(super) fn tick_logs(&mut self, now: Instant, draw: u64, effects: &mut Effects) {
        let names: Vec<Name> = self.logs.keys().cloned().collect();
        for (at, name) in names.iter().enumerate() {
            let mut outputs = Vec::new();
            if let Some(hosted) = self.logs.get_mut(name) {
                hosted.replica.tick(now, draw.rotate_left(at as u32 * 7), &mut outputs);
            }
            self.carry_out(now, name, outputs, effects);
            self.note_role(now, name, effects);
        }
        self.sweep(now, effects);
        self.ask_for_feed(now, effects);
    }

    pub(super) fn receive_log(
        &mut self,
        now: Instant,
        envelope: Envelope,
        draw: u64,
        effects: &mut Effects,
    ) {
        let name: Name = envelope.log.into();
        let Some(hosted) = self.logs.get_mut(&name) else { return };
        let Some(payload) = envelope.payload else { return };
        let mut outputs = Vec::new();
        hosted.replica.receive(now, draw, payload, &mut outputs);
        self.carry_out(now, &name, outputs, effects);
    }

    pub(super) fn synced(
        &mut self,
        now: Instant,
        name: &Name,
        sequence: u64,
        effects: &mut Effects,
    ) {
        let Some(hosted) = self.logs.get_mut(name) else { return };
        let mut outputs = Vec::new();
        hosted.replica.synced(now, sequence, &mut outputs);
        self.carry_out(now, name, outputs, effects);
    }

    /// Turns a replica's outputs into effects and applies what is committed.
    pub(super) fn carry_out(
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
                    match Machine::decode(&snapshot.machine) {
                        Ok(machine) => hosted.machine = machine,
                        Err(_) => {
                            let (log, index) = (name.clone(), snapshot.index);
                            effects.push(Effect::Log(journal::Event::BadEntry { log, index }));
                        }
                    }
                    self.refresh_view(name, effects);
                }
            }
        }
        self.compact(name, effects);
    }

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
        let crash = match &command.body {
            Some(CommandBody::SuspectChange(crash)) => Some(crash.clone()),
            _ => None,
        };
        let outcome = hosted.machine.apply(entry.index, command);
        if changes_view {
            self.refresh_view(name, effects);
        }
        if let Some(crash) = crash {
            self.applied_crash(&crash, effects);
        }
        let Some(waiter) = waiter else { return };
        if waiter.term == entry.term {
            self.resolve(now, waiter.ticket, Some(outcome), effects);
        }
    }

    fn applied_crash(&mut self, crash: &SuspectChange, effects: &mut Effects) {
        match crash.suspicion() {
            Suspicion::Crashed => self.spread_suspicion(crash.fingerprint, false, effects),
            Suspicion::Cleared => self.spread_suspicion(crash.fingerprint, true, effects),
            Suspicion::Trial | Suspicion::Abandoned => {}
        }
    }

    /// Notes a suspicion, or its end, and tells it to all daemons that are linked.
    pub(super) fn spread_suspicion(
        &mut self,
        fingerprint: u64,
        cleared: bool,
        effects: &mut Effects,
    ) {
        let suspect = Suspect { fingerprint, cleared };
        self.heard_suspect(&suspect);
        for peer in self.links.keys() {
            let body = Body::Suspect(suspect.clone());
            effects.push(Effect::Send { to: peer.clone(), body });
        }
    }

    pub(super) fn send_suspects(&mut self, peer: &Name, effects: &mut Effects) {
        for fingerprint in &self.suspects {
            let body = Body::Suspect(Suspect { fingerprint: *fingerprint, cleared: false });
            effects.push(Effect::Send { to: peer.clone(), body });
        }
    }

    pub(super) fn heard_suspect(&mut self, suspect: &Suspect) {
        if suspect.cleared {
            self.suspects.remove(&suspect.fingerprint);
        } else {
            self.suspects.insert(suspect.fingerprint);
        }
    }

    fn compact(&mut self, name: &Name, effects: &mut Effects) {
        let Some(hosted) = self.logs.get_mut(name) else { return };
        let applied = hosted.replica.applied();
        let covered = applied + hosted.replica.tail_len() - hosted.replica.last_index();
        if covered < COMPACT_AFTER {
            return;
        }
        let mut outputs = Vec::new();
        hosted.replica.compact(hosted.machine.encode(), &mut outputs);
        for output in outputs {
            if let Output::Persist(sequence, write) = output {
                effects.push(Effect::Persist { log: name.clone(), sequence, write });
            }
        }
    }

    fn note_role(&mut self, now: Instant, name: &Name, effects: &mut Effects) {
        let Some(hosted) = self.logs.get_mut(name) else { return };
        let leads = hosted.replica.leads(now);
        let log = name.clone();
        if leads && hosted.leading.is_none() {
            hosted.leading = Some(now);
            hosted.known.clear();
            let term = hosted.replica.term();
            effects.push(Effect::Log(journal::Event::Leading { log: log.clone(), term }));
        }
        if !leads && hosted.leading.is_some() {
            hosted.leading = None;
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

    /// Brings the parsed configuration up to date after its log has moved.
    fn refresh_view(&mut self, name: &Name, effects: &mut Effects) {
        let before = self.view.revision;
        match (self.logs.get(name), &self.followed) {
            (Some(hosted), _) if hosted.content == Content::Configuration => {
                self.view.update(&hosted.machine.configuration);
            }
            (None, Some(followed)) if followed.log == *name => {
                self.view.update(&followed.machine.configuration);
            }
            _ => return,
        }
        let revision = self.view.revision;
        if revision != before {
            effects.push(Effect::Log(journal::Event::Revision { revision }));
        }
    }

    /// As leader of a claim log, closes claims whose holders can't run them any more, and drops old
    /// suspicions.
    fn sweep(&mut self, now: Instant, effects: &mut Effects) {
        if now < self.due.sweep {
            return;
        }
        self.due.sweep = now + SWEEP_INTERVAL;
        let mut commands: Vec<(Name, CommandBody)> = Vec::new();
        for (name, hosted) in &mut self.logs {
            if hosted.content != Content::Claims || !hosted.replica.reads(now) {
                continue;
            }
            let expired = expired(hosted, now);
            commands.extend(expired.into_iter().map(|command| (name.clone(), command)));
        }
        for (log, command) in commands {
            if let CommandBody::Settle(settle) = &command {
                let request = settle.request.as_str().into();
                effects.push(Effect::Log(journal::Event::ClaimClosed { request }));
            }
            self.propose(now, log, command, Purpose::Nothing, PROPOSAL_TIMEOUT, effects);
        }
    }

    /// Daemon that leads a log, if this daemon knows one.
    pub(super) fn leads_log(&self, name: &Name, now: Instant) -> bool {
        let hosted = self.logs.get(name);
        hosted.is_some_and(|hosted| {
            hosted.replica.role() == Role::Leader && hosted.replica.leads(now)
        })
    }
}

/// Commands that close what has been open for too long in a claim log.
fn expired(hosted: &mut Hosted, now: Instant) -> Vec<CommandBody> {
    let mut commands = Vec::new();
    let mut known = BTreeMap::new();
    for open in hosted.machine.claims.open() {
        let key = open.id.to_owned() + open.request;
        let since = hosted.known.get(&key).copied().unwrap_or(now);
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
    for (fingerprint, trial) in hosted.machine.claims.suspects() {
        let key = format!("{fingerprint:x}");
        let since = hosted.known.get(&key).copied().unwrap_or(now);
        known.insert(key, since);
        if now.since(since) > SUSPICION_MAX {
            commands.push(crash(fingerprint, "", Suspicion::Cleared));
        }
        let Some(trial) = trial else { continue };
        let key = format!("{fingerprint:x} {trial}");
        let since = hosted.known.get(&key).copied().unwrap_or(now);
        known.insert(key, since);
        if now.since(since) > TRIAL_MAX {
            commands.push(crash(fingerprint, trial, Suspicion::Abandoned));
        }
    }
    hosted.known = known;
    commands
}

fn crash(fingerprint: u64, request: &str, suspicion: Suspicion) -> CommandBody {
    CommandBody::SuspectChange(SuspectChange {
        fingerprint,
        request: request.to_owned(),
        vm: String::new(),
        suspicion: suspicion as i32,
        incarnation: 0,
    })
}
