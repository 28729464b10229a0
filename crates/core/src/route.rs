//! Choice of the group instance or plain endpoint that runs a request.
//!
//! A route is known through one or more *observations*, one from each host of its zone's placement
//! log. Only observations younger than [`MEMBER_TTL`] count, and of these only the ones with the
//! highest generation. The route accepts requests if all of them say so: a negative report from one
//! host is enough, and a positive report from a host that lost its connections expires by itself.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Instant;
use crate::message::RouteEntry;
use crate::policy::MEMBER_TTL;
use crate::retry::Health;
use crate::selector::{Labels, Selector};
use crate::Name;

/// Prefixes in [`Prefixes::recent`] beyond which it replaces [`Prefixes::previous`].
const PREFIXES_PER_MAP: usize = 50_000;
/// Load up to which a route is chosen, as a multiple of its slots. Load reports arrive late, and a
/// short queue at the endpoint keeps it busy until the next one.
const OVERCOMMIT: f64 = 1.25;
/// Weight of the newest report in the smoothed load of other daemons.
const REPORT_WEIGHT: f64 = 0.3;
/// Time without an update after which an observation is removed.
const OBSERVATION_RETENTION: Duration = Duration::from_secs(600);

/// State of a route as reported by one host.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The entry as aggregated by its origin.
    pub entry: RouteEntry,
    /// Lower bound of the time at which the underlying announcements were made; the observation's
    /// age counts from it.
    pub as_of: Instant,
    /// Time of the last update from the origin.
    pub last_received: Instant,
}

/// A group instance or plain endpoint.
#[derive(Clone, Debug, Default)]
pub struct Route {
    /// Observations, one for each origin.
    pub observations: SmallVec<[Observation; 2]>,
    /// Requests of this daemon that are in flight on the route.
    pub running: u32,
    /// Health judged by the requests that this daemon has sent to the route.
    pub health: Health,
    /// Labels of a plain endpoint, matched by the selectors of services.
    labels: Labels,
    /// Changes of `running` within the last [`MEMBER_TTL`], oldest first.
    load_changes: VecDeque<LoadChange>,
    /// Smoothed load from other daemons, in requests.
    other_load: f64,
    /// Whether `other_load` is based on at least one report.
    has_report: bool,
}

/// A change of the number of this daemon's requests on a route.
#[derive(Clone, Copy, Debug)]
struct LoadChange {
    at: Instant,
    /// Requests that were sent, or minus the requests that ended.
    change: i32,
}

/// Availability of a route at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Accepts new requests.
    Accepting,
    /// Finishes running requests and accepts no new ones.
    Draining,
    /// The group is not complete, or no observation of the route is younger than [`MEMBER_TTL`].
    Broken,
}

impl Route {
    /// Observations younger than [`MEMBER_TTL`], and of these only the ones with the highest
    /// generation.
    fn current_observations(&self, now: Instant) -> impl Iterator<Item = &Observation> {
        let is_recent = move |observation: &&Observation| now.since(observation.as_of) < MEMBER_TTL;
        let generation = self
            .observations
            .iter()
            .filter(is_recent)
            .map(|observation| observation.entry.generation)
            .max();
        self.observations
            .iter()
            .filter(is_recent)
            .filter(move |observation| Some(observation.entry.generation) == generation)
    }

    /// Availability of the route at `now`.
    pub fn standing(&self, now: Instant) -> Standing {
        let mut current = self.current_observations(now).peekable();
        if current.peek().is_none() {
            return Standing::Broken;
        }
        let mut standing = Standing::Accepting;
        for observation in current {
            if !observation.entry.complete {
                return Standing::Broken;
            }
            if !observation.entry.accepting {
                standing = Standing::Draining;
            }
        }
        standing
    }

    /// Time at which the route becomes [`Standing::Broken`] unless a newer observation arrives.
    /// Never for a plain endpoint: its running requests continue as long as their connections last.
    pub fn valid_until(&self, now: Instant) -> Instant {
        if self.is_plain() {
            return Instant::NEVER;
        }
        let youngest = self.current_observations(now).map(|observation| observation.as_of).max();
        youngest.map_or(now, |as_of| as_of + MEMBER_TTL)
    }

    /// Whether this is a plain endpoint.
    pub fn is_plain(&self) -> bool {
        self.newest().is_some_and(|observation| observation.entry.group.is_empty())
    }

