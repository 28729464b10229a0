//! An entry daemon: choice, queue, repeats, refusals.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_fleet::control::Reader;
use dotterelhoist_fleet::document::{
    Document, Draft, Engine, Finding, Kind, Model, Route, Service, Share, Workspace,
};
use dotterelhoist_fleet::entry::{
    Attempt, Decision, Effect, End, Event, Reason, Refusal, Request, Setup, State,
};
use dotterelhoist_fleet::message::{Body, Document as RawDocument, Report, Status, Target, View};
use dotterelhoist_fleet::Name;
use rstest::rstest;

const CONTROL: &str = "10.0.0.9";
/// A control daemon in another zone.
const OTHER: &str = "10.7.0.9";

#[derive(Clone, Debug)]
struct Fixed;

impl Reader for Fixed {
    fn read(&self, bytes: &[u8]) -> Result<Document, Vec<Finding>> {
        let version = String::from_utf8_lossy(bytes).parse().unwrap_or(1);
        let workspaces =
            vec![Workspace { name: "families".into(), keys: vec!["key".into()], priority: None }];
        Document::build(Draft {
            version,
            routes: vec![
                route("stream", Kind::Streaming, "llm"),
                route("read", Kind::Idempotent, "desk"),
                route("book", Kind::NonIdempotent, "desk"),
            ],
            services: vec![
                llm(),
                Service { name: "desk".into(), max_connections: 9, engine: None },
            ],
            workspaces: Some(workspaces),
            ..Draft::default()
        })
    }
}

fn route(name: &str, kind: Kind, service: &str) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        prefix: format!("/{name}/").into(),
        kind,
        timeout: Duration::from_secs(6),
        target_latency: Duration::from_millis(300),
        priority: 1,
        split: [Share { service: service.into(), weight: 1 }].into_iter().collect(),
        max_attempts: 2,
        public: false,
        resumable: true,
        event_gap: None,
    }
}

fn llm() -> Service {
    let model = Model {
        name: "m".into(),
        size: 2,
        share: 1.0,
        time_factor: 1.0,
        cold_load: Duration::ZERO,
        warm_load: Duration::ZERO,
    };
    let engine = Engine {
        slots: 4,
        models: vec![model],
        step_ms: 6.0,
        per_sequence_ms: 0.2,
        prompt_tokens_per_s: 46_000.0,
        loads_per_s: 4.0,
        typical_prompt_tokens: 1000.0,
        typical_output_tokens: 100.0,
    };
    Service { name: "llm".into(), max_connections: 99, engine: Some(engine) }
}

struct Desk {
    now: Instant,
    state: State<Fixed>,
    decisions: BTreeMap<u64, Vec<Decision>>,
    abandoned: Vec<u64>,
    crashed: Vec<u64>,
    /// Entry daemons of the deployment, as control daemons say.
    entry_daemons: u32,
    /// Reports to the control daemon that is not selected.
    others: Vec<Report>,
}

impl Desk {
    fn starting() -> Desk {
        let now = Instant::from_millis(3_600_000);
        let setup = Setup {
            daemon: "10.0.0.1".into(),
            zone: "a".into(),
            retry_ratio: 0.1,
            retry_slack: 40.0,
        };
        let state = State::open(setup, Fixed, 7, now);
        let (decisions, abandoned, crashed, others) = Default::default();
        Desk { now, state, decisions, abandoned, crashed, entry_daemons: 1, others }
    }

    fn open(targets: &[(&str, &str, &str, u32)]) -> Desk {
        let mut desk = Desk::starting();
        desk.apply(Event::Connected(CONTROL.into()));
        desk.hear(Body::Document(RawDocument { version: 1, body: b"1".to_vec() }));
        desk.status(1, &[]);
        desk.view(1, targets);
        desk
    }

