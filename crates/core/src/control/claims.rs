//! Claims on non-idempotent requests, and suspected requests.
//!
//! A claim is granted once for its key and never again. Its end is recorded by the request that
//! holds it. A claim whose holder died is closed as [`Run::Unknown`] by the leader of the log, once
//! the holder's permission to run the request has certainly expired.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::command::{Claim, Crash, Outcome, Run, RunResult, Settle, Suspicion, Verdict};

/// Claims that are kept after their end.
const CLAIMS_KEPT: usize = 100_000;
/// Suspected requests that are kept.
const SUSPECTS_KEPT: usize = 10_000;
/// Endpoints that a request may crash before it is refused everywhere.
pub const CRASHES_ALLOWED: u32 = 2;

/// A claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Held {
    workspace: String,
    key: String,
    digest: u64,
    request: String,
    permission_ms: u64,
    result: Option<RunResult>,
}

/// A claim without an end.
#[derive(Clone, Copy, Debug)]
pub struct Open<'a> {
    /// Workspace and key in one.
    pub slot: &'a str,
    /// Workspace of the claim.
    pub workspace: &'a str,
    /// Key of the claim.
    pub key: &'a str,
    /// Request that holds it.
    pub request: &'a str,
    /// Milliseconds after which the holder no longer runs the request.
    pub permission_ms: u64,
}

/// A request that was running on an endpoint when it died.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Suspect {
    fingerprint: u64,
    deaths: Vec<Death>,
    trial: Option<Trial>,
}

/// The one run that a suspected request is allowed at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Trial {
    request: String,
    route: String,
}

/// An endpoint that died while it ran a suspected request; each incarnation dies once, however many
/// submissions of the request were on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Death {
    vm: String,
    incarnation: u64,
}

/// All claims and suspects.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Stored", into = "Stored")]
pub struct Claims {
    held: BTreeMap<String, Held>,
    ended: VecDeque<String>,
    suspects: BTreeMap<u64, Suspect>,
    suspect_order: VecDeque<u64>,
}

/// Form of the claims in a snapshot.
#[derive(Clone, Serialize, Deserialize)]
struct Stored {
    held: Vec<Held>,
    ended: Vec<String>,
    suspects: Vec<Suspect>,
}

impl From<Stored> for Claims {
    fn from(stored: Stored) -> Claims {
        let slot = |held: &Held| slot(&held.workspace, &held.key);
        Claims {
            held: stored.held.into_iter().map(|held| (slot(&held), held)).collect(),
            ended: stored.ended.into(),
            suspect_order: stored.suspects.iter().map(|s| s.fingerprint).collect(),
            suspects: stored.suspects.into_iter().map(|s| (s.fingerprint, s)).collect(),
        }
    }
}

impl From<Claims> for Stored {
    fn from(claims: Claims) -> Stored {
        let suspects = &claims.suspects;
        Stored {
            suspects: claims
                .suspect_order
                .iter()
                .filter_map(|fingerprint| suspects.get(fingerprint).cloned())
                .collect(),
            held: claims.held.into_values().collect(),
            ended: claims.ended.into(),
        }
    }
}

fn slot(workspace: &str, key: &str) -> String {
    format!("{workspace}\u{0}{key}")
}