    /// Generation of the current observations, 0 if there are none.
    pub fn generation(&self, now: Instant) -> u64 {
        self.current_observations(now).next().map_or(0, |observation| observation.entry.generation)
    }

    /// The most recent observation.
    pub fn newest(&self) -> Option<&Observation> {
        self.observations.iter().max_by_key(|observation| observation.as_of)
    }

    /// Estimated requests that run or wait on the route: this daemon's own ones plus the smoothed
    /// load from other daemons.
    pub fn load(&self) -> u32 {
        self.running + self.other_load.max(0.0).round() as u32
    }

    /// Records a report of the load at some time between `as_of` and `now`. The average number of
    /// this daemon's own requests in that time is subtracted; the rest is smoothed, because a
    /// report is a single sample and arrives late.
    fn record_report(&mut self, reported: u32, as_of: Instant, now: Instant) {
        let other_load = f64::from(reported) - self.mean_running(as_of, now);
        let weight = if self.has_report { REPORT_WEIGHT } else { 1.0 };
        self.other_load += weight * (other_load - self.other_load);
        self.has_report = true;
    }

    /// Average number of this daemon's requests on the route between two times.
    fn mean_running(&self, from: Instant, to: Instant) -> f64 {
        let span = to.since(from).as_secs_f64();
        if span <= 0.0 {
            return f64::from(self.running);
        }
        let mut level = f64::from(self.running);
        let mut end = to;
        let mut sum = 0.0;
        for load_change in
            self.load_changes.iter().rev().take_while(|load_change| load_change.at > from)
        {
            sum += level * end.since(load_change.at).as_secs_f64();
            level -= f64::from(load_change.change);
            end = load_change.at;
        }
        (sum + level * end.since(from).as_secs_f64()) / span
    }

    /// Requests that the route can run concurrently.
    pub fn slots(&self) -> u32 {
        self.newest().map_or(0, |observation| observation.entry.slots)
    }

    fn record_load_change(&mut self, at: Instant, change: i32) {
        let horizon = at.before(MEMBER_TTL);
        while self.load_changes.front().is_some_and(|load_change| load_change.at < horizon) {
            self.load_changes.pop_front();
        }
        self.load_changes.push_back(LoadChange { at, change });
    }
}

/// Properties of a request that decide which route is chosen for it.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: &'a [u64],
    /// Routes on which an attempt of this request has failed; they are not chosen.
    pub tried: &'a [Name],
    /// Number of the request; breaks ties between equally loaded routes if it has no prefixes.
    pub salt: u64,
}

/// Strategy for choosing among the routes with spare capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Prefix affinity with bounded load.
    Affinity,
    /// Lowest reported load, without accounting for requests sent since the report.
    LeastReported,
    /// Each route in turn.
    RoundRobin,
}

/// Routes to which the requests of a service may be sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// Instances of these serving groups.
    Groups(Vec<Name>),
    /// Plain endpoints with matching labels.
    Endpoints(Selector),
}

/// All routes known to a daemon.
#[derive(Clone, Debug)]
pub struct Table {
    /// Zone of this daemon; routes in it are preferred.
    zone: Name,
    /// Multiple of the mean load up to which prefix affinity decides.
    affinity_bound: f64,
    strategy: Strategy,
    routes: BTreeMap<Name, Route>,
    prefixes: Prefixes,
    /// Number of calls of [`Table::choose`], for [`Strategy::RoundRobin`].
    selections: u64,
}

impl Table {
    /// Creates an empty table for a daemon in `zone`. `affinity_bound` is the multiple of the mean
    /// load up to which prefix affinity decides.
    pub fn new(zone: Name, affinity_bound: f64, strategy: Strategy) -> Table {
        Table {
            zone,
            affinity_bound,
            strategy,
            routes: BTreeMap::new(),
            prefixes: Prefixes::default(),
            selections: 0,
        }
    }

    /// All routes with their names.
    pub fn routes(&self) -> impl Iterator<Item = (&Name, &Route)> {
        self.routes.iter()
    }

    /// The route with this name.
    pub fn route(&self, name: &str) -> Option<&Route> {
        self.routes.get(name)
    }

    /// The route with this name, to record its health.
    pub fn route_mut(&mut self, name: &str) -> Option<&mut Route> {
        self.routes.get_mut(name)
    }