    fn apply(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.state.apply(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Decide(id, decision) => {
                    self.decisions.entry(id).or_default().push(decision);
                }
                Effect::Abandon(id) => self.abandoned.push(id),
                Effect::Send(to, Body::Report(report)) => {
                    self.crashed.extend(&report.crashed);
                    if *to == *OTHER {
                        self.others.push(report);
                    }
                }
                _ => {}
            }
        }
    }

    fn hear(&mut self, body: Body) {
        self.apply(Event::Received(CONTROL.into(), body));
    }

    fn status(&mut self, version: u64, crashing: &[u64]) {
        let control_daemons = vec![CONTROL.to_owned()];
        let crashing = crashing.to_vec();
        let status = Status {
            up_to_date: true,
            version,
            control_daemons,
            entry_daemons: self.entry_daemons,
            crashing,
        };
        self.hear(Body::Status(status));
    }

    fn view(&mut self, sequence: u64, targets: &[(&str, &str, &str, u32)]) {
        let target = |(id, service, zone, slots): &(&str, &str, &str, u32)| Target {
            id: (*id).to_owned(),
            address: format!("10.9.0.1:{}", 80 + sequence),
            service: (*service).to_owned(),
            model: if *service == "llm" { "m".to_owned() } else { String::new() },
            group: if *service == "llm" { format!("g-{id}") } else { String::new() },
            zone: (*zone).to_owned(),
            slots: *slots,
        };
        let targets = targets.iter().map(target).collect();
        self.hear(Body::View(View { sequence, targets }));
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(25) {
            self.now = self.now + Duration::from_millis(25);
            if self.now.as_millis().is_multiple_of(300) {
                self.status(1, &[]);
            }
            self.apply(Event::Tick);
        }
    }

    fn send(&mut self, id: u64, path: &str) {
        let request = request(id, path, self.now);
        self.apply(Event::RequestArrived(Box::new(request)));
    }

    fn last(&self, id: u64) -> Option<&Decision> {
        self.decisions.get(&id).and_then(|decisions| decisions.last())
    }

    fn attempt(&self, id: u64) -> Attempt {
        match self.last(id) {
            Some(Decision::Send(attempt)) => attempt.clone(),
            other => panic!("request {id}: {other:?}"),
        }
    }

    fn refusal(&self, id: u64) -> Refusal {
        match self.last(id) {
            Some(Decision::Refuse(refusal)) => refusal.clone(),
            other => panic!("request {id}: {other:?}"),
        }
    }
}

fn request(id: u64, path: &str, now: Instant) -> Request {
    Request {
        id,
        request_id: format!("r{id}").into(),
        host: "h".into(),
        path: path.into(),
        key: Some("key".into()),
        model: "m".into(),
        prompt_tokens: 1000,
        expected_output_tokens: 50,
        fingerprint: id,
        deadline: now + Duration::from_secs(8),
    }
}

const TWO: &[(&str, &str, &str, u32)] = &[("e1", "llm", "a", 4), ("e2", "llm", "a", 4)];
const PLAIN: &[(&str, &str, &str, u32)] = &[("p1", "desk", "a", 6), ("p2", "desk", "b", 6)];
const LOST: End = End::Lost { open: true, broken: true };

#[test]
fn request_before_any_document_is_told_to_come_back() {
    let mut desk = Desk::starting();
    desk.send(1, "/stream/x");
    assert_eq!(desk.refusal(1).reason, Reason::Starting);
    assert!(desk.refusal(1).retry_after.is_some());
    assert!(!desk.state.is_ready());
}

#[rstest]
#[case::no_route("/none/x", Some("key"), Reason::NoRoute)]
#[case::bad_key("/stream/x", Some("other"), Reason::Unauthorized)]
#[case::no_key("/stream/x", None, Reason::Unauthorized)]
fn request_not_allowed_is_refused(
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] reason: Reason,
) {
    let mut desk = Desk::open(TWO);
    let mut request = request(1, path, desk.now);
    request.key = key.map(Name::from);
    desk.apply(Event::RequestArrived(Box::new(request)));
    assert_eq!(desk.refusal(1).reason, reason);
}

