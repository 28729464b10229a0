//! Record of what callers, endpoints and operators observed in a simulation, and checks of the
//! guarantees on it.
//!
//! Times are simulated time in milliseconds.

use std::collections::BTreeMap;

use dotterelhoist_core::control::command::{Change, NewBar, Outcome, Run};
use dotterelhoist_core::request::Reason;

use crate::world::Submission;

/// Final result of a call, as the caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    Refused(Reason, Run),
    Answer(Vec<u8>),
    /// The connection ended without an answer.
    ConnectionClosed,
}

/// One submission of a request.
#[derive(Clone, Debug)]
pub struct Call {
    pub submission: Submission,
    /// Final result and when the caller got it.
    pub response: Option<(Response, u64)>,
    /// Answer that the daemon buffers until it decides to deliver it; empty before.
    buffered_answer: Vec<u8>,
}

/// One run on an endpoint.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Index in `History::calls`.
    pub call: usize,
    /// When it began.
    pub at: u64,
}

/// One dispatch of a request by a daemon.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// VM of the endpoint.
    pub vm: String,
    /// When the daemon decided to send it.
    pub at: u64,
}

/// One change requested by an operator.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    pub change: Change,
    /// When it was requested.
    pub at: u64,
    /// Outcome and when the operator got it.
    pub outcome: Option<(Outcome, u64)>,
}

/// All observations of one simulation.
#[derive(Default)]
pub struct History {
    pub calls: Vec<Call>,
    pub executions: Vec<Execution>,
    pub dispatches: Vec<Dispatch>,
    pub changes: Vec<ChangeRequest>,
    /// Attempts that a daemon aborted.
    pub aborts: usize,
    /// Number of crashes of endpoints by poison requests.
    pub endpoint_crashes: usize,
    /// Last revision that each daemon had in force.
    revisions: BTreeMap<usize, u64>,
    /// When each daemon first had each revision or a later one in force.
    in_force: BTreeMap<(usize, u64), u64>,
}

impl History {
    /// Records a submission and returns the index of the call.
    pub fn record_call(&mut self, submission: Submission) -> usize {
        self.calls.push(Call { submission, response: None, buffered_answer: Vec::new() });
        self.calls.len() - 1
    }

    pub fn submission(&self, call: usize) -> Submission {
        self.calls[call].submission.clone()
    }

    /// Records the final result of a call; there may be only one.
    pub fn record_response(&mut self, call: usize, response: Response, now: u64) {
        let call = &mut self.calls[call];
        assert!(call.response.is_none(), "two final answers: {:?} and {response:?}", call.response);
        call.response = Some((response, now));
    }

    pub fn buffer_answer(&mut self, call: usize, answer: Vec<u8>) {
        self.calls[call].buffered_answer = answer;
    }

    pub fn buffered_answer(&mut self, call: usize) -> Vec<u8> {
        self.calls[call].buffered_answer.clone()
    }

    pub fn record_dispatch(&mut self, vm: &str, now: u64) {
        self.dispatches.push(Dispatch { vm: vm.to_owned(), at: now });
    }

    /// Records a run and returns the index of the execution.
    pub fn record_execution(&mut self, call: usize, at: u64) -> usize {
        self.executions.push(Execution { call, at });
        self.executions.len() - 1
    }

    /// Records a requested change and returns the ticket for its outcome.
    pub fn record_change(&mut self, change: Change, at: u64) -> u64 {
        self.changes.push(ChangeRequest { change, at, outcome: None });
        self.changes.len() as u64
    }

    /// Records the outcome of a change, or nothing if the answer held none.
    pub fn record_outcome(&mut self, ticket: u64, outcome: Option<Outcome>, at: u64) {
        if let Some(outcome) = outcome {
            self.changes[ticket as usize - 1].outcome = Some((outcome, at));
        }
    }

    /// Records the revision that a daemon has in force, and checks that it never decreases, not
    /// even across a restart. Revision 0 means that the daemon has none yet.
    pub fn record_revision(&mut self, node: usize, revision: u64, now: u64) {
        let last = self.revisions.entry(node).or_default();
        if revision == 0 {
            return;
        }
        assert!(revision >= *last, "node {node} went back from revision {last} to {revision}");
        for reached in *last + 1..=revision {
            self.in_force.insert((node, reached), now);
        }
        *last = revision;
    }

    /// Number of calls that were answered.
    pub fn served(&self) -> usize {
        let served = |call: &&Call| matches!(call.response, Some((Response::Answer(_), _)));
        self.calls.iter().filter(served).count()
    }

    /// Checks that each idempotency key of the plain service runs at most once. A call that is
    /// refused as `not-run` must never have run, nor its key before the refusal. If a call was
    /// answered, its key must have run, and all calls with that key must have the same answer.
    pub fn check_at_most_once(&self) {
        let mut by_key: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (number, call) in self.calls.iter().enumerate() {
            if call.submission.service != "desk" {
                continue;
            }
            let own = format!("call {number}");
            by_key.entry(call.submission.key.clone().unwrap_or(own)).or_default().push(number);
        }
        for (key, calls) in by_key {
            let runs: Vec<&Execution> =
                self.executions.iter().filter(|run| calls.contains(&run.call)).collect();
            assert!(runs.len() <= 1, "{key} ran {} times", runs.len());
            let mut answers = Vec::new();
            for call in &calls {
                match &self.calls[*call].response {
                    Some((Response::Refused(reason, Run::NotRun), at)) => {
                        let own = runs.iter().any(|run| run.call == *call);
                        assert!(!own, "{key}: the refused call ({reason}, not-run) did run");
                        let before = runs.iter().any(|run| run.at <= *at);
                        assert!(!before, "{key}: refused ({reason}, not-run) after it had run");
                    }
                    Some((Response::Answer(answer), _)) => answers.push(answer),
                    _ => {}
                }
            }
            answers.dedup();
            assert!(answers.len() <= 1, "{key} got different answers");
            assert!(answers.is_empty() || runs.len() == 1, "{key} was answered without a run");
        }
    }

