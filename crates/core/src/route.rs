//! Choice of the group instance or plain endpoint that runs a request.
//!
//! A route is known through one or more *views*, one for each host that folds it. Only views that
//! are younger than [`MEMBER_TTL`] count, and of these only the ones of the highest generation. The
//! route takes work if all of them agree that it does: bad news from one host is enough, and good
//! news from a host that has lost touch grows old by itself.

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

/// Prefixes remembered in one half of the memory.
const PREFIXES_KEPT: usize = 50_000;
/// Requests that may be sent to a route, as a multiple of those that it can run at once: reports are
/// late, and a short queue at the endpoint keeps it busy in the meantime.
const OVERCOMMIT: f64 = 1.25;
/// Weight of the newest report in the smoothed load of others.
const REPORT_WEIGHT: f64 = 0.3;
/// Time after which a view that is not heard of any more is dropped.
const VIEW_KEPT: Duration = Duration::from_secs(600);

/// What one host says of a route.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The entry as folded by its origin.
    pub entry: RouteEntry,
    /// A moment after which the announcements behind it were certainly made.
    pub as_of: Instant,
    /// When it was last heard of.
    pub last_received: Instant,
}

/// A group instance or plain endpoint.
#[derive(Clone, Debug, Default)]
pub struct Route {
    /// Views by origin.
    pub observations: SmallVec<[Observation; 2]>,
    /// Requests of this daemon that run there.
    pub running: u32,
    /// Health as this daemon has seen it.
    pub health: Health,
    labels: Labels,
    marks: VecDeque<Mark>,
    /// Smoothed load that is not this daemon's.
    others: f64,
    /// Whether `others` comes from a report.
    reported: bool,
}

/// A change of this daemon's own load on a route.
#[derive(Clone, Copy, Debug)]
struct Mark {
    at: Instant,
    change: i32,
}

/// How a route stands at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Takes new work.
    Accepting,
    /// Finishes what runs.
    Draining,
    /// A member is missing or silent.
    Broken,
}

impl Route {
    fn live(&self, now: Instant) -> impl Iterator<Item = &Observation> {
        let young = move |observation: &&Observation| now.since(observation.as_of) < MEMBER_TTL;
        let generation = self
            .observations
            .iter()
            .filter(young)
            .map(|observation| observation.entry.generation)
            .max();
        self.observations
            .iter()
            .filter(young)
            .filter(move |observation| Some(observation.entry.generation) == generation)
    }

    /// How the route stands at `now`.
    pub fn standing(&self, now: Instant) -> Standing {
        let mut live = self.live(now).peekable();
        if live.peek().is_none() {
            return Standing::Broken;
        }
        let mut standing = Standing::Accepting;
        for observation in live {
            if !observation.entry.complete {
                return Standing::Broken;
            }
            if !observation.entry.accepting {
                standing = Standing::Draining;
            }
        }
        standing
    }

    /// Moment at which the route breaks unless it is heard of again. Plain endpoints do not break:
    /// what they run goes on for as long as its connection stands.
    pub fn valid_until(&self, now: Instant) -> Instant {
        if self.is_plain() {
            return Instant::NEVER;
        }
        let youngest = self.live(now).map(|observation| observation.as_of).max();
        youngest.map_or(now, |as_of| as_of + MEMBER_TTL)
    }

    /// Whether this is a plain endpoint.
    pub fn is_plain(&self) -> bool {
        self.newest().is_some_and(|observation| observation.entry.group.is_empty())
    }

    /// Generation of the youngest views.
    pub fn generation(&self, now: Instant) -> u64 {
        self.live(now).next().map_or(0, |observation| observation.entry.generation)
    }

    /// The youngest view.
    pub fn newest(&self) -> Option<&Observation> {
        self.observations.iter().max_by_key(|observation| observation.as_of)
    }

    /// Requests that run or wait there: this daemon's own, and those of others by the reports.
    pub fn load(&self) -> u32 {
        self.running + self.others.max(0.0).round() as u32
    }

    /// Takes in a report of the load at some moment between `as_of` and `now`. What this daemon
    /// itself had there on average in that time is taken off; the rest is smoothed, because a report
    /// shows one moment and is late.
    fn note_report(&mut self, reported: u32, as_of: Instant, now: Instant) {
        let others = f64::from(reported) - self.mean_running(as_of, now);
        let weight = if self.reported { REPORT_WEIGHT } else { 1.0 };
        self.others += weight * (others - self.others);
        self.reported = true;
    }

