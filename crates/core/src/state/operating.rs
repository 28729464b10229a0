//! Queries and changes of operators.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Instant;
use crate::control::command::{Body as CommandBody, Change, Explain};
use crate::effect::{Answer, Effect, Effects};
use crate::event::Operation;
use crate::object::{is_valid_name, Kind, Spec};
use crate::status::{Count, Daemon, Log, Route, Status, Vm};
use crate::Name;

use super::logs::Purpose;
use super::{Content, State};

/// Time after which an operator is told that no leader of the log was reached; a change may still
/// take effect afterwards.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(8);

impl State {
    pub(super) fn handle_operation(
        &mut self,
        now: Instant,
        ticket: u64,
        operation: Operation,
        effects: &mut Effects,
    ) {
        match operation {
            Operation::Change(change) => self.propose_change(now, ticket, change, effects),
            Operation::Get { kind, name } => {
                let answer = self.read_objects(kind, name.as_ref());
                effects.push(Effect::Answer { ticket, answer });
            }
            Operation::Explain(request) => self.explain(now, ticket, &request, effects),
            Operation::Status => {
                let answer = Answer::Status(Box::new(self.status(now)));
                effects.push(Effect::Answer { ticket, answer });
            }
        }
    }

    /// Proposes a change to the configuration log if it is valid, otherwise returns all findings.
    fn propose_change(&mut self, now: Instant, ticket: u64, change: Change, effects: &mut Effects) {
        let findings = self.check_change(&change);
        if !findings.is_empty() {
            let answer = Answer::Invalid(findings);
            effects.push(Effect::Answer { ticket, answer });
            return;
        }
        let Some(log) = self.log_holding(&Content::Configuration) else { return };
        let log = log.name.clone();
        let purpose = Purpose::Operator(ticket);
        let command = CommandBody::Change(change);
        self.propose(now, log, command, purpose, OPERATION_TIMEOUT, effects);
    }

    /// Findings that make a change invalid; empty if it is valid.
    fn check_change(&self, change: &Change) -> Vec<String> {
        let mut findings = Vec::new();
        if !is_valid_name(&change.name) {
            findings.push("name: use up to 63 letters, digits, `-`, `_` and `.`".to_owned());
        }
        let Some(kind) = Kind::from_repr(change.kind) else {
            findings.push("kind: unknown kind of object".to_owned());
            return findings;
        };
        let Some(body) = &change.body else { return findings };
        match Spec::parse(kind, body) {
            Err(errors) => findings.extend(errors.iter().map(ToString::to_string)),
            Ok(Spec::Workspace(workspace)) => {
                let holder = self.view.workspace_of_key(&workspace.key_sha256);
                if holder.is_some_and(|holder| **holder != *change.name) {
                    findings.push("key-sha256: already used by another workspace".to_owned());
                }
            }
            Ok(_) => {}
        }
        findings
    }

    /// Reads configuration objects from this daemon's copy of the log, which may lag behind the
    /// leader.
    fn read_objects(&self, kind: Option<Kind>, name: Option<&Name>) -> Answer {
        let hosted = self.logs.values().find(|hosted| hosted.content == Content::Configuration);
        let fetched = self.fetched.as_ref().map(|fetched| &fetched.state_machine);
        let Some(machine) = hosted.map(|hosted| &hosted.state_machine).or(fetched) else {
            return Answer::Unreachable;
        };
        let objects = machine.configuration.objects().filter(|object| {
            kind.is_none_or(|kind| kind == object.kind)
                && name.is_none_or(|name| *name == object.name)
        });
        Answer::Objects {
            revision: machine.configuration.revision(),
            objects: objects.cloned().collect(),
        }
    }

    /// Reads a usage line from the claim log that records the usage of the daemon that handled the
    /// request; the request id begins with that daemon's name.
    fn explain(&mut self, now: Instant, ticket: u64, request: &Name, effects: &mut Effects) {
        let daemon = request.rsplitn(3, '.').nth(2).unwrap_or_default();
        let Some(log) = self.claim_log(xxh3_64(daemon.as_bytes())) else {
            effects.push(Effect::Answer { ticket, answer: Answer::Unreachable });
            return;
        };
        let command = CommandBody::Explain(Explain { request: request.to_string() });
        let purpose = Purpose::Operator(ticket);
        self.propose(now, log, command, purpose, OPERATION_TIMEOUT, effects);
    }

