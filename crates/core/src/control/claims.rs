//! Claims on non-idempotent requests, and suspected requests.
//!
//! A claim on a key is granted to one request; that request records how it ended. If the holder
//! fails to do so, the leader of the log closes the claim as [`Run::Unknown`] once the holder's
//! permission to run the request has certainly expired. The key can be claimed again only if the
//! request is known not to have run, or after the ended claim was dropped because too many are
//! kept.
//!
//! A request is suspected after an endpoint died while running it. It may then run only as a
//! *trial*, one at a time, and is refused once [`CRASH_LIMIT`] endpoints have died.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::command::{Claim, NewBar, Outcome, Run, RunResult, Settle, SuspectChange, Suspicion};

/// Ended claims that are kept; beyond this the oldest is dropped and its key can be claimed again.
const CLAIMS_KEPT: usize = 100_000;
/// Suspected requests that are kept; beyond this the oldest is no longer suspected.
const SUSPECTS_KEPT: usize = 10_000;
/// Number of endpoint deaths at which a suspected request is refused on all daemons.
pub const CRASH_LIMIT: u32 = 2;

/// A granted claim, open or ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ClaimRecord {
    workspace: String,
    key: String,
    /// Hash of service, method, path and body; a claim on the same key with another hash is a
    /// mismatch.
    digest: u64,
    /// Id of the request that holds the claim.
    request: String,
    /// Milliseconds from the claim after which the holder no longer runs the request.
    permission_ms: u64,
    /// How the request ended; none while the claim is open.
    result: Option<RunResult>,
}

/// A claim whose end is not recorded yet.
#[derive(Clone, Copy, Debug)]
pub struct OpenClaim<'a> {
    /// Workspace and key joined; identifies the claim.
    pub id: &'a str,
    /// Workspace of the claim.
    pub workspace: &'a str,
    /// Key of the claim.
    pub key: &'a str,
    /// Id of the request that holds the claim.
    pub request: &'a str,
    /// Milliseconds from the claim after which the holder no longer runs the request.
    pub permission_ms: u64,
}

/// A request that was running on an endpoint when the endpoint died.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Suspect {
    /// The request's [`digest`](crate::request::Request::digest), equal for all submissions of the
    /// same content.
    fingerprint: u64,
    /// Endpoints that died while running the request.
    deaths: Vec<Death>,
    /// Trial that is in progress.
    trial: Option<Trial>,
}

/// A permitted run of a suspected request; there is at most one at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Trial {
    /// Id of the request that runs.
    request: String,
    /// Group instance or plain endpoint that runs it.
    route: String,
}

/// An endpoint that died while it ran a suspected request. One death is recorded for each
/// incarnation, even if several submissions of the request were running there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Death {
    vm: String,
    incarnation: u64,
}

/// Claims and suspected requests of one log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Stored", into = "Stored")]
pub struct Claims {
    /// Open and ended claims by [`claim_id`].
    records: BTreeMap<String, ClaimRecord>,
    /// Ids of the ended claims, oldest end first.
    ended: VecDeque<String>,
    /// Suspected requests by fingerprint.
    suspects: BTreeMap<u64, Suspect>,
    /// Fingerprints of the suspected requests, oldest first.
    suspect_order: VecDeque<u64>,
}

/// Serialized form of [`Claims`] in a snapshot; lists replace the maps.
#[derive(Clone, Serialize, Deserialize)]
struct Stored {
    /// All claims, open and ended.
    held: Vec<ClaimRecord>,
    /// Ids of the ended claims, oldest end first.
    ended: Vec<String>,
    /// Suspected requests, oldest first.
    suspects: Vec<Suspect>,
}

impl From<Stored> for Claims {
    fn from(stored: Stored) -> Claims {
        let id = |record: &ClaimRecord| claim_id(&record.workspace, &record.key);
        Claims {
            records: stored.held.into_iter().map(|record| (id(&record), record)).collect(),
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
            held: claims.records.into_values().collect(),
            ended: claims.ended.into(),
        }
    }
}

/// Map key of a claim: workspace and key, joined by a character that neither contains.
fn claim_id(workspace: &str, key: &str) -> String {
    format!("{workspace}\u{0}{key}")
}

