//! Replicas hosted here, logs followed from afar, and proposals.

use prost::Message;

use crate::clock::Instant;
use crate::control::command::{
    Body as CommandBody, Command, Crash, Outcome, Run, RunResult, Settle, Suspicion,
};
use crate::control::Machine;
use crate::count::Counter;
use crate::effect::{Answer, Effect, Effects};
use crate::journal;
use crate::message::{self, Body, Feed, Follow, Forward, Suspect};
use crate::policy::{
    CLAIM_GRACE, COMPACT_AFTER, FOLLOW_INTERVAL, PROPOSAL_RETRY, PROPOSAL_TIMEOUT, STALE_AFTER,
};
use crate::replica::message::{Entry, Envelope, Voter};
use crate::replica::{Output, Replica, Role};
use crate::Name;

use super::{Duty, Opened, State};

use std::collections::BTreeMap;
use std::time::Duration;

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
    pub duty: Duty,
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
    Bill,
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
    pub(super) fn open_logs(&mut self, opened: Vec<Opened>, now: Instant, effects: &mut Effects) {
        for opened in opened {
            let setup = self.setup.logs.iter().find(|log| log.name == opened.log);
            let Some(setup) = setup.cloned() else { continue };
            let mut outputs = Vec::new();
            let replica = Replica::open(
                opened.identity,
                setup.founders,
                self.setup.timing,
                opened.stored,
                now,
                &mut outputs,
            );
            let hosted = Hosted {
                replica,
                machine: Machine::default(),
                duty: setup.duty,
                leading: None,
                known: BTreeMap::new(),
                voters: Vec::new(),
            };
            self.logs.insert(setup.name.clone(), hosted);
            self.carry_out(now, &setup.name, outputs, effects);
        }
        let configuration = self.log_with(&Duty::Configuration).map(|log| log.name.clone());
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
            Some(CommandBody::Crash(crash)) => Some(crash.clone()),
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

    fn applied_crash(&mut self, crash: &Crash, effects: &mut Effects) {
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
            (Some(hosted), _) if hosted.duty == Duty::Configuration => {
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
            if hosted.duty != Duty::Claims || !hosted.replica.reads(now) {
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

    fn ask_for_feed(&mut self, now: Instant, effects: &mut Effects) {
        if self.followed.is_none() || now < self.due.follow {
            return;
        }
        self.due.follow = now + FOLLOW_INTERVAL;
        let Some(log) = self.log_with(&Duty::Configuration) else { return };
        let hosts: Vec<Name> = log.founders.iter().map(|v| v.daemon.as_str().into()).collect();
        let own = |host: &&Name| self.zone_of(host) == Some(&self.setup.zone);
        let mut near: Vec<Name> = hosts.iter().filter(own).cloned().collect();
        if near.is_empty() {
            near = hosts;
        }
        near.retain(|host| self.is_linked(host, now));
        let Some(followed) = &mut self.followed else { return };
        if self.ready && !near.is_empty() {
            let silent = followed.fed.is_none_or(|fed| now.since(fed) > STALE_AFTER);
            followed.turn += usize::from(silent);
            near = vec![near[followed.turn % near.len()].clone()];
        }
        for host in near {
            let follow = Follow { log: followed.log.to_string(), applied: followed.applied };
            effects.push(Effect::Send { to: host, body: Body::Follow(follow) });
        }
    }

    pub(super) fn asked_to_feed(
        &mut self,
        now: Instant,
        from: &Name,
        follow: &Follow,
        effects: &mut Effects,
    ) {
        let Some(hosted) = self.logs.get(follow.log.as_str()) else { return };
        let applied = hosted.replica.applied();
        let mut feed = Feed {
            log: follow.log.clone(),
            applied,
            fresh: hosted.replica.fresh(now),
            ..Feed::default()
        };
        match hosted.replica.committed_after(follow.applied, FEED_ENTRIES) {
            Some(entries) => feed.entries = entries,
            None => {
                let configuration = hosted.machine.configuration.clone();
                let machine = Machine { configuration, ..Machine::default() };
                feed.machine = Some(machine.encode());
            }
        }
        effects.push(Effect::Send { to: from.clone(), body: Body::Feed(feed) });
    }

    pub(super) fn fed(&mut self, now: Instant, from: &Name, feed: Feed, effects: &mut Effects) {
        let Some(followed) = &mut self.followed else { return };
        if *followed.log != *feed.log {
            return;
        }
        followed.fed = Some(now);
        if let Some(machine) = &feed.machine {
            let decoded = Machine::decode(machine).ok();
            if let Some(machine) = decoded.filter(|_| feed.applied > followed.applied) {
                followed.machine = machine;
                followed.applied = feed.applied;
            }
        }
        for entry in feed.entries {
            if entry.index != followed.applied + 1 {
                continue;
            }
            followed.applied = entry.index;
            if entry.command.is_empty() {
                continue;
            }
            if let Ok(command) = Command::decode(entry.command.as_slice()) {
                followed.machine.apply(entry.index, command);
            }
        }
        let behind = followed.applied < feed.applied;
        if feed.fresh && !behind {
            followed.fresh = Some(now);
        }
        let (log, applied) = (followed.log.clone(), followed.applied);
        if behind {
            let follow = Follow { log: log.to_string(), applied };
            effects.push(Effect::Send { to: from.clone(), body: Body::Follow(follow) });
        }
        self.refresh_view(&log, effects);
    }

    /// Whether the configuration log has been out of touch with its leader.
    pub(super) fn is_stale(&self, now: Instant) -> bool {
        if let Some(followed) = &self.followed {
            return followed.fresh.is_none_or(|fresh| now.since(fresh) > STALE_AFTER);
        }
        let hosted = self.logs.values().find(|hosted| hosted.duty == Duty::Configuration);
        !hosted.is_some_and(|hosted| hosted.replica.fresh(now))
    }

    pub(super) fn update_readiness(&mut self, now: Instant, effects: &mut Effects) {
        if self.ready {
            return;
        }
        let isolated = now.since(self.started) > ISOLATED_START && self.view.revision > 0;
        if !self.is_stale(now) || isolated {
            self.ready = true;
            let revision = self.view.revision;
            effects.push(Effect::Log(journal::Event::Ready { revision }));
        }
    }

    /// Sends a command to the leader of a log and keeps sending it until its outcome is known or
    /// `patience` is over. Commands are safe to repeat.
    pub(super) fn propose(
        &mut self,
        now: Instant,
        log: Name,
        command: CommandBody,
        purpose: Purpose,
        patience: Duration,
        effects: &mut Effects,
    ) -> u64 {
        let command = Command::new(command).encode_to_vec();
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let deadline = now + patience;
        self.pending.insert(ticket, Pending { log, command, purpose, sent: now, deadline });
        self.submit(now, ticket, 0, effects);
        ticket
    }

    /// Appends a pending command if this daemon leads its log, else passes it on. Returns whether
    /// either was possible.
    fn submit(&mut self, now: Instant, ticket: u64, hops: u32, effects: &mut Effects) -> bool {
        let Some(pending) = self.pending.get_mut(&ticket) else { return false };
        pending.sent = now;
        let log = pending.log.clone();
        let command = pending.command.clone();
        if let Some(hosted) = self.logs.get_mut(&log) {
            let mut outputs = Vec::new();
            let term = hosted.replica.term();
            if let Some(index) = hosted.replica.propose(now, command.clone(), &mut outputs) {
                let position = Position { log: log.clone(), index };
                self.waiters.insert(position, Waiter { term, ticket });
                self.carry_out(now, &log, outputs, effects);
                return true;
            }
        }
        let Some(to) = self.towards_leader(now, &log) else { return false };
        let forward = Forward { ticket, log: log.to_string(), command, hops };
        effects.push(Effect::Send { to, body: Body::Forward(forward) });
        true
    }

    /// Daemon to which a command for a log goes next.
    fn towards_leader(&self, now: Instant, log: &Name) -> Option<Name> {
        if let Some(hosted) = self.logs.get(log) {
            let leader = hosted.replica.leader().filter(|leader| self.is_linked(leader, now));
            return leader.filter(|leader| **leader != self.setup.daemon).cloned();
        }
        let setup = self.setup.logs.iter().find(|setup| setup.name == *log)?;
        let hosts = setup.founders.iter().map(|voter| Name::from(voter.daemon.as_str()));
        let linked: Vec<Name> = hosts.filter(|host| self.is_linked(host, now)).collect();
        let own = |host: &&Name| self.zone_of(host) == Some(&self.setup.zone);
        linked.iter().find(own).or(linked.first()).cloned()
    }

    /// Whether a command for the log has somewhere to go.
    pub(super) fn is_reachable(&self, now: Instant, log: &Name) -> bool {
        let leads = self.logs.get(log).is_some_and(|hosted| hosted.replica.leads(now));
        leads || self.towards_leader(now, log).is_some()
    }

    pub(super) fn forwarded(
        &mut self,
        now: Instant,
        from: &Name,
        forward: Forward,
        effects: &mut Effects,
    ) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let pending = Pending {
            log: forward.log.into(),
            command: forward.command,
            purpose: Purpose::Relay { peer: from.clone(), ticket: forward.ticket },
            sent: now,
            deadline: now + PROPOSAL_TIMEOUT,
        };
        self.pending.insert(ticket, pending);
        let submitted =
            forward.hops < HOPS_MAX && self.submit(now, ticket, forward.hops + 1, effects);
        if !submitted {
            self.resolve(now, ticket, None, effects);
        }
    }

    pub(super) fn answered(
        &mut self,
        now: Instant,
        answer: message::Answer,
        effects: &mut Effects,
    ) {
        let relayed = self
            .pending
            .get(&answer.ticket)
            .is_some_and(|pending| matches!(pending.purpose, Purpose::Relay { .. }));
        if answer.outcome.is_some() || relayed {
            self.resolve(now, answer.ticket, answer.outcome, effects);
            return;
        }
        self.give_up_unreachable(now, answer.ticket, effects);
    }

    /// Gives up a claim at once when the log turns out to have no leader; other commands are sent
    /// again until their patience is over.
    fn give_up_unreachable(&mut self, now: Instant, ticket: u64, effects: &mut Effects) {
        let claim = self.pending.get(&ticket).is_some_and(|pending| {
            matches!(pending.purpose, Purpose::Claim(_) | Purpose::Trial(_))
        });
        if claim {
            self.resolve(now, ticket, None, effects);
        }
    }

    pub(super) fn tick_proposals(&mut self, now: Instant, effects: &mut Effects) {
        let due: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, p)| now >= p.deadline || now.since(p.sent) >= PROPOSAL_RETRY)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in due {
            let Some(pending) = self.pending.get(&ticket) else { continue };
            let relayed = matches!(pending.purpose, Purpose::Relay { .. });
            if now >= pending.deadline {
                self.resolve(now, ticket, None, effects);
            } else if !relayed {
                self.count(Counter::Reproposed, effects);
                if !self.submit(now, ticket, 0, effects) {
                    self.give_up_unreachable(now, ticket, effects);
                }
            }
        }
    }

    /// Hands the outcome of a command to whoever waits for it; none if it is not known.
    fn resolve(
        &mut self,
        now: Instant,
        ticket: u64,
        outcome: Option<Outcome>,
        effects: &mut Effects,
    ) {
        let Some(pending) = self.pending.remove(&ticket) else { return };
        match pending.purpose {
            Purpose::Claim(request) => self.claim_decided(now, request, outcome, effects),
            Purpose::Settle(request) => self.settle_decided(now, request, outcome, effects),
            Purpose::Trial(request) => self.trial_decided(now, request, outcome, effects),
            Purpose::Crashed(request) => self.crash_recorded(now, request, outcome, effects),
            Purpose::Nothing => {}
            Purpose::Bill => self.billed(outcome.is_some()),
            Purpose::Operator(ticket) => {
                let answer = outcome.map_or(Answer::Unreachable, Answer::Outcome);
                effects.push(Effect::Answer { ticket, answer });
            }
            Purpose::Relay { peer, ticket } => {
                let body = Body::Answer(message::Answer { ticket, outcome });
                effects.push(Effect::Send { to: peer, body });
            }
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
        let key = open.slot.to_owned() + open.request;
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
    CommandBody::Crash(Crash {
        fingerprint,
        request: request.to_owned(),
        vm: String::new(),
        suspicion: suspicion as i32,
        incarnation: 0,
    })
}