    /// The claim log that a hash is assigned to; none if the settings name no claim log.
    pub(super) fn claim_log(&self, hash: u64) -> Option<Name> {
        let claims = self.setup.logs.iter().filter(|log| log.content == Content::Claims);
        let claims: Vec<&Name> = claims.map(|log| &log.name).collect();
        let shard = hash.checked_rem(claims.len() as u64)?;
        Some(claims[shard as usize].clone())
    }

    /// Status of the system as this daemon sees it.
    pub fn status(&self, now: Instant) -> Status {
        Status {
            daemon: self.setup.daemon.clone(),
            zone: self.setup.zone.clone(),
            ready: self.ready,
            stopping: self.stopping,
            stale: self.is_stale(now),
            revision: self.view.revision,
            running: self.requests.len(),
            waiting: self.queues.values().map(|queue| queue.len()).sum(),
            daemons: self.daemons(now),
            logs: self.log_states(),
            routes: self.route_states(now),
            vms: self.vm_states(now),
            zones: self.summaries.values().cloned().collect(),
            counters: self
                .counters
                .iter()
                .map(|(counter, value)| Count { name: counter.name(), value })
                .collect(),
        }
    }

    /// Status of the daemons in the settings and of all linked ones.
    fn daemons(&self, now: Instant) -> Vec<Daemon> {
        let mut names: Vec<Name> =
            self.setup.peers.iter().map(|peer| peer.daemon.clone()).collect();
        names.extend(
            self.links.keys().filter(|name| !names.contains(name)).cloned().collect::<Vec<_>>(),
        );
        let daemon = |name: Name| {
            let link = self.links.get(&name);
            let configured = self.zone_of(&name).cloned();
            let announced = link.map(|link| Name::from(link.hello.zone.as_str()));
            Daemon {
                zone: configured.or(announced).unwrap_or_else(|| "".into()),
                linked: link.is_some_and(|link| link.is_live(now)),
                ready: link.is_some_and(|link| link.ready),
                revision: link.map_or(0, |link| link.revision),
                age_ms: link
                    .map_or(u64::MAX, |link| now.since(link.alive_as_of).as_millis() as u64),
                name,
            }
        };
        names.into_iter().map(daemon).collect()
    }

    /// Status of the replicas that this daemon hosts.
    fn log_states(&self) -> Vec<Log> {
        let state = |(name, hosted): (&Name, &super::logs::HostedLog)| Log {
            name: name.clone(),
            role: format!("{:?}", hosted.replica.role()).to_lowercase(),
            term: hosted.replica.term(),
            leader: hosted.replica.leader().cloned().unwrap_or_else(|| "".into()),
            applied: hosted.replica.applied(),
            voters: hosted
                .replica
                .voters()
                .iter()
                .map(|voter| format!("{}:{}", voter.replica, voter.weight))
                .collect(),
        };
        self.logs.iter().map(state).collect()
    }

    /// Status of the routes.
    fn route_states(&self, now: Instant) -> Vec<Route> {
        let state = |(name, route): (&Name, &crate::route::Route)| {
            let newest = route.newest();
            Route {
                name: name.clone(),
                zone: newest.map_or("", |observation| &observation.entry.zone).into(),
                standing: format!("{:?}", route.standing(now)).to_lowercase(),
                generation: newest.map_or(0, |observation| observation.entry.generation),
                load: route.load(),
                slots: route.slots(),
                age_ms: newest
                    .map_or(0, |observation| now.since(observation.as_of).as_millis() as u64),
                ejected: route.health.is_ejected(now),
            }
        };
        self.routes.routes().map(state).collect()
    }

    /// Status of the zone's VMs; empty unless this daemon leads the zone's placement log.
    fn vm_states(&self, now: Instant) -> Vec<Vm> {
        let Some((manager, inputs)) = self.leading_manager(now) else { return Vec::new() };
        let vm = |(name, status): (Name, crate::placement::Status)| Vm {
            zone: self.setup.zone.clone(),
            status: status.to_string(),
            group: inputs.placements.holder(&name).cloned().unwrap_or_else(|| "".into()),
            name,
        };
        manager.statuses(&inputs).into_iter().map(vm).collect()
    }
}
