//! Choice of group: prefix affinity with bounded load, against round robin and least reported load.

use std::collections::{BTreeMap, VecDeque};

use dotterelhoist_core::clock::Instant;
use dotterelhoist_core::message::RouteEntry;
use dotterelhoist_core::policy::Policy;
use dotterelhoist_core::route::{Criteria, Strategy, Table, Target};
use dotterelhoist_core::Name;

use super::{quantile, Random, SEED};

const GROUPS: usize = 12;
const SLOTS: u32 = 8;
const DAEMONS: usize = 4;
const PREFIXES: usize = 400;
const CACHED: usize = 60;
const MISS_MS: f64 = 400.0;
const HIT_MS: f64 = 60.0;
const DECODE_MS: f64 = 600.0;
const REPORT_MS: u64 = 400;
const LAG_MS: u64 = 1000;
const REQUESTS: usize = 20_000;

/// Requests a second that the groups carry if no prefix is cached.
const CAPACITY: f64 = GROUPS as f64 * SLOTS as f64 * 1000.0 / (MISS_MS + DECODE_MS);

#[derive(Clone, Debug)]
enum Happening {
    Arrival,
    Report,
    End { group: usize, daemon: usize },
}

#[derive(Default)]
struct Group {
    running: u32,
    waiting: VecDeque<Sent>,
    cache: VecDeque<u64>,
    reports: VecDeque<(u64, u32)>,
}

struct Sent {
    daemon: usize,
    prefix: u64,
    arrived: u64,
}

struct Simulation {
    now: u64,
    random: Random,
    groups: Vec<Group>,
    tables: Vec<Table>,
    queues: Vec<VecDeque<(u64, u64)>>,
    events: BTreeMap<(u64, u64), Happening>,
    next: u64,
    first: Vec<f64>,
    hits: usize,
    target: Target,
}

pub(super) fn measure() {
    println!("choice of group: {GROUPS} groups of {SLOTS}, {DAEMONS} daemons, reports 1 s late, 1 in 20 lost");
    println!(
        "{:>6} {:16} {:>14} {:>12} {:>10}",
        "load", "choice", "first p50 ms", "p95 ms", "cache hits"
    );
    for load in [0.5, 0.8, 0.95] {
        for (name, choice) in [
            ("affinity", Strategy::Affinity),
            ("least reported", Strategy::LeastReported),
            ("round robin", Strategy::RoundRobin),
        ] {
            let mut simulation = Simulation::new(choice);
            simulation.run(load * CAPACITY);
            let hits = simulation.hits as f64 / simulation.first.len() as f64 * 100.0;
            let p50 = quantile(&mut simulation.first, 0.5);
            let p95 = quantile(&mut simulation.first, 0.95);
            println!("{:5.0}% {name:16} {p50:14.0} {p95:12.0} {hits:9.1}%", load * 100.0);
        }
    }
}

impl Simulation {
    fn new(choice: Strategy) -> Simulation {
        let mut simulation = Simulation {
            now: 4_000_000,
            random: Random(SEED),
            groups: (0..GROUPS).map(|_| Group::default()).collect(),
            tables: (0..DAEMONS)
                .map(|_| Table::new("z".into(), Policy::default().affinity_bound, choice))
                .collect(),
            queues: vec![VecDeque::new(); DAEMONS],
            events: BTreeMap::new(),
            next: 0,
            first: Vec::new(),
            hits: 0,
            target: Target::Groups(vec!["g".into()]),
        };
        for table in &mut simulation.tables {
            for group in 0..GROUPS {
                let now = Instant::from_millis(simulation.now);
                table.record_entry(entry(group), now, now);
            }
        }
        simulation.later(1.0, Happening::Report);
        simulation.later(1.0, Happening::Arrival);
        simulation
    }

    fn later(&mut self, delay: f64, happening: Happening) {
        self.next += 1;
        self.events.insert((self.now + delay.max(1.0) as u64, self.next), happening);
    }

    fn run(&mut self, rate: f64) {
        let mut arrived = 0;
        while self.first.len() < REQUESTS {
            let Some(((at, _), happening)) = self.events.pop_first() else { return };
            self.now = at;
            match happening {
                Happening::Arrival => {
                    arrived += 1;
                    if arrived < REQUESTS {
                        let gap = self.random.gap(rate);
                        self.later(gap, Happening::Arrival);
                    }
                    let daemon = self.random.next() as usize % DAEMONS;
                    let prefix = self.draw_prefix();
                    self.queues[daemon].push_back((prefix, self.now));
                    self.pump(daemon);
                }
                Happening::Report => self.report(),
                Happening::End { group, daemon } => {
                    self.groups[group].running -= 1;
                    let now = Instant::from_millis(self.now);
                    self.tables[daemon].record_ended(&name(group), now);
                    if let Some(sent) = self.groups[group].waiting.pop_front() {
                        self.serve(group, &sent);
                    }
                    for daemon in 0..DAEMONS {
                        self.pump(daemon);
                    }
                }
            }
        }
    }

    /// A few prefixes are asked for often, most seldom.
    fn draw_prefix(&mut self) -> u64 {
        let unit = self.random.unit();
        ((PREFIXES as f64).powf(unit) - 1.0) as u64 + 1
    }

    fn pump(&mut self, daemon: usize) {
        while let Some((prefix, arrived)) = self.queues[daemon].front().copied() {
            let now = Instant::from_millis(self.now);
            let prefixes = [prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15)];
            let wish = Criteria { prefixes: &prefixes, tried: &[], salt: arrived };
            let Some(route) = self.tables[daemon].choose(&self.target, &wish, now) else { return };
            self.queues[daemon].pop_front();
            self.tables[daemon].record_sent(&route, &prefixes, now);
            let group: usize = route.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(0);
            let sent = Sent { daemon, prefix, arrived };
            if self.groups[group].running < SLOTS {
                self.serve(group, &sent);
            } else {
                self.groups[group].waiting.push_back(sent);
            }
        }
    }

    fn serve(&mut self, at: usize, sent: &Sent) {
        let group = &mut self.groups[at];
        group.running += 1;
        let hit = group.cache.contains(&sent.prefix);
        group.cache.retain(|known| *known != sent.prefix);
        group.cache.push_back(sent.prefix);
        if group.cache.len() > CACHED {
            group.cache.pop_front();
        }
        let prefill = if hit { HIT_MS } else { MISS_MS };
        self.hits += usize::from(hit);
        self.first.push((self.now - sent.arrived) as f64 + prefill);
        self.later(prefill + DECODE_MS, Happening::End { group: at, daemon: sent.daemon });
    }

    fn report(&mut self) {
        self.later(REPORT_MS as f64, Happening::Report);
        let now = Instant::from_millis(self.now);
        for at in 0..GROUPS {
            let load = self.groups[at].running + self.groups[at].waiting.len() as u32;
            self.groups[at].reports.push_back((self.now, load));
            let due = |report: &(u64, u32)| report.0 + LAG_MS <= self.now;
            while self.groups[at].reports.len() > 1
                && self.groups[at].reports.get(1).is_some_and(due)
            {
                self.groups[at].reports.pop_front();
            }
            let Some((made, load)) = self.groups[at].reports.front().copied().filter(due) else {
                continue;
            };
            for table in &mut self.tables {
                let lost = self.random.next().is_multiple_of(20);
                if !lost {
                    table.refresh(&name(at), "h", Instant::from_millis(made), load, now);
                }
            }
        }
    }
}

fn name(group: usize) -> Name {
    format!("g/z/{group}").into()
}

fn entry(group: usize) -> RouteEntry {
    RouteEntry {
        name: name(group).to_string(),
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