    /// Records an entry whose announcements were made after `as_of`; returns whether the entry's
    /// content is new.
    pub fn record_entry(&mut self, entry: RouteEntry, as_of: Instant, now: Instant) -> bool {
        let route = self.routes.entry(entry.name.as_str().into()).or_default();
        let origin = |observation: &&mut Observation| observation.entry.origin == entry.origin;
        let Some(observation) = route.observations.iter_mut().find(origin) else {
            route.labels = labels(&entry);
            route.record_report(entry.load, as_of, now);
            route.observations.push(Observation { entry, as_of, last_received: now });
            return true;
        };
        if entry.version < observation.entry.version {
            return false;
        }
        observation.last_received = now;
        let is_newer = entry.version > observation.entry.version;
        if is_newer {
            observation.as_of = as_of;
            route.labels = labels(&entry);
            observation.entry = entry;
        } else {
            observation.as_of = observation.as_of.max(as_of);
            observation.entry.load = entry.load;
        }
        is_newer
    }

    /// Updates the age and load of one observation, as reported by a
    /// [`Refresh`](crate::message::Refresh).
    pub fn refresh(&mut self, name: &str, origin: &str, as_of: Instant, load: u32, now: Instant) {
        let Some(route) = self.routes.get_mut(name) else { return };
        let observation =
            route.observations.iter_mut().find(|observation| observation.entry.origin == *origin);
        let Some(observation) = observation else { return };
        observation.last_received = now;
        if as_of > observation.as_of {
            observation.as_of = as_of;
            observation.entry.load = load;
            route.record_report(load, as_of, now);
        }
    }

    /// Removes observations that have not been updated for `OBSERVATION_RETENTION`, and routes
    /// without observations or requests.
    pub fn evict_silent(&mut self, now: Instant) {
        self.routes.retain(|_, route| {
            route
                .observations
                .retain(|observation| now.since(observation.last_received) < OBSERVATION_RETENTION);
            !route.observations.is_empty() || route.running > 0
        });
    }

    /// Whether any route of the target could run a request, now or once it has spare capacity.
    pub fn can_serve(&self, target: &Target, now: Instant) -> bool {
        self.candidates(target).any(|(_, route)| {
            route.standing(now) == Standing::Accepting && !route.health.is_ejected(now)
        })
    }

    /// Requests that the target's accepting routes can run concurrently.
    pub fn capacity(&self, target: &Target, now: Instant) -> u32 {
        self.candidates(target)
            .filter(|(_, route)| route.standing(now) == Standing::Accepting)
            .map(|(_, route)| route.slots())
            .sum()
    }

    /// Chooses a route with spare capacity, in the daemon's own zone if there is one; returns none
    /// if no route qualifies.
    pub fn choose(
        &mut self,
        target: &Target,
        criteria: &Criteria<'_>,
        now: Instant,
    ) -> Option<Name> {
        self.selections += 1;
        let usable: SmallVec<[(&Name, &Route); 16]> = self
            .candidates(target)
            .filter(|(name, route)| {
                route.standing(now) == Standing::Accepting
                    && f64::from(route.load()) < f64::from(route.slots()) * OVERCOMMIT
                    && route.health.admits(now, route.running)
                    && !criteria.tried.contains(name)
            })
            .collect();
        let in_own_zone = |route: &Route| {
            route.newest().is_some_and(|observation| *observation.entry.zone == *self.zone)
        };
        let mut local: SmallVec<[(&Name, &Route); 16]> =
            usable.iter().copied().filter(|(_, route)| in_own_zone(route)).collect();
        if local.is_empty() {
            local = usable;
        }
        match self.strategy {
            Strategy::Affinity => {
                choose_by_affinity(&local, &self.prefixes, self.affinity_bound, criteria)
            }
            Strategy::LeastReported => least_reported(&local),
            Strategy::RoundRobin => {
                local.get(self.selections as usize % local.len().max(1)).map(|r| r.0)
            }
        }
        .cloned()
    }

    /// Records that a request with these prefixes was sent to a route.
    pub fn record_sent(&mut self, name: &Name, prefixes: &[u64], now: Instant) {
        for prefix in prefixes {
            self.prefixes.insert(*prefix, name.clone());
        }
        let Some(route) = self.routes.get_mut(name) else { return };
        route.running += 1;
        route.record_load_change(now, 1);
    }