    /// Requests that this daemon had there on average between two moments.
    fn mean_running(&self, from: Instant, to: Instant) -> f64 {
        let span = to.since(from).as_secs_f64();
        if span <= 0.0 {
            return f64::from(self.running);
        }
        let mut level = f64::from(self.running);
        let mut end = to;
        let mut sum = 0.0;
        for mark in self.marks.iter().rev().take_while(|mark| mark.at > from) {
            sum += level * end.since(mark.at).as_secs_f64();
            level -= f64::from(mark.change);
            end = mark.at;
        }
        (sum + level * end.since(from).as_secs_f64()) / span
    }

    /// Requests that it can run at once.
    pub fn slots(&self) -> u32 {
        self.newest().map_or(0, |observation| observation.entry.slots)
    }

    fn mark(&mut self, at: Instant, change: i32) {
        let horizon = at.before(MEMBER_TTL);
        while self.marks.front().is_some_and(|mark| mark.at < horizon) {
            self.marks.pop_front();
        }
        self.marks.push_back(Mark { at, change });
    }
}

/// What a request asks of a route.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: &'a [u64],
    /// Routes that have failed this request.
    pub tried: &'a [Name],
    /// Number of the request, which spreads requests without a prefix.
    pub salt: u64,
}

/// Ways to choose among routes with room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Prefix affinity with bounded load.
    Affinity,
    /// Lowest load as reported, without own sends.
    LeastReported,
    /// In turn.
    RoundRobin,
}

/// Which routes a service may use.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// Instances of these serving groups.
    Groups(Vec<Name>),
    /// Plain endpoints with matching labels.
    Endpoints(Selector),
}

/// All routes.
#[derive(Clone, Debug)]
pub struct Table {
    zone: Name,
    bound: f64,
    choice: Strategy,
    routes: BTreeMap<Name, Route>,
    prefixes: Prefixes,
    turn: u64,
}

impl Table {
    /// Creates an empty table for a daemon in `zone`. `bound` is the multiple of the mean load up to
    /// which prefix affinity decides.
    pub fn new(zone: Name, bound: f64, choice: Strategy) -> Table {
        Table {
            zone,
            bound,
            choice,
            routes: BTreeMap::new(),
            prefixes: Prefixes::default(),
            turn: 0,
        }
    }

    /// Routes by name.
    pub fn routes(&self) -> impl Iterator<Item = (&Name, &Route)> {
        self.routes.iter()
    }

    /// One route.
    pub fn route(&self, name: &str) -> Option<&Route> {
        self.routes.get(name)
    }

    /// One route, to note its health.
    pub fn route_mut(&mut self, name: &str) -> Option<&mut Route> {
        self.routes.get_mut(name)
    }

    /// Takes in an entry that holds as of `as_of`; true if its content is new.
    pub fn record_entry(&mut self, entry: RouteEntry, as_of: Instant, now: Instant) -> bool {
        let route = self.routes.entry(entry.name.as_str().into()).or_default();
        let origin = |observation: &&mut Observation| observation.entry.origin == entry.origin;
        let Some(observation) = route.observations.iter_mut().find(origin) else {
            route.labels = labels(&entry);
            route.note_report(entry.load, as_of, now);
            route.observations.push(Observation { entry, as_of, last_received: now });
            return true;
        };
        if entry.version < observation.entry.version {
            return false;
        }
        observation.last_received = now;
        let fresh = entry.version > observation.entry.version;
        if fresh {
            observation.as_of = as_of;
            route.labels = labels(&entry);
            observation.entry = entry;
        } else {
            observation.as_of = observation.as_of.max(as_of);
            observation.entry.load = entry.load;
        }
        fresh
    }

    /// Takes in the age and load that a beat gave for one view.
    pub fn refresh(&mut self, name: &str, origin: &str, as_of: Instant, load: u32, now: Instant) {
        let Some(route) = self.routes.get_mut(name) else { return };
        let observation =
            route.observations.iter_mut().find(|observation| observation.entry.origin == *origin);
        let Some(observation) = observation else { return };
        observation.last_received = now;
        if as_of > observation.as_of {
            observation.as_of = as_of;
            observation.entry.load = load;
            route.note_report(load, as_of, now);
        }
    }

