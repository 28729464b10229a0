//! Admission: the fair queue against a queue without limit and one with a global limit.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use dotterelhoist_core::admit::{Queue, Quota, Waiting};
use dotterelhoist_core::clock::Instant;

use super::{Random, SEED};

const SERVERS: usize = 20;
const SERVICE_MS: f64 = 500.0;
const CAPACITY: f64 = SERVERS as f64 * 1000.0 / SERVICE_MS;
const DEADLINE_MS: u64 = 3000;
const SECONDS: u64 = 120;
const GLOBAL_LIMIT: usize = 400;

/// Who may wait.
enum Line {
    Unlimited(VecDeque<Job>),
    Global(VecDeque<Job>),
    Fair(Queue, BTreeMap<u64, Job>),
}

#[derive(Clone, Copy)]
struct Job {
    workspace: usize,
    arrived: u64,
}

struct Outcome {
    good: [u64; 2],
    refused: u64,
}

pub(super) fn measure() {
    println!("admission: {SERVERS} places, {CAPACITY} requests a second, deadline {DEADLINE_MS} ms, {SECONDS} s");
    println!(
        "{:28} {:10} {:>12} {:>16} {:>9}",
        "offered by two workspaces", "queue", "goodput", "of the modest", "refused"
    );
    let cases = [
        ("each its share", [0.5, 0.45]),
        ("twice the capacity", [1.0, 1.0]),
        ("10 x share, 0.9 x share", [5.0, 0.45]),
    ];
    for (name, offered) in cases {
        for queue in ["unlimited", "global", "fair"] {
            let outcome = run(queue, offered);
            let total = (outcome.good[0] + outcome.good[1]) as f64;
            let possible = CAPACITY * SECONDS as f64 * (offered[0] + offered[1]).min(1.0);
            let modest = outcome.good[1] as f64 / (CAPACITY * SECONDS as f64 * offered[1].min(0.5));
            println!(
                "{name:28} {queue:10} {:11.1}% {:15.1}% {:9}",
                total / possible * 100.0,
                modest * 100.0,
                outcome.refused
            );
        }
    }
}

fn run(kind: &str, offered: [f64; 2]) -> Outcome {
    let mut random = Random(SEED);
    let mut line = match kind {
        "unlimited" => Line::Unlimited(VecDeque::new()),
        "global" => Line::Global(VecDeque::new()),
        _ => Line::Fair(Queue::default(), BTreeMap::new()),
    };
    let begin = 4_000_000;
    let end = begin + SECONDS * 1000;
    let mut next = [begin as f64; 2];
    let mut ends: BTreeMap<(u64, u64), (Job, u64)> = BTreeMap::new();
    let mut outcome = Outcome { good: [0; 2], refused: 0 };
    let mut id = 0;
    let mut now = begin;
    while now < end {
        let arrival = usize::from(next[1] < next[0]);
        let arrives = next[arrival] as u64;
        let finishes = ends.first_key_value().map_or(u64::MAX, |((at, _), _)| *at);
        now = arrives.min(finishes);
        if finishes <= arrives {
            let Some((_, (job, began))) = ends.pop_first() else { break };
            if now - job.arrived <= DEADLINE_MS {
                outcome.good[job.workspace] += 1;
            }
            if let Line::Fair(queue, _) = &mut line {
                queue.record_duration(Duration::from_millis(now - began));
            }
        } else {
            next[arrival] += random.gap(CAPACITY * offered[arrival]);
            id += 1;
            let job = Job { workspace: arrival, arrived: now };
            outcome.refused += u64::from(!enter(&mut line, id, job));
        }
        outcome.refused += expire(&mut line, now);
        while ends.len() < SERVERS {
            let Some(job) = take(&mut line, now) else { break };
            id += 1;
            let service = SERVICE_MS * (0.5 + random.unit());
            ends.insert((now + service as u64, id), (job, now));
        }
    }
    outcome
}

fn enter(line: &mut Line, id: u64, job: Job) -> bool {
    match line {
        Line::Unlimited(waiting) => waiting.push_back(job),
        Line::Global(waiting) => {
            if waiting.len() >= GLOBAL_LIMIT {
                return false;
            }
            waiting.push_back(job);
        }
        Line::Fair(queue, jobs) => {
            let workspace = format!("w{}", job.workspace).into();
            let quota = Quota { workspace, share: 1, queue: 256 };
            let deadline = Instant::from_millis(job.arrived + DEADLINE_MS);
            let waiting = Waiting { request: id, cost: 1.0, deadline, priority: 5 };
            if queue.push(&quota, waiting, Instant::from_millis(job.arrived)).is_err() {
                return false;
            }
            jobs.insert(id, job);
        }
    }
    true
}

fn expire(line: &mut Line, now: u64) -> u64 {
    let Line::Fair(queue, jobs) = line else { return 0 };
    let late = queue.expire(Instant::from_millis(now));
    for id in &late {
        jobs.remove(id);
    }
    late.len() as u64
}

fn take(line: &mut Line, now: u64) -> Option<Job> {
    match line {
        Line::Unlimited(waiting) | Line::Global(waiting) => waiting.pop_front(),
        Line::Fair(queue, jobs) => {
            let next = queue.start(Instant::from_millis(now))?;
            jobs.remove(&next.request)
        }
    }
}