#[test]
fn workspace_is_that_of_the_key() {
    let mut desk = Desk::open(TWO);
    desk.send(1, "/stream/x");
    assert_eq!(desk.attempt(1).workspace, Some("families".into()));
}

#[test]
fn requests_spread_over_endpoints_by_load() {
    let mut desk = Desk::open(TWO);
    for id in 1..=8 {
        desk.send(id, "/stream/x");
    }
    let first = (1..=8).filter(|id| *desk.attempt(*id).target == *"e1").count();
    assert_eq!(first, 4);
}

#[test]
fn request_without_room_waits_and_goes_when_one_ends() {
    let mut desk = Desk::open(TWO);
    for id in 1..=9 {
        desk.send(id, "/stream/x");
    }
    assert!(desk.last(9).is_none());
    desk.apply(Event::AttemptEnded(3, End::Answered));
    assert_eq!(desk.attempt(9).target, desk.attempt(3).target);
}

#[test]
fn request_without_room_in_time_is_refused_as_not_run() {
    let mut desk = Desk::open(TWO);
    for id in 1..=9 {
        desk.send(id, "/stream/x");
    }
    desk.pass(1000);
    assert_eq!(desk.refusal(9).reason, Reason::TooLate);
    assert_eq!(desk.refusal(9).reason.status(), 429);
    assert!(desk.refusal(9).retry_after.is_some());
}

/// Under overload a request that can still be on time goes before one that can't.
#[test]
fn request_that_is_already_late_gives_way() {
    let mut desk = Desk::open(TWO);
    for id in 1..=9 {
        desk.send(id, "/stream/x");
    }
    desk.pass(250);
    desk.send(10, "/stream/x");
    desk.apply(Event::AttemptEnded(1, End::Answered));
    assert!(matches!(desk.last(10), Some(Decision::Send(_))), "the fresh one goes first");
    assert!(desk.last(9).is_none());
    desk.apply(Event::AttemptEnded(2, End::Answered));
    assert!(matches!(desk.last(9), Some(Decision::Send(_))));
}

/// Twice the work that the endpoints can do: those that are served are served on time.
#[test]
fn overload_at_twice_the_capacity_keeps_requests_on_time() {
    let mut desk = Desk::open(TWO);
    let (mut sent, mut on_time) = (0u64, 0u64);
    let mut running: Vec<(Instant, u64)> = Vec::new();
    let mut arrived: BTreeMap<u64, Instant> = BTreeMap::new();
    for step in 0..400u64 {
        for _ in 0..2 {
            sent += 1;
            arrived.insert(sent, desk.now);
            desk.send(sent, "/stream/x");
        }
        for target in ["e1", "e2"] {
            desk.state.record_progress(&target.into(), desk.now);
        }
        desk.pass(25);
        for (id, came) in std::mem::take(&mut arrived) {
            match desk.last(id) {
                Some(Decision::Send(_)) => {
                    let waited = desk.now.since(came);
                    on_time += u64::from(waited < Duration::from_millis(200));
                    running.push((desk.now + Duration::from_millis(200), id));
                }
                None => {
                    arrived.insert(id, came);
                }
                _ => {}
            }
        }
        let now = desk.now;
        let (ended, rest) = running.drain(..).partition(|(end, _)| *end <= now);
        running = rest;
        let ended: Vec<(Instant, u64)> = ended;
        for (_, id) in ended {
            desk.apply(Event::AttemptEnded(id, End::Answered));
        }
        assert!(running.len() <= 8, "step {step}");
    }
    assert!(on_time * 100 >= sent * 35, "{on_time} of {sent} on time");
}

#[test]
fn request_beyond_the_queue_is_refused_at_once() {
    let mut desk = Desk::open(TWO);
    for id in 1..=30 {
        desk.send(id, "/stream/x");
    }
    assert_eq!(desk.refusal(30).reason, Reason::QueueFull);
}

