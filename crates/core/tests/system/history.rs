//! What happened, and what must hold of it.

use std::collections::BTreeMap;

use dotterelhoist_core::control::command::{Change, Outcome, Run, Verdict};
use dotterelhoist_core::request::Reason;

use crate::world::Submission;

/// What a caller was told.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    Refused(Reason, Run),
    Answer(Vec<u8>),
    /// The connection ended without an answer.
    Nothing,
}

/// One submission of a request.
#[derive(Clone, Debug)]
pub struct Call {
    pub submission: Submission,
    pub told: Option<(Told, u64)>,
    held: Vec<u8>,
}

/// One run on an endpoint.
#[derive(Clone, Debug)]
pub struct Execution {
    pub call: usize,
    pub at: u64,
}

/// One dispatch by a daemon.
#[derive(Clone, Debug)]
pub struct Sending {
    pub vm: String,
    pub at: u64,
}

/// One change asked for by an operator.
#[derive(Clone, Debug)]
pub struct Asked {
    pub change: Change,
    pub at: u64,
    pub outcome: Option<(Outcome, u64)>,
}

/// The whole history.
#[derive(Default)]
pub struct History {
    pub calls: Vec<Call>,
    pub executions: Vec<Execution>,
    pub sendings: Vec<Sending>,
    pub asked: Vec<Asked>,
    pub aborts: usize,
    pub deaths: usize,
    revisions: BTreeMap<usize, u64>,
    /// When each daemon first had each revision or a later one in force.
    in_force: BTreeMap<(usize, u64), u64>,
}

impl History {
    pub fn submitted(&mut self, submission: Submission) -> usize {
        self.calls.push(Call { submission, told: None, held: Vec::new() });
        self.calls.len() - 1
    }

    pub fn submission(&self, call: usize) -> Submission {
        self.calls[call].submission.clone()
    }

    pub fn told(&mut self, call: usize, told: Told, now: u64) {
        let call = &mut self.calls[call];
        assert!(call.told.is_none(), "two final answers: {:?} and {told:?}", call.told);
        call.told = Some((told, now));
    }

    pub fn hold(&mut self, call: usize, answer: Vec<u8>) {
        self.calls[call].held = answer;
    }

    pub fn held(&mut self, call: usize) -> Vec<u8> {
        self.calls[call].held.clone()
    }

    pub fn dispatched(&mut self, vm: &str, now: u64) {
        self.sendings.push(Sending { vm: vm.to_owned(), at: now });
    }

    pub fn executed(&mut self, call: usize, at: u64) -> usize {
        self.executions.push(Execution { call, at });
        self.executions.len() - 1
    }

    pub fn asked(&mut self, change: Change, at: u64) -> u64 {
        self.asked.push(Asked { change, at, outcome: None });
        self.asked.len() as u64
    }

    pub fn answered(&mut self, ticket: u64, outcome: Option<Outcome>, at: u64) {
        if let Some(outcome) = outcome {
            self.asked[ticket as usize - 1].outcome = Some((outcome, at));
        }
    }