    /// Checks that the accepted changes of each object are linearizable, in the order of their
    /// versions, and that each operation id has one outcome.
    pub fn check_linearizable(&self) {
        let mut outcomes: BTreeMap<&str, &Outcome> = BTreeMap::new();
        let mut objects: BTreeMap<(u32, &str), Vec<&ChangeRequest>> = BTreeMap::new();
        for request in &self.changes {
            if let Some((outcome, _)) = &request.outcome {
                let first = outcomes.entry(&request.change.operation).or_insert(outcome);
                assert_eq!(
                    *first, outcome,
                    "operation {} got two different outcomes",
                    request.change.operation
                );
            }
            let object = (request.change.kind, request.change.name.as_str());
            objects.entry(object).or_default().push(request);
        }
        for ((_, name), changes) in objects {
            check_object(name, &changes);
        }
    }

    /// Checks that a daemon had each accepted change in force within `limit` milliseconds after the
    /// operator got the outcome.
    pub fn check_in_force(&self, node: usize, limit: u64) {
        for request in &self.changes {
            let Some((outcome, at)) = &request.outcome else { continue };
            if outcome.bar() != NewBar::Accepted {
                continue;
            }
            let reached = self.in_force.get(&(node, outcome.revision));
            let took = reached.map(|reached| reached.saturating_sub(*at));
            assert!(
                took.is_some_and(|took| took <= limit),
                "node {node}: revision {} in force after {took:?} ms, limit {limit} ms",
                outcome.revision
            );
        }
    }
}

/// Checks the changes of one object: each version belongs to one operation, accepted changes follow
/// their expected version, the order of versions agrees with that of time, and the version in a
/// conflict is neither too new nor too old.
fn check_object(name: &str, changes: &[&ChangeRequest]) {
    let ended = |request: &&ChangeRequest| request.outcome.as_ref().map_or(u64::MAX, |(_, at)| *at);
    let mut accepted: BTreeMap<u64, Vec<&ChangeRequest>> = BTreeMap::new();
    for request in changes {
        let Some((outcome, _)) = &request.outcome else { continue };
        if outcome.bar() == NewBar::Accepted {
            accepted.entry(outcome.version).or_default().push(request);
        }
    }
    for (version, same) in &accepted {
        let operations: Vec<&str> =
            same.iter().map(|request| request.change.operation.as_str()).collect();
        let is_unique = operations.iter().all(|operation| *operation == operations[0]);
        assert!(is_unique, "{name}: version {version} was given to {operations:?}");
        if let Some(expected) = same[0].change.expected {
            assert_eq!(
                expected + 1,
                *version,
                "{name}: accepted as version {version} with expected version {expected}"
            );
        }
    }
    // Version, time of the first request and time of the first outcome.
    let versions: Vec<(u64, u64, u64)> = accepted
        .iter()
        .map(|(version, same)| {
            let requested = same.iter().map(|request| request.at).min().unwrap_or(0);
            let ended = same.iter().map(ended).min().unwrap_or(0);
            (*version, requested, ended)
        })
        .collect();
    for (index, (version, requested, _)) in versions.iter().enumerate() {
        for (later, _, ended) in &versions[index + 1..] {
            assert!(
                ended >= requested,
                "{name}: version {later} was accepted before version {version} was requested"
            );
        }
    }
    for request in changes {
        let Some((outcome, ended)) = &request.outcome else { continue };
        if outcome.bar() != NewBar::Conflict {
            continue;
        }
        let mut operations: Vec<&str> = changes
            .iter()
            .filter(|other| other.at <= *ended && may_have_been_accepted(other))
            .map(|other| other.change.operation.as_str())
            .collect();
        operations.sort_unstable();
        operations.dedup();
        assert!(
            operations.len() as u64 >= outcome.version,
            "{name}: a conflict names version {}, but fewer changes had been requested",
            outcome.version
        );
        let before = versions
            .iter()
            .filter(|(_, _, ended)| *ended < request.at)
            .map(|version| version.0)
            .max();
        let resent = changes.iter().any(|other| {
            other.change.operation == request.change.operation && other.at < request.at
        });
        assert!(
            resent || before.unwrap_or(0) <= outcome.version,
            "{name}: a conflict names version {}, but version {before:?} had already been accepted",
            outcome.version
        );
    }
}

/// Whether a change was accepted, or has no recorded outcome and so may have been accepted.
fn may_have_been_accepted(request: &ChangeRequest) -> bool {
    request.outcome.as_ref().is_none_or(|(outcome, _)| outcome.bar() == NewBar::Accepted)
}
