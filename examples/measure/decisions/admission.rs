//! Admission: the daemon's fair queue, compared with a queue without limit and one with a limit for
//! all workspaces together.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use dotterelhoist_core::admit::{Queue, Quota, Waiting};
use dotterelhoist_core::clock::Instant;

use super::{Random, SEED};

/// Maximum number of requests that run at once.
const SLOTS: usize = 20;
/// Mean run time of a request.
const SERVICE_MS: f64 = 500.0;
/// Requests per second that can be served.
const CAPACITY: f64 = SLOTS as f64 * 1000.0 / SERVICE_MS;
/// Time after its arrival within which a request must end to count as served.
const DEADLINE_MS: u64 = 3000;
/// Simulated time.
const SIMULATED_SECONDS: u64 = 120;
/// Number of requests that may wait in the queue with a global limit; further ones are refused.
const GLOBAL_LIMIT: usize = 400;

/// Queueing discipline, with the waiting requests.
enum Discipline {
    /// Every request waits, in the order of arrival.
    Unlimited(VecDeque<Request>),
    /// Requests wait in the order of arrival, up to [`GLOBAL_LIMIT`].
    Global(VecDeque<Request>),
    /// The daemon's queue, with the waiting requests by their id.
    Fair(Queue, BTreeMap<u64, Request>),
}

/// A request.
#[derive(Clone, Copy)]
struct Request {
    /// Index of its workspace.
    workspace: usize,
    /// Time of arrival in milliseconds.
    arrived_ms: u64,
}

/// Result of a simulation.
struct Outcome {
    /// Requests of each workspace that ended before their deadline.
    served: [u64; 2],
    /// Requests that were refused or whose deadline passed while they waited.
    refused: u64,
}

/// Prints, for several offered loads of two workspaces, the goodput in percent of what could be
/// served, in total and for the workspace with the smaller load, and the number of refusals.
pub(super) fn measure() {
    println!("admission: {SLOTS} slots, {CAPACITY} requests a second, deadline {DEADLINE_MS} ms, {SIMULATED_SECONDS} s");
    println!(
        "{:28} {:10} {:>12} {:>16} {:>9}",
        "offered by two workspaces", "queue", "goodput", "of the smaller", "refused"
    );
    let cases = [
        ("each its share", [0.5, 0.45]),
        ("twice the capacity", [1.0, 1.0]),
        ("10 x share, 0.9 x share", [5.0, 0.45]),
    ];
    for (name, offered) in cases {
        for queue in ["unlimited", "global", "fair"] {
            let outcome = run(queue, offered);
            let total = (outcome.served[0] + outcome.served[1]) as f64;
            let possible = CAPACITY * SIMULATED_SECONDS as f64 * (offered[0] + offered[1]).min(1.0);
            let smaller_workspace = outcome.served[1] as f64
                / (CAPACITY * SIMULATED_SECONDS as f64 * offered[1].min(0.5));
            println!(
                "{name:28} {queue:10} {:11.1}% {:15.1}% {:9}",
                total / possible * 100.0,
                smaller_workspace * 100.0,
                outcome.refused
            );
        }
    }
}

/// Simulates one queue with two workspaces whose request rates are these multiples of the capacity.
fn run(kind: &str, offered: [f64; 2]) -> Outcome {
    let mut random = Random(SEED);
    let mut queue = match kind {
        "unlimited" => Discipline::Unlimited(VecDeque::new()),
        "global" => Discipline::Global(VecDeque::new()),
        _ => Discipline::Fair(Queue::default(), BTreeMap::new()),
    };
    let begin_ms = 4_000_000;
    let end_ms = begin_ms + SIMULATED_SECONDS * 1000;
    let mut next_arrivals = [begin_ms as f64; 2];
    // Running requests and their start times, by the time of their end and a unique number.
    let mut ends: BTreeMap<(u64, u64), (Request, u64)> = BTreeMap::new();
    let mut outcome = Outcome { served: [0; 2], refused: 0 };
    let mut id = 0;
    let mut now = begin_ms;
    while now < end_ms {
        let workspace = usize::from(next_arrivals[1] < next_arrivals[0]);
        let arrival = next_arrivals[workspace] as u64;
        let first_end = ends.first_key_value().map_or(u64::MAX, |((end, _), _)| *end);
        now = arrival.min(first_end);
        if first_end <= arrival {
            let Some((_, (request, started))) = ends.pop_first() else { break };
            if now - request.arrived_ms <= DEADLINE_MS {
                outcome.served[request.workspace] += 1;
            }
            if let Discipline::Fair(fair, _) = &mut queue {
                fair.record_duration(Duration::from_millis(now - started));
            }
        } else {
            next_arrivals[workspace] += random.interval_ms(CAPACITY * offered[workspace]);
            id += 1;
            let request = Request { workspace, arrived_ms: now };
            outcome.refused += u64::from(!enqueue(&mut queue, id, request));
        }
        outcome.refused += expire(&mut queue, now);
        while ends.len() < SLOTS {
            let Some(request) = dequeue(&mut queue, now) else { break };
            id += 1;
            let service_ms = SERVICE_MS * (0.5 + random.unit());
            ends.insert((now + service_ms as u64, id), (request, now));
        }
    }
    outcome
}

/// Adds a request to the queue; returns false if it is refused.
fn enqueue(queue: &mut Discipline, id: u64, request: Request) -> bool {
    match queue {
        Discipline::Unlimited(waiting) => waiting.push_back(request),
        Discipline::Global(waiting) => {
            if waiting.len() >= GLOBAL_LIMIT {
                return false;
            }
            waiting.push_back(request);
        }
        Discipline::Fair(fair, requests) => {
            let workspace = format!("w{}", request.workspace).into();
            let quota = Quota { workspace, share: 1, queue: 256 };
            let deadline = Instant::from_millis(request.arrived_ms + DEADLINE_MS);
            let waiting = Waiting { request: id, cost: 1.0, deadline, priority: 5 };
            if fair.push(&quota, waiting, Instant::from_millis(request.arrived_ms)).is_err() {
                return false;
            }
            requests.insert(id, request);
        }
    }
    true
}

/// Removes the requests whose deadline has passed and returns their number; only the fair queue
/// does so.
fn expire(queue: &mut Discipline, now: u64) -> u64 {
    let Discipline::Fair(fair, requests) = queue else { return 0 };
    let expired = fair.expire(Instant::from_millis(now));
    for id in &expired {
        requests.remove(id);
    }
    expired.len() as u64
}

/// Takes the next request out of the queue.
fn dequeue(queue: &mut Discipline, now: u64) -> Option<Request> {
    match queue {
        Discipline::Unlimited(waiting) | Discipline::Global(waiting) => waiting.pop_front(),
        Discipline::Fair(fair, requests) => {
            let next = fair.start(Instant::from_millis(now))?;
            requests.remove(&next.request)
        }
    }
}
