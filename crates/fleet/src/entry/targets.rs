//! Endpoints that requests can be sent to, their load, and the choice among them; their health is kept
//! in [`health`].
//!
//! The load of an endpoint is the number of this daemon's own requests in flight there, plus those
//! of the other entry daemons as last counted by the selected control daemon.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use smallvec::SmallVec;

use crate::message::{Departure, Loads, Target as Description, View};
use crate::Name;

use super::departures::Departures;
use super::limits::{Limits, Outlook};
use super::pauses::Pauses;
use super::queue::Requirement;
use super::serving::QUEUE_TIMEOUT_MAX;

mod health;

pub(super) use self::health::Silence;

/// Initial value of the moving average of the time between parts of responses.
const INITIAL_GAP: Duration = Duration::from_millis(100);
/// Delay that each running request adds to a new one, as the number of prompt tokens that take as
/// long to process.
const WAIT_TOKENS_PER_REQUEST: f64 = 120.0;
/// Penalty on endpoints in other availability zones, in prompt tokens: such an endpoint is
/// preferred only if its expected wait is shorter by more than this.
const ZONE_PENALTY_TOKENS: f64 = 300.0;
/// Upper bound of the random part in an endpoint's score, in prompt tokens. Of endpoints whose
/// scores otherwise differ by less, any may be chosen.
const JITTER_TOKENS: f64 = 120.0;
/// Number of serving groups, drawn at random for each request, of which the one with the shortest
/// expected wait is chosen. The daemons learn of each other's requests only after a delay; if each
/// chose among all groups, all would choose the same one until then.
const SAMPLED_GROUPS: usize = 2;
/// Requests beyond its slots that a plain endpoint may be sent, as a multiple of the slots.
const PLAIN_OVERCOMMIT: f64 = 1.0;
/// Requests beyond its slots that a serving group may be sent, as a multiple of the slots.
const GROUP_OVERCOMMIT: f64 = 0.0;

/// An endpoint in the view, or one that has left it while requests of this daemon are in flight
/// there.
#[derive(Debug)]
pub struct Target {
    /// Its entry in the newest view that listed it.
    pub description: Description,
    /// Whether the current view lists it and it has not left; only then is it sent new requests.
    in_view: bool,
    /// Requests of this daemon in flight there.
    running: u32,
    /// Requests of other entry daemons in flight there.
    others_running: u32,
    /// Requests of this daemon whose response has begun.
    responses_begun: u32,
    /// Prompt tokens of this daemon's requests whose response has not begun.
    backlog: u32,
    /// Prompt tokens of other entry daemons' requests whose response has not begun.
    others_backlog: u32,
    /// When it last sent a part of a response, or was sent a request while idle.
    last_progress: Instant,
    /// When it last sent a part of a response; none if it has sent none.
    last_part: Option<Instant>,
    /// Moving average of the time between parts of responses, in seconds.
    average_gap_s: f64,
    /// Whether it has sent a part of a response since the last round of reports.
    progressed: bool,
    /// Moving average of the outcomes of attempts: 0 if all succeed, 1 if all fail.
    failure_rate: f64,
    /// Consecutive failures.
    consecutive_failures: u32,
    /// Until when it is sent no requests.
    ejected_until: Instant,
    /// Until when it is sent no requests because it makes no progress; reset by any progress.
    stalled_until: Instant,
    /// When it was last found stalled or unreachable; none once it sends a part of a response
    /// again.
    suspected_at: Option<Instant>,
    /// When a connection to it last failed.
    unreachable_at: Option<Instant>,
}

/// All endpoints that the daemon sends requests to.
#[derive(Debug)]
pub struct Targets {
    /// Availability zone of this daemon.
    zone: Name,
    /// Sequence number of the current view.
    sequence: u64,
    /// Identities of the endpoints in the order of the current view, which loads refer to.
    order: Vec<Name>,
    /// Endpoints by identity.
    targets: BTreeMap<Name, Target>,
    /// Limits of endpoints, whether they are in the view or not.
    pub(super) limits: Limits,
    /// Pauses and leaves of endpoints, whether they are in the view or not.
    pub(super) pauses: Pauses,
    /// Endpoints that have left, whatever the view says.
    pub(super) departures: Departures,
}