    /// Notes what a daemon has in force, which never falls, over restarts too.
    pub fn revision(&mut self, node: usize, revision: u64, now: u64) {
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

    /// Answers that callers got.
    pub fn served(&self) -> usize {
        let served = |call: &&Call| matches!(call.told, Some((Told::Answer(_), _)));
        self.calls.iter().filter(served).count()
    }

    /// Executions per key ≤ 1; told `not-run` ⇒ none, then and later; told an answer ⇒ exactly one
    /// and the same answer for each submission of the key.
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
                self.executions.iter().filter(|e| calls.contains(&e.call)).collect();
            assert!(runs.len() <= 1, "{key} ran {} times", runs.len());
            let mut answers = Vec::new();
            for call in &calls {
                match &self.calls[*call].told {
                    Some((Told::Refused(reason, Run::NotRun), at)) => {
                        let own = runs.iter().any(|run| run.call == *call);
                        assert!(!own, "{key}: told not-run ({reason}) and ran");
                        let before = runs.iter().any(|run| run.at <= *at);
                        assert!(!before, "{key}: told not-run ({reason}) after it had run");
                    }
                    Some((Told::Answer(answer), _)) => answers.push(answer),
                    _ => {}
                }
            }
            answers.dedup();
            assert!(answers.len() <= 1, "{key} got different answers");
            assert!(answers.is_empty() || runs.len() == 1, "{key} was answered without a run");
        }
    }

    /// Each object's accepted changes can be put in an order that agrees with their versions and
    /// with real time, and each operation id has one outcome.
    pub fn check_linearizable(&self) {
        let mut outcomes: BTreeMap<&str, &Outcome> = BTreeMap::new();
        let mut objects: BTreeMap<(u32, &str), Vec<&Asked>> = BTreeMap::new();
        for asked in &self.asked {
            if let Some((outcome, _)) = &asked.outcome {
                let first = outcomes.entry(&asked.change.operation).or_insert(outcome);
                assert_eq!(*first, outcome, "{} got two outcomes", asked.change.operation);
            }
            let object = (asked.change.kind, asked.change.name.as_str());
            objects.entry(object).or_default().push(asked);
        }
        for ((_, name), changes) in objects {
            check_object(name, &changes);
        }
    }

    /// Each accepted change was in force on a daemon within `limit` milliseconds.
    pub fn check_in_force(&self, node: usize, limit: u64) {
        for asked in &self.asked {
            let Some((outcome, at)) = &asked.outcome else { continue };
            if outcome.verdict() != Verdict::Accepted {
                continue;
            }
            let reached = self.in_force.get(&(node, outcome.revision));
            let took = reached.map(|reached| reached.saturating_sub(*at));
            assert!(
                took.is_some_and(|took| took <= limit),
                "node {node}: revision {} took {took:?} ms",
                outcome.revision
            );
        }
    }
}

fn check_object(name: &str, changes: &[&Asked]) {
    let ended = |asked: &&Asked| asked.outcome.as_ref().map_or(u64::MAX, |(_, at)| *at);
    let mut accepted: BTreeMap<u64, Vec<&Asked>> = BTreeMap::new();
    for asked in changes {
        let Some((outcome, _)) = &asked.outcome else { continue };
        if outcome.verdict() == Verdict::Accepted {
            accepted.entry(outcome.version).or_default().push(asked);
        }
    }
    for (version, same) in &accepted {
        let operations: Vec<&str> = same.iter().map(|a| a.change.operation.as_str()).collect();
        let one = operations.iter().all(|operation| *operation == operations[0]);
        assert!(one, "{name}: version {version} was given to {operations:?}");
        if let Some(expected) = same[0].change.expected {
            assert_eq!(expected + 1, *version, "{name}: an expected version was not kept");
        }
    }
    let versions: Vec<(u64, u64, u64)> = accepted
        .iter()
        .map(|(version, same)| {
            let begun = same.iter().map(|a| a.at).min().unwrap_or(0);
            let ended = same.iter().map(ended).min().unwrap_or(0);
            (*version, begun, ended)
        })
        .collect();
    for (at, (version, begun, _)) in versions.iter().enumerate() {
        for (later, _, ended) in &versions[at + 1..] {
            assert!(
                ended >= begun,
                "{name}: version {later} was answered before version {version} was asked for"
            );
        }
    }
    for asked in changes {
        let Some((outcome, ended)) = &asked.outcome else { continue };
        if outcome.verdict() != Verdict::Conflict {
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
            "{name}: a conflict told of version {} before it was asked for",
            outcome.version
        );
        let before = versions.iter().filter(|(_, _, ended)| *ended < asked.at).map(|v| v.0).max();
        let resent = changes
            .iter()
            .any(|other| other.change.operation == asked.change.operation && other.at < asked.at);
        assert!(
            resent || before.unwrap_or(0) <= outcome.version,
            "{name}: a conflict told of version {}, but {before:?} had been answered",
            outcome.version
        );
    }
}

/// Whether a change was accepted, or its answer was lost, so that it may have been.
fn may_have_been_accepted(asked: &Asked) -> bool {
    asked.outcome.as_ref().is_none_or(|(outcome, _)| outcome.verdict() == Verdict::Accepted)
}