#[test]
fn stream_that_breaks_off_goes_on_elsewhere() {
    let mut desk = Desk::open(TWO);
    desk.send(1, "/stream/x");
    let first = desk.attempt(1).target;
    desk.apply(Event::AttemptEnded(1, LOST));
    assert_ne!(desk.attempt(1).target, first);
    desk.apply(Event::AttemptEnded(1, LOST));
    assert_eq!(desk.refusal(1).reason, Reason::Lost);
}

#[test]
fn booking_that_may_have_run_is_never_sent_again_nor_called_not_run() {
    let mut desk = Desk::open(PLAIN);
    desk.send(1, "/book/x");
    desk.apply(Event::AttemptEnded(1, LOST));
    assert_eq!(desk.decisions[&1].len(), 2);
    assert_eq!(desk.refusal(1).reason.status(), 502);
}

#[test]
fn booking_that_was_declined_is_sent_to_another_endpoint() {
    let mut desk = Desk::open(PLAIN);
    desk.send(1, "/book/x");
    let first = desk.attempt(1).target;
    desk.apply(Event::AttemptEnded(1, End::Declined { status: 503 }));
    assert_ne!(desk.attempt(1).target, first);
    desk.apply(Event::AttemptEnded(1, End::Declined { status: 503 }));
    assert_eq!(desk.refusal(1).reason.status(), 503);
}

#[test]
fn booking_whose_time_is_over_is_not_called_not_run() {
    let mut desk = Desk::open(PLAIN);
    desk.send(1, "/book/x");
    desk.apply(Event::AttemptEnded(1, End::TimedOut { begun: false }));
    assert_eq!(desk.refusal(1).reason.status(), 504);
}

#[test]
fn endpoint_out_of_reach_costs_no_attempt() {
    let mut desk = Desk::open(PLAIN);
    desk.send(1, "/read/x");
    desk.apply(Event::AttemptEnded(1, End::Unreachable));
    assert_eq!(desk.attempt(1).number, 1);
}

#[test]
fn repeats_stay_within_the_budget() {
    let many: Vec<String> = (0..60).map(|at| format!("p{at}")).collect();
    let targets: Vec<(&str, &str, &str, u32)> =
        many.iter().map(|id| (id.as_str(), "desk", "a", 6)).collect();
    let mut desk = Desk::open(&targets);
    let mut repeats = 0;
    for id in 1..=200 {
        desk.send(id, "/read/x");
        if !matches!(desk.last(id), Some(Decision::Send(_))) {
            continue;
        }
        desk.apply(Event::AttemptEnded(id, LOST));
        if matches!(desk.last(id), Some(Decision::Send(_))) {
            repeats += 1;
            desk.apply(Event::AttemptEnded(id, LOST));
        }
    }
    assert!(repeats <= 20 + 20, "{repeats} repeats");
}

#[test]
fn endpoint_without_progress_is_left() {
    let mut desk = Desk::open(TWO);
    desk.send(1, "/stream/x");
    let target = desk.attempt(1).target;
    desk.state.record_progress(&target, desk.now);
    desk.state.record_answer_start(1);
    desk.pass(1000);
    assert_eq!(desk.abandoned, [1]);
}

#[test]
fn endpoint_is_not_blamed_for_a_pause_of_the_daemon() {
    let mut desk = Desk::open(TWO);
    desk.send(1, "/stream/x");
    let target = desk.attempt(1).target;
    desk.state.record_progress(&target, desk.now);
    desk.state.record_answer_start(1);
    desk.now = desk.now + Duration::from_secs(5);
    desk.pass(100);
    assert!(desk.abandoned.is_empty());
}

#[test]
fn document_never_goes_back() {
    let mut desk = Desk::open(TWO);
    desk.hear(Body::Document(RawDocument { version: 9, body: b"9".to_vec() }));
    desk.hear(Body::Document(RawDocument { version: 4, body: b"4".to_vec() }));
    assert_eq!(desk.state.document().map(|document| document.version), Some(9));
}