/// An endpoint that could be sent a request.
struct Candidate<'a> {
    id: &'a Name,
    /// Expected wait with penalties, in prompt tokens.
    score: f64,
    /// Random position among the candidates.
    rank: u64,
    /// Whether it is the head of a serving group.
    is_group: bool,
}

/// Endpoints that could be sent a request.
type Candidates<'a> = SmallVec<[Candidate<'a>; 16]>;

/// Result of the choice of an endpoint for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The endpoint to send the request to.
    Endpoint(Name),
    /// Endpoints meet the requirement, but all of them are at their load limit.
    Full,
    /// No endpoint meets the requirement, or all that do are ejected or already tried.
    None,
}

impl Targets {
    /// Creates an empty set for an entry daemon in `zone`.
    pub fn new(zone: Name) -> Targets {
        Targets {
            zone,
            sequence: 0,
            order: Vec::new(),
            targets: BTreeMap::new(),
            limits: Limits::default(),
            pauses: Pauses::default(),
            departures: Departures::default(),
        }
    }

    /// Replaces the view. An endpoint that belongs to another group than before starts with a clean
    /// failure record; one that is no longer listed is kept while requests are in flight there.
    pub fn apply_view(&mut self, view: View, now: Instant) {
        self.sequence = view.sequence;
        self.order =
            view.targets.iter().map(|description| description.id.as_str().into()).collect();
        for target in self.targets.values_mut() {
            target.in_view = false;
        }
        let departures = &self.departures;
        for description in view.targets.into_iter().filter(|listed| !departures.contain(listed)) {
            let id: Name = description.id.as_str().into();
            self.pauses.record_listed(&id, description.started_unix_ms);
            match self.targets.get_mut(&id) {
                Some(target) => {
                    if target.description.group != description.group {
                        target.ejected_until = Instant::default();
                        target.stalled_until = Instant::default();
                        target.consecutive_failures = 0;
                        target.failure_rate = 0.0;
                    }
                    target.description = description;
                    target.in_view = true;
                }
                None => {
                    self.targets.insert(id, Target::new(description, now));
                }
            }
        }
        self.targets.retain(|_, target| target.in_view || target.running > 0);
        let targets = &self.targets;
        self.pauses.expire(now, |id| targets.get(id).is_some_and(|target| target.in_view));
    }

    /// Records that an endpoint leaves; it gets no more requests. Returns false if that was known.
    pub(super) fn record_departure(&mut self, now: Instant, departure: &Departure) -> bool {
        let is_new = self.departures.record(now, departure);
        let target = self.targets.get_mut(departure.id.as_str());
        if let Some(target) = target.filter(|target| self.departures.contain(&target.description)) {
            target.in_view = false;
        }
        is_new
    }

    /// Updates the limits and the load by other entry daemons; loads that belong to another view
    /// are ignored.
    pub fn apply_loads(&mut self, loads: &Loads, now: Instant) {
        self.limits.apply_list(now, &loads.limits);
        if loads.sequence != self.sequence {
            return;
        }
        for (index, id) in self.order.iter().enumerate() {
            let Some(target) = self.targets.get_mut(id) else { continue };
            let running = loads.running.get(index).copied().unwrap_or(0);
            let own = loads.own.get(index).copied().unwrap_or(0);
            target.others_running = running.saturating_sub(own);
            target.others_backlog = loads.backlog.get(index).copied().unwrap_or(0);
        }
    }

