//! Routing: the daemon's prefix affinity with bounded load, compared with round robin and least
//! reported load.

use std::collections::{BTreeMap, VecDeque};

use dotterelhoist_core::clock::Instant;
use dotterelhoist_core::message::RouteEntry;
use dotterelhoist_core::policy::Policy;
use dotterelhoist_core::route::{Criteria, Strategy, Table, Target};
use dotterelhoist_core::Name;

use super::{quantile, Random, SEED};

/// Number of serving groups.
const GROUPS: usize = 12;
/// Requests that a group runs at once.
const SLOTS: u32 = 8;
/// Number of daemons, each with a routing table of its own.
const DAEMONS: usize = 4;
/// Number of different prefixes of the prompts.
const PREFIXES: usize = 400;
/// Number of prefixes that a group caches; the least recently used one is evicted.
const CACHED_PREFIXES: usize = 60;
/// Time to the first token if the prefix is not cached.
const MISS_MS: f64 = 400.0;
/// Time to the first token if the prefix is cached.
const HIT_MS: f64 = 60.0;
/// Time from the first token to the end of the answer.
const DECODE_MS: f64 = 600.0;
/// Time between two load reports of a group.
const REPORT_INTERVAL_MS: u64 = 400;
/// Time between the creation of a load report and its arrival at the daemons.
const REPORT_DELAY_MS: u64 = 1000;
/// Number of requests of a simulation.
const REQUESTS: usize = 20_000;

/// Requests per second that the groups can serve if no prefix is cached.
const CAPACITY: f64 = GROUPS as f64 * SLOTS as f64 * 1000.0 / (MISS_MS + DECODE_MS);

/// An event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    /// A request arrives at a daemon.
    Arrival,
    /// All groups report their load.
    Report,
    /// A request that `daemon` sent to `group` ends.
    End { group: usize, daemon: usize },
}

/// A serving group.
#[derive(Default)]
struct Group {
    /// Number of requests that run.
    running: u32,
    /// Requests that wait for a slot.
    waiting: VecDeque<Attempt>,
    /// Cached prefixes, least recently used first.
    cache: VecDeque<u64>,
    /// Reports in transit and the last one that arrived, as time of creation and load, oldest
    /// first.
    reports: VecDeque<(u64, u32)>,
}

/// A request that a daemon has sent to a group.
struct Attempt {
    daemon: usize,
    prefix: u64,
    /// Time at which the request arrived at the daemon.
    arrived_ms: u64,
}

/// State of a simulation. Times are in milliseconds.
struct Simulation {
    now_ms: u64,
    random: Random,
    groups: Vec<Group>,
    /// Routing table of each daemon.
    tables: Vec<Table>,
    /// Requests that wait at each daemon for a route, as prefix and time of arrival.
    queues: Vec<VecDeque<(u64, u64)>>,
    /// Future events by time and number; events at the same time keep their order.
    events: BTreeMap<(u64, u64), Event>,
    /// Number of the event that was scheduled last.
    last_event: u64,
    /// Time from arrival to the first token of each request.
    first_token_ms: Vec<f64>,
    /// Number of requests whose prefix was cached.
    cache_hits: usize,
    /// Routes that all requests may use.
    target: Target,
}

/// Prints the time to the first token and the cache hits of each strategy at several loads.
pub(super) fn measure() {
    println!(
        "routing: {GROUPS} groups of {SLOTS}, {DAEMONS} daemons, reports 1 s late, 1 in 20 lost"
    );
    println!(
        "{:>6} {:16} {:>14} {:>12} {:>10}",
        "load", "strategy", "first p50 ms", "p95 ms", "cache hits"
    );
    for load in [0.5, 0.8, 0.95] {
        for (name, strategy) in [
            ("affinity", Strategy::Affinity),
            ("least reported", Strategy::LeastReported),
            ("round robin", Strategy::RoundRobin),
        ] {
            let mut simulation = Simulation::new(strategy);
            simulation.run(load * CAPACITY);
            let hits =
                simulation.cache_hits as f64 / simulation.first_token_ms.len() as f64 * 100.0;
            let p50 = quantile(&mut simulation.first_token_ms, 0.5);
            let p95 = quantile(&mut simulation.first_token_ms, 0.95);
            println!("{:5.0}% {name:16} {p50:14.0} {p95:12.0} {hits:9.1}%", load * 100.0);
        }
    }
}

impl Simulation {
    /// Starts with all groups in the routing tables and schedules the first arrival and report.
    fn new(strategy: Strategy) -> Simulation {
        let mut simulation = Simulation {
            now_ms: 4_000_000,
            random: Random(SEED),
            groups: (0..GROUPS).map(|_| Group::default()).collect(),
            tables: (0..DAEMONS)
                .map(|_| Table::new("z".into(), Policy::default().affinity_bound, strategy))
                .collect(),
            queues: vec![VecDeque::new(); DAEMONS],
            events: BTreeMap::new(),
            last_event: 0,
            first_token_ms: Vec::new(),
            cache_hits: 0,
            target: Target::Groups(vec!["g".into()]),
        };
        for table in &mut simulation.tables {
            for group in 0..GROUPS {
                let now = Instant::from_millis(simulation.now_ms);
                table.record_entry(route_entry(group), now, now);
            }
        }
        simulation.schedule(1.0, Event::Report);
        simulation.schedule(1.0, Event::Arrival);
        simulation
    }