#[test]
fn document_older_than_the_leader_s_does_not_make_a_daemon_ready() {
    let mut desk = Desk::starting();
    desk.apply(Event::Connected(CONTROL.into()));
    desk.hear(Body::Document(RawDocument { version: 3, body: b"3".to_vec() }));
    desk.status(5, &[]);
    assert!(!desk.state.is_ready());
    desk.hear(Body::Document(RawDocument { version: 5, body: b"5".to_vec() }));
    desk.status(5, &[]);
    assert!(desk.state.is_ready());
}

#[test]
fn crash_counts_only_if_the_endpoint_has_ended() {
    let mut desk = Desk::open(TWO);
    desk.send(1, "/stream/x");
    desk.apply(Event::AttemptEnded(1, LOST));
    desk.pass(200);
    assert!(desk.crashed.is_empty());
    let first = desk.decisions[&1].first().cloned();
    let Some(Decision::Send(attempt)) = first else { panic!("not sent") };
    let rest: Vec<_> = TWO.iter().filter(|target| *target.0 != *attempt.target).copied().collect();
    desk.view(2, &rest);
    desk.pass(200);
    assert_eq!(desk.crashed, [1]);
}

#[test]
fn request_that_crashes_endpoints_is_refused_everywhere() {
    let mut desk = Desk::open(TWO);
    desk.status(1, &[77]);
    let mut request = request(1, "/stream/x", desk.now);
    request.fingerprint = 77;
    desk.apply(Event::RequestArrived(Box::new(request)));
    assert_eq!(desk.refusal(1).reason, Reason::Crashing);
    desk.send(2, "/stream/x");
    assert_eq!(desk.attempt(2).number, 1);
}

#[test]
fn split_follows_the_weights() {
    let mut route = route("split", Kind::Idempotent, "desk");
    route.split =
        [Share { service: "x".into(), weight: 9 }, Share { service: "y".into(), weight: 1 }]
            .into_iter()
            .collect();
    let route = Arc::new(route);
    let first = (0..1000).filter(|draw| route.choose_service(*draw) == Some(&"x".into())).count();
    assert_eq!(first, 900);
}

/// What one control daemon takes in must not grow with every entry daemon of the deployment: those that
/// selected another one report more rarely, and then all that they have not told.
#[rstest]
#[case::small(6, 25..=26)]
#[case::large(81, 4..=5)]
fn report_to_a_control_daemon_that_is_not_selected_is_rarer_in_a_large_deployment(
    #[case] entry_daemons: u32,
    #[case] expected: RangeInclusive<usize>,
) {
    let mut desk = Desk::open(TWO);
    desk.entry_daemons = entry_daemons;
    desk.status(1, &[]);
    desk.apply(Event::Connected(OTHER.into()));
    desk.pass(600);
    desk.others.clear();
    desk.send(1, "/stream/x");
    desk.pass(1950);
    assert!(expected.contains(&desk.others.len()), "{} reports", desk.others.len());
    let asked: u32 = desk.others.iter().flat_map(|r| &r.demand).map(|d| d.requests).sum();
    assert_eq!(asked, 1);
}

/// A suspicion reaches all control daemons at once: any of them may lead.
#[test]
fn report_of_a_suspicion_is_sent_to_all_at_once() {
    let mut desk = Desk::open(TWO);
    desk.entry_daemons = 800;
    desk.status(1, &[]);
    desk.apply(Event::Connected(OTHER.into()));
    desk.send(1, "/stream/x");
    let target = desk.attempt(1).target;
    desk.apply(Event::AttemptEnded(1, End::Unreachable));
    desk.others.clear();
    desk.pass(100);
    let told = desk.others.iter().any(|report| report.suspects.contains(&target.to_string()));
    assert!(told, "{:?}", desk.others);
}
