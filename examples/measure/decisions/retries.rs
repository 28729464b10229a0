//! Retries: a budget with ejection, against always and never, in the real reducer.

use std::collections::BTreeMap;

use dotterelhoist_core::event::Event;
use dotterelhoist_core::object::Kind;
use dotterelhoist_core::policy::Policy;
use dotterelhoist_core::request::{Decision, End};

use crate::solo::{entry, request, Solo};
use dotterelhoist_core::message::{Body, Refresh, RouteEntries};

const ROUTES: usize = 9;
const RATE: u64 = 200;
const SECONDS: u64 = 60;
const WARM_UP_MS: u64 = 5000;

pub(super) fn measure() {
    println!("retries: {ROUTES} groups, {RATE} requests a second, {SECONDS} s from the failure on");
    println!("{:16} {:10} {:>18} {:>10}", "failing", "retries", "sends / requests", "served");
    for (name, failing) in [("a third", 3), ("all", ROUTES)] {
        for (policy, ratio) in [("budget", 0.1), ("always", 4.0), ("never", 0.0)] {
            let (sends, served) = run(failing, ratio);
            println!("{name:16} {policy:10} {sends:18.3} {:9.2}%", served * 100.0);
        }
    }
}

/// Sends for each request, and the part of the requests that was served.
fn run(failing: usize, ratio: f64) -> (f64, f64) {
    let policy = Policy { retry_ratio: ratio, ..Policy::default() };
    let mut solo = Solo::with_policy(false, 1, policy);
    let entries = (0..ROUTES).map(entry).collect();
    solo.receive(Body::RouteEntries(RouteEntries { entries }));
    let group = r#"{"model":"m","members":8,"replicas":0}"#;
    solo.change(Kind::ServingGroup, "assist", group.to_owned());
    solo.change(Kind::Service, "assist", r#"{"groups":""}"#.to_owned());
    let key = format!(r#"{{"key-sha256":"{}"}}"#, "0".repeat(64));
    solo.change(Kind::Workspace, "w", key);
    let begin = solo.now;
    let fails = begin + WARM_UP_MS;
    let mut ends: BTreeMap<(u64, u64), (u64, End)> = BTreeMap::new();
    let (mut id, mut sends, mut requests, mut served) = (0, 0.0, 0.0, 0.0);
    while solo.now < fails + SECONDS * 1000 {
        solo.now += 1;
        let counted = solo.now >= fails;
        if (solo.now - begin).is_multiple_of(1000 / RATE) {
            id += 1;
            requests += f64::from(u8::from(counted));
            let mut request = request(id);
            request.prefixes.clear();
            solo.apply(Event::RequestArrived(Box::new(request)));
        }
        if (solo.now - begin).is_multiple_of(50) {
            solo.apply(Event::Tick { draw: 7 });
        }
        if (solo.now - begin).is_multiple_of(500) {
            let beat =
                Refresh { handles: vec![1; ROUTES], ages: vec![5; ROUTES], loads: vec![0; ROUTES] };
            solo.receive(Body::Refresh(beat));
        }
        while ends.first_key_value().is_some_and(|((at, _), _)| *at <= solo.now) {
            let Some(((_, _), (request, end))) = ends.pop_first() else { break };
            served += f64::from(u8::from(counted && matches!(end, End::Answered { .. })));
            solo.apply(Event::AttemptEnded { request, end });
        }
        for (request, decision) in std::mem::take(&mut solo.decisions) {
            let Decision::Dispatch(dispatch) = decision else { continue };
            sends += f64::from(u8::from(counted));
            let number: usize =
                dispatch.vm.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
            let broken = counted && number < failing;
            let end = match broken {
                true => End::Lost { tokens: 0, forwarded: false, crashed: false },
                false => End::Answered {
                    status: 200,
                    content_type: String::new(),
                    body: Vec::new(),
                    tokens: 1,
                },
            };
            let takes = if broken { 10 } else { 100 };
            ends.insert((solo.now + takes, sends as u64 * 1000 + request), (request, end));
        }
    }
    (sends / requests, served / requests)
}