    /// Schedules an event after `delay_ms`, at least 1 ms.
    fn schedule(&mut self, delay_ms: f64, event: Event) {
        self.last_event += 1;
        self.events.insert((self.now_ms + delay_ms.max(1.0) as u64, self.last_event), event);
    }

    /// Handles events in order until all requests have started to run. They arrive at `rate` per
    /// second.
    fn run(&mut self, rate: f64) {
        let mut arrived = 0;
        while self.first_token_ms.len() < REQUESTS {
            let Some(((time, _), event)) = self.events.pop_first() else { return };
            self.now_ms = time;
            match event {
                Event::Arrival => {
                    arrived += 1;
                    if arrived < REQUESTS {
                        let interval_ms = self.random.interval_ms(rate);
                        self.schedule(interval_ms, Event::Arrival);
                    }
                    let daemon = self.random.next() as usize % DAEMONS;
                    let prefix = self.draw_prefix();
                    self.queues[daemon].push_back((prefix, self.now_ms));
                    self.dispatch(daemon);
                }
                Event::Report => self.report(),
                Event::End { group, daemon } => {
                    self.groups[group].running -= 1;
                    let now = Instant::from_millis(self.now_ms);
                    self.tables[daemon].record_ended(&route_name(group), now);
                    if let Some(attempt) = self.groups[group].waiting.pop_front() {
                        self.serve(group, &attempt);
                    }
                    for daemon in 0..DAEMONS {
                        self.dispatch(daemon);
                    }
                }
            }
        }
    }

    /// Draws the prefix of a request from a log-uniform distribution: few prefixes are frequent,
    /// most are rare.
    fn draw_prefix(&mut self) -> u64 {
        let unit = self.random.unit();
        ((PREFIXES as f64).powf(unit) - 1.0) as u64 + 1
    }

    /// Sends the waiting requests of a daemon as long as its routing table has a route with spare
    /// capacity.
    fn dispatch(&mut self, daemon: usize) {
        while let Some((prefix, arrived_ms)) = self.queues[daemon].front().copied() {
            let now = Instant::from_millis(self.now_ms);
            let prefixes = [prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15)];
            let criteria = Criteria { prefixes: &prefixes, tried: &[], salt: arrived_ms };
            let Some(route) = self.tables[daemon].choose(&self.target, &criteria, now) else {
                return;
            };
            self.queues[daemon].pop_front();
            self.tables[daemon].record_sent(&route, &prefixes, now);
            let group: usize = route.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(0);
            let attempt = Attempt { daemon, prefix, arrived_ms };
            if self.groups[group].running < SLOTS {
                self.serve(group, &attempt);
            } else {
                self.groups[group].waiting.push_back(attempt);
            }
        }
    }

    /// Runs a request in a free slot of a group.
    fn serve(&mut self, index: usize, attempt: &Attempt) {
        let group = &mut self.groups[index];
        group.running += 1;
        let cached = group.cache.contains(&attempt.prefix);
        group.cache.retain(|known| *known != attempt.prefix);
        group.cache.push_back(attempt.prefix);
        if group.cache.len() > CACHED_PREFIXES {
            group.cache.pop_front();
        }
        let prefill_ms = if cached { HIT_MS } else { MISS_MS };
        self.cache_hits += usize::from(cached);
        self.first_token_ms.push((self.now_ms - attempt.arrived_ms) as f64 + prefill_ms);
        self.schedule(prefill_ms + DECODE_MS, Event::End { group: index, daemon: attempt.daemon });
    }

    /// Creates a load report of each group, and delivers to each daemon the newest one whose
    /// transit time has passed; one delivery in 20 is lost.
    fn report(&mut self) {
        self.schedule(REPORT_INTERVAL_MS as f64, Event::Report);
        let now = Instant::from_millis(self.now_ms);
        for group in 0..GROUPS {
            let load = self.groups[group].running + self.groups[group].waiting.len() as u32;
            self.groups[group].reports.push_back((self.now_ms, load));
            let has_arrived = |report: &(u64, u32)| report.0 + REPORT_DELAY_MS <= self.now_ms;
            while self.groups[group].reports.len() > 1
                && self.groups[group].reports.get(1).is_some_and(has_arrived)
            {
                self.groups[group].reports.pop_front();
            }
            let Some((reported_ms, load)) =
                self.groups[group].reports.front().copied().filter(has_arrived)
            else {
                continue;
            };
            for table in &mut self.tables {
                let lost = self.random.next().is_multiple_of(20);
                if !lost {
                    table.refresh(
                        &route_name(group),
                        "h",
                        Instant::from_millis(reported_ms),
                        load,
                        now,
                    );
                }
            }
        }
    }
}

/// Name of the route to a group.
fn route_name(group: usize) -> Name {
    format!("g/z/{group}").into()
}

/// Route entry of a group.
fn route_entry(group: usize) -> RouteEntry {
    RouteEntry {
        name: route_name(group).to_string(),
        group: "g".to_owned(),
        zone: "z".to_owned(),
        generation: 1,
        version: 1,
        complete: true,
        accepting: true,
        slots: SLOTS,
        origin: "h".to_owned(),
        ..RouteEntry::default()
    }
}