impl Claims {
    /// Number of claims, open and ended.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Claims whose end is not recorded yet.
    pub fn open(&self) -> impl Iterator<Item = OpenClaim<'_>> {
        self.records.iter().filter(|(_, record)| record.result.is_none()).map(|(id, record)| {
            OpenClaim {
                id,
                workspace: &record.workspace,
                key: &record.key,
                request: &record.request,
                permission_ms: record.permission_ms,
            }
        })
    }

    /// Fingerprints of the suspected requests, each with the id of the request that runs its trial.
    pub fn suspects(&self) -> impl Iterator<Item = (u64, Option<&str>)> {
        self.suspects.values().map(|suspect| {
            (suspect.fingerprint, suspect.trial.as_ref().map(|trial| trial.request.as_str()))
        })
    }

    /// Whether a request is suspected.
    pub fn is_suspected(&self, fingerprint: u64) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// How the request that claimed a key ended; none if there is no claim or it is still open.
    pub fn result(&self, workspace: &str, key: &str) -> Option<&RunResult> {
        self.records.get(&claim_id(workspace, key))?.result.as_ref()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Grants a claim on a key that has none. A claim that its holder repeats is accepted again;
    /// any other request gets the recorded result, or is told that the key is in use or was used
    /// for another request.
    pub(super) fn claim(&mut self, claim: Claim) -> Outcome {
        let id = claim_id(&claim.workspace, &claim.key);
        let Some(record) = self.records.get(&id) else {
            let holder = claim.request.clone();
            let record = ClaimRecord {
                workspace: claim.workspace,
                key: claim.key,
                digest: claim.digest,
                request: claim.request,
                permission_ms: claim.permission_ms,
                result: None,
            };
            self.records.insert(id, record);
            return Outcome { holder, ..Outcome::of(NewBar::Accepted) };
        };
        let holder = record.request.clone();
        if record.digest != claim.digest {
            return Outcome { holder, ..Outcome::of(NewBar::Mismatch) };
        }
        if record.request == claim.request && record.result.is_none() {
            return Outcome { holder, ..Outcome::of(NewBar::Accepted) };
        }
        match &record.result {
            Some(result) => {
                let result = Some(result.clone());
                Outcome { holder, result, ..Outcome::of(NewBar::Recorded) }
            }
            None => Outcome { holder, ..Outcome::of(NewBar::InProgress) },
        }
    }

    /// Records how a claimed request ended. If it did not run, the claim is removed so that the key
    /// can be claimed again; otherwise the result is kept.
    pub(super) fn settle(&mut self, settle: Settle) -> Outcome {
        let id = claim_id(&settle.workspace, &settle.key);
        let Some(record) = self.records.get_mut(&id) else {
            return Outcome::of(NewBar::Missing);
        };
        if record.request != settle.request {
            return Outcome { holder: record.request.clone(), ..Outcome::of(NewBar::Conflict) };
        }
        if let Some(result) = &record.result {
            return Outcome { result: Some(result.clone()), ..Outcome::of(NewBar::Recorded) };
        }
        let Some(result) = settle.result else { return Outcome::of(NewBar::Refused) };
        if result.run() == Run::NotRun {
            self.records.remove(&id);
            return Outcome::of(NewBar::Accepted);
        }
        record.result = Some(result);
        self.ended.push_back(id);
        if self.ended.len() > CLAIMS_KEPT {
            if let Some(oldest) = self.ended.pop_front() {
                self.records.remove(&oldest);
            }
        }
        Outcome::of(NewBar::Accepted)
    }

    /// Records that a suspected request crashed an endpoint or is cleared, or grants or ends its
    /// trial.
    pub(super) fn change_suspect(&mut self, change: SuspectChange) -> Outcome {
        match change.suspicion() {
            Suspicion::Crashed => self.record_crash(change),
            Suspicion::Trial => self.grant_trial(change),
            Suspicion::Abandoned => {
                if let Some(suspect) = self.suspects.get_mut(&change.fingerprint) {
                    suspect.trial = None;
                }
                Outcome::of(NewBar::Accepted)
            }
            Suspicion::Cleared => {
                self.suspects.remove(&change.fingerprint);
                self.suspect_order.retain(|known| *known != change.fingerprint);
                Outcome::of(NewBar::Accepted)
            }
        }
    }

    /// Records the death of an endpoint and ends the trial that caused it. The outcome's version is
    /// the number of endpoints that have died so far.
    fn record_crash(&mut self, change: SuspectChange) -> Outcome {
        let fingerprint = change.fingerprint;
        let order = &mut self.suspect_order;
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| {
            order.push_back(fingerprint);
            Suspect { fingerprint, deaths: Vec::new(), trial: None }
        });
        if suspect.trial.as_ref().is_some_and(|trial| trial.request == change.request) {
            suspect.trial = None;
        }
        let death = Death { vm: change.vm, incarnation: change.incarnation };
        if !suspect.deaths.contains(&death) {
            suspect.deaths.push(death);
        }
        let version = suspect.deaths.len() as u64;
        if self.suspect_order.len() > SUSPECTS_KEPT {
            if let Some(oldest) = self.suspect_order.pop_front() {
                self.suspects.remove(&oldest);
            }
        }
        Outcome { version, ..Outcome::of(NewBar::Accepted) }
    }

    /// Grants a trial unless another request already runs one for the same suspect, or another
    /// suspect has one on the same route, where a death could not be attributed to either of the
    /// two. Refuses it once [`CRASH_LIMIT`] endpoints have died. A request that is no longer
    /// suspected is permitted to run, and no trial is recorded for it.
    fn grant_trial(&mut self, change: SuspectChange) -> Outcome {
        let route_in_use = self.suspects.values().any(|other| {
            let on_route = other.trial.as_ref().is_some_and(|trial| trial.route == change.vm);
            other.fingerprint != change.fingerprint && on_route
        });
        let Some(suspect) = self.suspects.get_mut(&change.fingerprint) else {
            return Outcome::of(NewBar::Accepted);
        };
        let version = suspect.deaths.len() as u64;
        if version >= u64::from(CRASH_LIMIT) {
            return Outcome { version, ..Outcome::of(NewBar::Refused) };
        }
        let trial_in_progress =
            suspect.trial.as_ref().is_some_and(|trial| trial.request != change.request);
        if trial_in_progress || route_in_use {
            return Outcome { version, ..Outcome::of(NewBar::InProgress) };
        }
        suspect.trial = Some(Trial { request: change.request, route: change.vm });
        Outcome { version, ..Outcome::of(NewBar::Accepted) }
    }
}