impl Claims {
    /// Number of claims held in memory.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Claims without an end, each with the time for which its holder may run it.
    pub fn open(&self) -> impl Iterator<Item = Open<'_>> {
        self.held.iter().filter(|(_, held)| held.result.is_none()).map(|(slot, held)| Open {
            slot,
            workspace: &held.workspace,
            key: &held.key,
            request: &held.request,
            permission_ms: held.permission_ms,
        })
    }

    /// Requests under suspicion, with the request that tries each.
    pub fn suspects(&self) -> impl Iterator<Item = (u64, Option<&str>)> {
        self.suspects.values().map(|suspect| {
            (suspect.fingerprint, suspect.trial.as_ref().map(|trial| trial.request.as_str()))
        })
    }

    /// Whether a request is under suspicion.
    pub fn suspected(&self, fingerprint: u64) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// End of a claim by its key, if it has one.
    pub fn result(&self, workspace: &str, key: &str) -> Option<&RunResult> {
        self.held.get(&slot(workspace, key))?.result.as_ref()
    }

    /// Whether there is no claim.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    pub(super) fn claim(&mut self, claim: Claim) -> Outcome {
        let slot = slot(&claim.workspace, &claim.key);
        let Some(held) = self.held.get(&slot) else {
            let holder = claim.request.clone();
            let held = Held {
                workspace: claim.workspace,
                key: claim.key,
                digest: claim.digest,
                request: claim.request,
                permission_ms: claim.permission_ms,
                result: None,
            };
            self.held.insert(slot, held);
            return Outcome { holder, ..Outcome::of(Verdict::Accepted) };
        };
        let holder = held.request.clone();
        if held.digest != claim.digest {
            return Outcome { holder, ..Outcome::of(Verdict::Mismatch) };
        }
        if held.request == claim.request && held.result.is_none() {
            return Outcome { holder, ..Outcome::of(Verdict::Accepted) };
        }
        match &held.result {
            Some(result) => {
                let result = Some(result.clone());
                Outcome { holder, result, ..Outcome::of(Verdict::Recorded) }
            }
            None => Outcome { holder, ..Outcome::of(Verdict::InProgress) },
        }
    }

    /// Records an end. A result that did not run frees the key; any other stays.
    pub(super) fn settle(&mut self, settle: Settle) -> Outcome {
        let slot = slot(&settle.workspace, &settle.key);
        let Some(held) = self.held.get_mut(&slot) else {
            return Outcome::of(Verdict::Missing);
        };
        if held.request != settle.request {
            return Outcome { holder: held.request.clone(), ..Outcome::of(Verdict::Conflict) };
        }
        if let Some(result) = &held.result {
            return Outcome { result: Some(result.clone()), ..Outcome::of(Verdict::Recorded) };
        }
        let Some(result) = settle.result else { return Outcome::of(Verdict::Refused) };
        if result.run() == Run::NotRun {
            self.held.remove(&slot);
            return Outcome::of(Verdict::Accepted);
        }
        held.result = Some(result);
        self.ended.push_back(slot);
        if self.ended.len() > CLAIMS_KEPT {
            if let Some(oldest) = self.ended.pop_front() {
                self.held.remove(&oldest);
            }
        }
        Outcome::of(Verdict::Accepted)
    }

    /// Records a step of a suspected request. A trial is granted to one request at a time and
    /// refused once [`CRASHES_ALLOWED`] endpoints have died.
    pub(super) fn crashed(&mut self, crash: Crash) -> Outcome {
        match crash.suspicion() {
            Suspicion::Crashed => self.suspect(crash),
            Suspicion::Trial => self.try_suspect(crash),
            Suspicion::Abandoned => {
                if let Some(suspect) = self.suspects.get_mut(&crash.fingerprint) {
                    suspect.trial = None;
                }
                Outcome::of(Verdict::Accepted)
            }
            Suspicion::Cleared => {
                self.suspects.remove(&crash.fingerprint);
                self.suspect_order.retain(|known| *known != crash.fingerprint);
                Outcome::of(Verdict::Accepted)
            }
        }
    }

    fn suspect(&mut self, crash: Crash) -> Outcome {
        let fingerprint = crash.fingerprint;
        let order = &mut self.suspect_order;
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| {
            order.push_back(fingerprint);
            Suspect { fingerprint, deaths: Vec::new(), trial: None }
        });
        if suspect.trial.as_ref().is_some_and(|trial| trial.request == crash.request) {
            suspect.trial = None;
        }
        let death = Death { vm: crash.vm, incarnation: crash.incarnation };
        if !suspect.deaths.contains(&death) {
            suspect.deaths.push(death);
        }
        let version = suspect.deaths.len() as u64;
        if self.suspect_order.len() > SUSPECTS_KEPT {
            if let Some(oldest) = self.suspect_order.pop_front() {
                self.suspects.remove(&oldest);
            }
        }
        Outcome { version, ..Outcome::of(Verdict::Accepted) }
    }

    /// Grants a trial if the suspect has none, and no other suspect has one on the same route: a
    /// death there could not be told apart.
    fn try_suspect(&mut self, crash: Crash) -> Outcome {
        let busy = self.suspects.values().any(|other| {
            let there = other.trial.as_ref().is_some_and(|trial| trial.route == crash.vm);
            other.fingerprint != crash.fingerprint && there
        });
        let Some(suspect) = self.suspects.get_mut(&crash.fingerprint) else {
            return Outcome::of(Verdict::Accepted);
        };
        let version = suspect.deaths.len() as u64;
        if version >= u64::from(CRASHES_ALLOWED) {
            return Outcome { version, ..Outcome::of(Verdict::Refused) };
        }
        let taken = suspect.trial.as_ref().is_some_and(|trial| trial.request != crash.request);
        if taken || busy {
            return Outcome { version, ..Outcome::of(Verdict::InProgress) };
        }
        suspect.trial = Some(Trial { request: crash.request, route: crash.vm });
        Outcome { version, ..Outcome::of(Verdict::Accepted) }
    }
}