    /// Records that a request on a route ended.
    pub fn record_ended(&mut self, name: &Name, now: Instant) {
        let Some(route) = self.routes.get_mut(name) else { return };
        route.running = route.running.saturating_sub(1);
        route.record_load_change(now, -1);
    }

    /// Routes of the target, whatever their state.
    fn candidates<'a>(
        &'a self,
        target: &'a Target,
    ) -> impl Iterator<Item = (&'a Name, &'a Route)> + 'a {
        let groups = match target {
            Target::Groups(groups) => groups.as_slice(),
            Target::Endpoints(_) => &[],
        };
        let instances = groups.iter().flat_map(|group| self.instances(group));
        let selector = match target {
            Target::Groups(_) => None,
            Target::Endpoints(selector) => Some(selector),
        };
        let plain = selector.into_iter().flat_map(|selector| {
            self.routes
                .iter()
                .filter(|(_, route)| route.is_plain() && selector.matches(&route.labels))
        });
        instances.chain(plain)
    }

    /// Instances of a serving group; their names start with the group's name and a slash.
    fn instances(&self, group: &Name) -> impl Iterator<Item = (&Name, &Route)> {
        let first: Name = format!("{group}/").into();
        let prefix = first.clone();
        self.routes.range(first..).take_while(move |(name, _)| name.starts_with(&*prefix))
    }
}

fn labels(entry: &RouteEntry) -> Labels {
    let labels = entry.labels.iter();
    labels.map(|(key, value)| (key.as_str().into(), value.as_str().into())).collect()
}

/// Chooses by prefix affinity with bounded load: the route to which the longest known prefix was
/// last sent, else the one with the highest rendezvous score for the shortest prefix. Routes whose
/// load exceeds `affinity_bound` times the mean are skipped. Without prefixes, the least loaded
/// route is chosen.
fn choose_by_affinity<'a>(
    routes: &[(&'a Name, &Route)],
    prefixes: &Prefixes,
    affinity_bound: f64,
    criteria: &Criteria<'_>,
) -> Option<&'a Name> {
    let total: f64 = routes.iter().map(|(_, route)| f64::from(route.load())).sum();
    let limit = affinity_bound * (total + 1.0) / routes.len().max(1) as f64;
    let fits = |route: &Route| f64::from(route.load()) < limit;
    let previous_route = criteria.prefixes.iter().rev().find_map(|prefix| prefixes.find(*prefix));
    if let Some(previous_route) = previous_route {
        let remembered =
            routes.iter().find(|(name, route)| **name == *previous_route && fits(route));
        if let Some((name, _)) = remembered {
            return Some(name);
        }
    }
    let seed = criteria.prefixes.first().copied();
    let Some(seed) = seed else {
        let load_key = |route: &Route| (route.load(), route.running);
        return routes
            .iter()
            .min_by_key(|(name, route)| (load_key(route), score(name, criteria.salt)))
            .map(|(name, _)| *name);
    };
    routes
        .iter()
        .filter(|(_, route)| fits(route))
        .max_by_key(|(name, _)| score(name, seed))
        .map(|(name, _)| *name)
}

fn least_reported<'a>(routes: &[(&'a Name, &Route)]) -> Option<&'a Name> {
    let reported = |route: &Route| route.newest().map_or(0, |observation| observation.entry.load);
    routes.iter().min_by_key(|(_, route)| reported(route)).map(|(name, _)| *name)
}

/// Rendezvous hash of a route for a seed.
fn score(name: &Name, seed: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), seed)
}

/// Routes to which prefixes were last sent, in two maps so that old prefixes are dropped in bulk.
#[derive(Clone, Debug, Default)]
struct Prefixes {
    /// Prefixes inserted since the last swap.
    recent: HashMap<u64, Name>,
    /// Prefixes inserted before the last swap; dropped at the next one.
    previous: HashMap<u64, Name>,
}

impl Prefixes {
    fn insert(&mut self, prefix: u64, route: Name) {
        self.recent.insert(prefix, route);
        if self.recent.len() > PREFIXES_PER_MAP {
            self.previous = std::mem::take(&mut self.recent);
        }
    }

    fn find(&self, prefix: u64) -> Option<&Name> {
        self.recent.get(&prefix).or_else(|| self.previous.get(&prefix))
    }
}