    /// Drops views that have been silent for long, and routes without views or requests.
    pub fn evict_silent(&mut self, now: Instant) {
        self.routes.retain(|_, route| {
            route
                .observations
                .retain(|observation| now.since(observation.last_received) < VIEW_KEPT);
            !route.observations.is_empty() || route.running > 0
        });
    }

    /// Whether any route of the target could take a request, now or once it has room.
    pub fn can_serve(&self, target: &Target, now: Instant) -> bool {
        self.candidates(target).any(|(_, route)| {
            route.standing(now) == Standing::Accepting && !route.health.is_ejected(now)
        })
    }

    /// Requests that the target's routes can run at once.
    pub fn capacity(&self, target: &Target, now: Instant) -> u32 {
        self.candidates(target)
            .filter(|(_, route)| route.standing(now) == Standing::Accepting)
            .map(|(_, route)| route.slots())
            .sum()
    }

    /// Chooses a route with room; none if there is none.
    pub fn choose(&mut self, target: &Target, wish: &Criteria<'_>, now: Instant) -> Option<Name> {
        self.turn += 1;
        let usable: SmallVec<[(&Name, &Route); 16]> = self
            .candidates(target)
            .filter(|(name, route)| {
                route.standing(now) == Standing::Accepting
                    && f64::from(route.load()) < f64::from(route.slots()) * OVERCOMMIT
                    && route.health.admits(now, route.running)
                    && !wish.tried.contains(name)
            })
            .collect();
        let own = |route: &Route| {
            route.newest().is_some_and(|observation| *observation.entry.zone == *self.zone)
        };
        let mut near: SmallVec<[(&Name, &Route); 16]> =
            usable.iter().copied().filter(|(_, route)| own(route)).collect();
        if near.is_empty() {
            near = usable;
        }
        match self.choice {
            Strategy::Affinity => choose_affine(&near, &self.prefixes, self.bound, wish),
            Strategy::LeastReported => least_reported(&near),
            Strategy::RoundRobin => near.get(self.turn as usize % near.len().max(1)).map(|r| r.0),
        }
        .cloned()
    }

    /// Notes that a request was sent to a route.
    pub fn record_sent(&mut self, name: &Name, prefixes: &[u64], now: Instant) {
        for prefix in prefixes {
            self.prefixes.insert(*prefix, name.clone());
        }
        let Some(route) = self.routes.get_mut(name) else { return };
        route.running += 1;
        route.mark(now, 1);
    }

    /// Notes that a request on a route ended.
    pub fn record_ended(&mut self, name: &Name, now: Instant) {
        let Some(route) = self.routes.get_mut(name) else { return };
        route.running = route.running.saturating_sub(1);
        route.mark(now, -1);
    }

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

fn choose_affine<'a>(
    routes: &[(&'a Name, &Route)],
    prefixes: &Prefixes,
    bound: f64,
    wish: &Criteria<'_>,
) -> Option<&'a Name> {
    let total: f64 = routes.iter().map(|(_, route)| f64::from(route.load())).sum();
    let limit = bound * (total + 1.0) / routes.len().max(1) as f64;
    let fits = |route: &Route| f64::from(route.load()) < limit;
    let known = wish.prefixes.iter().rev().find_map(|prefix| prefixes.find(*prefix));
    if let Some(known) = known {
        let home = routes.iter().find(|(name, route)| **name == *known && fits(route));
        if let Some((name, _)) = home {
            return Some(name);
        }
    }
    let seed = wish.prefixes.first().copied();
    let Some(seed) = seed else {
        let by_load = |route: &Route| (route.load(), route.running);
        return routes
            .iter()
            .min_by_key(|(name, route)| (by_load(route), score(name, wish.salt)))
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

/// Rendezvous hash of a route for a prefix.
fn score(name: &Name, seed: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), seed)
}

/// Where prefixes were last sent; the older half is dropped when the younger one is full.
#[derive(Clone, Debug, Default)]
struct Prefixes {
    young: HashMap<u64, Name>,
    old: HashMap<u64, Name>,
}

impl Prefixes {
    fn insert(&mut self, prefix: u64, route: Name) {
        self.young.insert(prefix, route);
        if self.young.len() > PREFIXES_KEPT {
            self.old = std::mem::take(&mut self.young);
        }
    }

    fn find(&self, prefix: u64) -> Option<&Name> {
        self.young.get(&prefix).or_else(|| self.old.get(&prefix))
    }
}
