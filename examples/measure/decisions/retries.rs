//! Retries: a daemon's retry budget with ejection, compared with always and never retrying.

use std::collections::BTreeMap;

use dotterelhoist_core::event::Event;
use dotterelhoist_core::object::Kind;
use dotterelhoist_core::policy::Policy;
use dotterelhoist_core::request::{Decision, End};

use crate::simulated::{request, route_entry, Daemon};
use dotterelhoist_core::message::{Body, Refresh, RouteEntries};

/// Number of routes, each to a serving group.
const ROUTES: usize = 9;
/// Requests per second.
const REQUEST_RATE: u64 = 200;
/// Measured time, which starts with the failure.
const MEASURED_SECONDS: u64 = 60;
/// Time before the failure, in which requests are sent but not measured.
const WARM_UP_MS: u64 = 5000;

/// Prints the number of attempts per request and the percentage of requests that were served.
pub(super) fn measure() {
    println!("retries: {ROUTES} groups, {REQUEST_RATE} requests a second, {MEASURED_SECONDS} s from the failure on");
    println!("{:16} {:10} {:>18} {:>10}", "failing", "retries", "sends / requests", "served");
    for (name, failing) in [("a third", 3), ("all", ROUTES)] {
        for (policy, ratio) in [("budget", 0.1), ("always", 4.0), ("never", 0.0)] {
            let (sends, served) = run(failing, ratio);
            println!("{name:16} {policy:10} {sends:18.3} {:9.2}%", served * 100.0);
        }
    }
}

/// Returns the number of attempts per request and the fraction of requests that were served, when
/// the first `failing` routes fail and retries may be at most `retry_ratio` of the requests.
fn run(failing: usize, retry_ratio: f64) -> (f64, f64) {
    let policy = Policy { retry_ratio, ..Policy::default() };
    let mut daemon = Daemon::with_policy(false, 1, policy);
    let entries = (0..ROUTES).map(route_entry).collect();
    daemon.receive(Body::RouteEntries(RouteEntries { entries }));
    let group = r#"{"model":"m","members":8,"replicas":0}"#;
    daemon.change(Kind::ServingGroup, "assist", group.to_owned());
    daemon.change(Kind::Service, "assist", r#"{"groups":""}"#.to_owned());
    let key = format!(r#"{{"key-sha256":"{}"}}"#, "0".repeat(64));
    daemon.change(Kind::Workspace, "w", key);
    let begin_ms = daemon.now_ms;
    let failure_ms = begin_ms + WARM_UP_MS;
    // Attempts in flight, as request and result, by the time of their end and a unique number.
    let mut ends: BTreeMap<(u64, u64), (u64, End)> = BTreeMap::new();
    let (mut id, mut sends, mut requests, mut served) = (0, 0.0, 0.0, 0.0);
    while daemon.now_ms < failure_ms + MEASURED_SECONDS * 1000 {
        daemon.now_ms += 1;
        let measured = daemon.now_ms >= failure_ms;
        if (daemon.now_ms - begin_ms).is_multiple_of(1000 / REQUEST_RATE) {
            id += 1;
            requests += f64::from(u8::from(measured));
            let mut request = request(id);
            request.prefixes.clear();
            daemon.apply(Event::RequestArrived(Box::new(request)));
        }
        if (daemon.now_ms - begin_ms).is_multiple_of(50) {
            daemon.apply(Event::Tick { random: 7 });
        }
        if (daemon.now_ms - begin_ms).is_multiple_of(500) {
            // The handles are consecutive numbers from 1, so each is delta-encoded as 1.
            let refresh =
                Refresh { handles: vec![1; ROUTES], ages: vec![5; ROUTES], loads: vec![0; ROUTES] };
            daemon.receive(Body::Refresh(refresh));
        }
        while ends.first_key_value().is_some_and(|((at, _), _)| *at <= daemon.now_ms) {
            let Some(((_, _), (request, end))) = ends.pop_first() else { break };
            served += f64::from(u8::from(measured && matches!(end, End::Answered { .. })));
            daemon.apply(Event::AttemptEnded { request, end });
        }
        for (request, decision) in std::mem::take(&mut daemon.decisions) {
            let Decision::Dispatch(dispatch) = decision else { continue };
            sends += f64::from(u8::from(measured));
            let number: usize =
                dispatch.vm.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
            let fails = measured && number < failing;
            let end = match fails {
                true => End::Lost { tokens: 0, forwarded: false, crashed: false },
                false => End::Answered {
                    status: 200,
                    content_type: String::new(),
                    body: Vec::new(),
                    tokens: 1,
                },
            };
            let duration_ms = if fails { 10 } else { 100 };
            ends.insert(
                (daemon.now_ms + duration_ms, sends as u64 * 1000 + request),
                (request, end),
            );
        }
    }
    (sends / requests, served / requests)
}