    /// Chooses the endpoint for a request, other than those in `tried`: the one with the shortest
    /// expected wait, after a penalty on other availability zones and a random part are added to it.
    /// Of serving groups, only [`SAMPLED_GROUPS`] are compared. What is random follows from
    /// `random`.
    pub fn choose(
        &self,
        requirement: &Requirement,
        tried: &[Name],
        now: Instant,
        random: u64,
    ) -> Choice {
        let mut has_eligible = false;
        let mut candidates = Candidates::new();
        for (index, (id, target)) in self.targets.iter().enumerate() {
            if !target.meets(requirement) || tried.contains(id) || target.is_ejected(now) {
                continue;
            }
            if self.pauses.leaves(id) {
                continue;
            }
            has_eligible = true;
            if target.load() >= target.load_limit() || !self.limits.admits(id, now) {
                continue;
            }
            if !self.pauses.admits(id, now) {
                continue;
            }
            let bits = scramble(random, index as u64);
            let jitter = (bits & 0xff) as f64 / 256.0 * JITTER_TOKENS;
            let zone_penalty =
                if *target.description.zone == *self.zone { 0.0 } else { ZONE_PENALTY_TOKENS };
            let score = target.expected_wait_tokens() + jitter + zone_penalty;
            let is_group = !target.description.group.is_empty();
            // A slot is lost if it is not used, so its group is always among those that are
            // compared.
            let rank = if self.limits.has_slot(id, now) { 0 } else { bits >> 8 };
            candidates.push(Candidate { id, score, rank, is_group });
        }
        sample_groups(&mut candidates);
        let best = candidates.iter().min_by(|a, b| a.score.total_cmp(&b.score));
        match best {
            Some(candidate) => Choice::Endpoint(candidate.id.clone()),
            None if has_eligible => Choice::Full,
            None => Choice::None,
        }
    }

    /// Total number of slots of the endpoints that meet a requirement.
    pub fn capacity(&self, requirement: &Requirement) -> u32 {
        let serving = self.targets.values().filter(|target| target.meets(requirement));
        serving.fold(0, |total, target| target.description.slots.saturating_add(total))
    }

    /// When the first of the endpoints that meet a requirement, other than those in `tried`, ends
    /// its pause or its ejection; [`Instant::NEVER`] if all of them leave, none if there are none.
    pub(super) fn admission(
        &self,
        requirement: &Requirement,
        tried: &[Name],
        now: Instant,
    ) -> Option<Instant> {
        let serving = self.targets.iter().filter(|(_, target)| target.meets(requirement));
        let serving = serving.filter(|(id, _)| !tried.contains(id));
        serving
            .map(|(id, target)| self.pauses.barred_until(id).max(target.ejected_until).max(now))
            .min()
    }

    /// The slots of the endpoints that meet a requirement; none if one of them has no limit, or if
    /// there is none. Endpoints that pause for longer than any request is queued don't count.
    pub(super) fn outlook(&self, requirement: &Requirement, now: Instant) -> Option<Outlook> {
        let latest = now + QUEUE_TIMEOUT_MAX;
        let usable = |id: &Name, target: &Target| {
            target.meets(requirement)
                && !target.is_ejected(now)
                && latest >= self.pauses.barred_until(id)
        };
        let mut usable = self.targets.iter().filter(|(id, target)| usable(id, target)).peekable();
        usable.peek()?;
        usable.try_fold(Outlook::default(), |outlook, (id, _)| self.limits.extend(id, now, outlook))
    }

    /// What requests must require to be sent to an endpoint; none if it is not in the view.
    pub(super) fn requirement(&self, id: &Name) -> Option<Requirement> {
        let target = self.targets.get(id).filter(|target| target.in_view)?;
        let description = &target.description;
        Some((description.service.as_str().into(), description.model.as_str().into()))
    }

    /// Start time of an endpoint's incarnation in Unix milliseconds, 0 if it is not known.
    pub(super) fn started_unix_ms(&self, id: &Name) -> u64 {
        self.targets.get(id).map_or(0, |target| target.description.started_unix_ms)
    }

    /// The endpoint with this identity.
    pub fn target(&self, id: &Name) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Records that a request was sent to an endpoint.
    pub fn record_send(&mut self, id: &Name, prompt_tokens: u32, now: Instant) {
        self.limits.use_slot(id, now);
        self.pauses.record_send(id, now);
        let Some(target) = self.targets.get_mut(id) else { return };
        if target.running == 0 {
            target.last_progress = now;
        }
        target.running += 1;
        target.backlog += prompt_tokens;
    }

    /// Records that the response to a request has begun.
    pub fn record_response_start(&mut self, id: &Name, prompt_tokens: u32) {
        if let Some(target) = self.targets.get_mut(id) {
            target.responses_begun += 1;
            target.backlog = target.backlog.saturating_sub(prompt_tokens);
        }
    }

    /// Records the end of an attempt; `begun` says whether its response had begun.
    pub fn record_end(&mut self, id: &Name, begun: bool, prompt_tokens: u32) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.running = target.running.saturating_sub(1);
        if begun {
            target.responses_begun = target.responses_begun.saturating_sub(1);
        } else {
            target.backlog = target.backlog.saturating_sub(prompt_tokens);
        }
    }

    /// Records the number of running and waiting requests that an endpoint stated in a response. It
    /// can only raise the known load; the next loads from the control daemon replace it.
    pub fn record_load(&mut self, id: &Name, running: u32, waiting: u32) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let stated_load = running.saturating_add(waiting);
        target.others_running =
            target.others_running.max(stated_load.saturating_sub(target.running));
    }

    /// Identity, requests of this daemon in flight, and prompt tokens of those whose response has
    /// not begun, for each endpoint with any.
    pub fn running(&self) -> impl Iterator<Item = (&Name, u32, u32)> {
        let busy = self.targets.iter().filter(|(_, target)| target.running > 0);
        busy.map(|(id, target)| (id, target.running, target.backlog))
    }

    /// Returns the heads of groups that have sent parts of responses since the last call.
    pub fn take_progress(&mut self) -> Vec<String> {
        let mut progressed = Vec::new();
        for (id, target) in &mut self.targets {
            if std::mem::take(&mut target.progressed) && !target.description.group.is_empty() {
                progressed.push(id.to_string());
            }
        }
        progressed
    }
}

/// Keeps [`SAMPLED_GROUPS`] of the candidates if they are serving groups.
fn sample_groups(candidates: &mut Candidates<'_>) {
    if candidates.iter().any(|candidate| candidate.is_group) {
        candidates.sort_unstable_by_key(|candidate| candidate.rank);
        candidates.truncate(SAMPLED_GROUPS);
    }
}

/// Random bits for the candidate at `index`, from the random number of a request.
fn scramble(random: u64, index: u64) -> u64 {
    let spread = random ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = spread.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 31)
}

impl Target {
    fn new(description: Description, now: Instant) -> Target {
        Target {
            description,
            in_view: true,
            running: 0,
            others_running: 0,
            responses_begun: 0,
            backlog: 0,
            others_backlog: 0,
            last_progress: now,
            last_part: None,
            average_gap_s: INITIAL_GAP.as_secs_f64(),
            progressed: false,
            failure_rate: 0.0,
            consecutive_failures: 0,
            ejected_until: Instant::default(),
            stalled_until: Instant::default(),
            suspected_at: None,
            unreachable_at: None,
        }
    }

    /// Whether it can be sent requests with this requirement.
    fn meets(&self, requirement: &Requirement) -> bool {
        self.in_view
            && *self.description.service == *requirement.0
            && *self.description.model == *requirement.1
    }

    /// Number of requests of all entry daemons in flight there.
    fn load(&self) -> f64 {
        f64::from(self.running) + f64::from(self.others_running)
    }

    /// Expected wait of a new request, as the number of prompt tokens that take as long to process.
    fn expected_wait_tokens(&self) -> f64 {
        f64::from(self.backlog)
            + f64::from(self.others_backlog)
            + self.load() * WAIT_TOKENS_PER_REQUEST
    }

    /// Load at which it is sent no more requests.
    fn load_limit(&self) -> f64 {
        let overcommit =
            if self.description.group.is_empty() { PLAIN_OVERCOMMIT } else { GROUP_OVERCOMMIT };
        f64::from(self.description.slots) * (1.0 + overcommit)
    }
}
