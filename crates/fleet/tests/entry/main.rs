//! The reducer of an entry daemon: choice of endpoints, queue, retries, refusals and reports.

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
    Attempt, Decision, Effect, End, Event, Loss, Reason, Refusal, Request, Setup, State,
};
use dotterelhoist_fleet::message::{Body, Directory, Fetch, Report, Status, Target, View};
use dotterelhoist_fleet::patch::{Original, Patch};
use dotterelhoist_fleet::Name;
use rstest::rstest;

mod barring;
mod departures;
mod fetching;
mod interleaving;
mod limits;
mod neighbors;
mod pauses;
mod placing;
mod relaying;
mod stalls;

const SELECTED_CONTROL: &str = "10.0.0.9";
/// A control daemon that sends no status and therefore is not selected.
const UNSELECTED_CONTROL: &str = "10.7.0.9";

/// Decodes a document whose body is only a version number; the rest of the configuration is the
/// same in all tests.
#[derive(Clone, Debug)]
struct StubReader;

impl Reader for StubReader {
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
                Route { resumable: false, ..route("once", Kind::Streaming, "llm") },
                route("order", Kind::NonIdempotent, "llm"),
            ],
            services: vec![
                model_service(),
                Service { name: "desk".into(), max_connections: 9, engine: None },
            ],
            workspaces: Some(workspaces),
            ..Draft::default()
        })
    }
}

/// A message with the complete document of [`StubReader`] that has this version.
fn document(version: u64) -> Body {
    let original = Original { version, body: version.to_string().into() };
    Body::Document(Patch::between(&Original::default(), &original).expect("it can be compressed"))
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

fn model_service() -> Service {
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
        loads_at_once: 6,
        typical_prompt_tokens: 1000.0,
        typical_output_tokens: 100.0,
    };
    Service { name: "llm".into(), max_connections: 99, engine: Some(engine) }
}

/// An entry daemon under test, with a record of its effects.
struct Harness {
    now: Instant,
    state: State<StubReader>,
    decisions: BTreeMap<u64, Vec<Decision>>,
    /// Second attempts, with the request that each is for.
    hedges: Vec<(u64, Attempt)>,
    reported_crashes: Vec<u64>,
    /// Number of entry daemons that the control daemon reports in its status.
    entry_daemons: u32,
    /// Reports to the control daemon that is not selected.
    unselected_reports: Vec<Report>,
    /// Requests for the document, with the control daemon that each was sent to.
    fetches: Vec<(Name, Fetch)>,
    /// Departures that were sent to control daemons.
    departures_sent: Vec<(Name, Body)>,
    /// Control daemons that were named to control daemons.
    directories_sent: Vec<(Name, Directory)>,
    /// Entry daemons that were asked for control daemons.
    asked: Vec<Name>,
    /// Control daemons to connect to.
    dialed: Vec<Name>,
}

impl Harness {
    /// A daemon that has just started and has no connection.
    fn starting() -> Harness {
        Harness::starting_seeded(7)
    }

    /// Like [`Harness::starting`]; what the daemon draws at random follows from `seed`.
    fn starting_seeded(seed: u64) -> Harness {
        let now = Instant::from_millis(3_600_000);
        let setup = Setup {
            daemon: "10.0.0.1".into(),
            zone: "a".into(),
            retry_ratio: 0.1,
            retry_slack: 40.0,
            apply_timeout: Duration::from_secs(2),
            relay_port: 7,
        };
        let state = State::open(setup, StubReader, seed, now);
        let (decisions, hedges, reported_crashes, unselected_reports, fetches) = Default::default();
        Harness {
            now,
            state,
            decisions,
            hedges,
            reported_crashes,
            entry_daemons: 1,
            unselected_reports,
            fetches,
            departures_sent: Vec::new(),
            directories_sent: Vec::new(),
            asked: Vec::new(),
            dialed: Vec::new(),
        }
    }

    /// A ready daemon whose view lists the given endpoints, each with its identity, service,
    /// availability zone and slots.
    fn open(targets: &[(&str, &str, &str, u32)]) -> Harness {
        Harness::open_seeded(targets, 7)
    }

    /// Like [`Harness::open`]; what the daemon draws at random follows from `seed`.
    fn open_seeded(targets: &[(&str, &str, &str, u32)], seed: u64) -> Harness {
        let mut harness = Harness::starting_seeded(seed);
        harness.apply(Event::Connected(SELECTED_CONTROL.into()));
        harness.receive(document(1));
        harness.status(1, &[]);
        harness.view(1, targets);
        harness
    }

    fn apply(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.state.apply(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Decide(id, Decision::Hedge(attempt)) => self.hedges.push((id, attempt)),
                Effect::Decide(id, decision) => {
                    self.decisions.entry(id).or_default().push(decision);
                }
                Effect::Send(to, Body::Fetch(fetch)) => self.fetches.push((to, fetch)),
                Effect::Send(to, body @ Body::Departures(_)) => {
                    self.departures_sent.push((to, body));
                }
                Effect::Send(to, Body::Directory(directory)) => {
                    self.directories_sent.push((to, directory));
                }
                Effect::Ask(name) => self.asked.push(name),
                Effect::Dial(name) => self.dialed.push(name),
                Effect::Send(to, Body::Report(report)) => {
                    self.reported_crashes.extend(&report.crashed);
                    if *to == *UNSELECTED_CONTROL {
                        self.unselected_reports.push(report);
                    }
                }
                _ => {}
            }
        }
    }

    /// Applies a message of the selected control daemon.
    fn receive(&mut self, body: Body) {
        self.apply(Event::Received(SELECTED_CONTROL.into(), body));
    }

    fn status(&mut self, version: u64, crashing: &[u64]) {
        let status = self.status_of(version, crashing);
        self.receive(Body::Status(status));
    }

    /// Applies the status of any control daemon.
    fn status_from(&mut self, from: &str, version: u64) {
        let status = self.status_of(version, &[]);
        self.apply(Event::Received(from.into(), Body::Status(status)));
    }

    fn status_of(&self, version: u64, crashing: &[u64]) -> Status {
        Status {
            up_to_date: true,
            version,
            control_daemons: vec![SELECTED_CONTROL.to_owned()],
            entry_daemons: self.entry_daemons,
            crashing: crashing.to_vec(),
            document_age_ms: 0,
            leads: true,
            ..Status::default()
        }
    }

    /// Advances the clock in ticks of 25 ms, without a message of a control daemon.
    fn ticks(&mut self, millis: u64) {
        for _ in 0..millis / 25 {
            self.now = self.now + Duration::from_millis(25);
            self.apply(Event::Tick);
        }
    }

    fn view(&mut self, sequence: u64, targets: &[(&str, &str, &str, u32)]) {
        self.view_started(sequence, targets, 1);
    }

    /// Like [`Harness::view`], of endpoints that have all started at `started_unix_ms`.
    fn view_started(
        &mut self,
        sequence: u64,
        targets: &[(&str, &str, &str, u32)],
        started_unix_ms: u64,
    ) {
        self.receive(Body::View(view(sequence, targets, started_unix_ms)));
    }

    /// Like [`Harness::view`], with each head in another group.
    fn regroup(&mut self, sequence: u64, targets: &[(&str, &str, &str, u32)]) {
        let view = view(sequence, targets, 1);
        let regroup = |target: Target| Target { group: format!("{}-2", target.group), ..target };
        let targets = view.targets.into_iter().map(regroup).collect();
        self.receive(Body::View(View { sequence, targets }));
    }

    /// Advances the clock in ticks of 25 ms, with a status of the control daemon every 300 ms.
    fn advance(&mut self, millis: u64) {
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

    fn last_decision(&self, id: u64) -> Option<&Decision> {
        self.decisions.get(&id).and_then(|decisions| decisions.last())
    }

    fn attempt(&self, id: u64) -> Attempt {
        match self.last_decision(id) {
            Some(Decision::Send(attempt)) => attempt.clone(),
            other => panic!("request {id}: {other:?}"),
        }
    }

    fn refusal(&self, id: u64) -> Refusal {
        match self.last_decision(id) {
            Some(Decision::Refuse(refusal)) => refusal.clone(),
            other => panic!("request {id}: {other:?}"),
        }
    }
}

/// A view of the given endpoints, which have all started at `started_unix_ms`.
fn view(sequence: u64, targets: &[(&str, &str, &str, u32)], started_unix_ms: u64) -> View {
    let target = |(id, service, zone, slots): &(&str, &str, &str, u32)| Target {
        id: (*id).to_owned(),
        address: format!("10.9.0.1:{}", 80 + sequence),
        service: (*service).to_owned(),
        model: if *service == "llm" { "m".to_owned() } else { String::new() },
        group: if *service == "llm" { format!("g-{id}") } else { String::new() },
        zone: (*zone).to_owned(),
        slots: *slots,
        started_unix_ms,
    };
    let targets = targets.iter().map(target).collect();
    View { sequence, targets }
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
        segments: Default::default(),
        deadline: now + Duration::from_secs(8),
        relayed: false,
        resolved_by: None,
    }
}

const TWO_GROUPS: &[(&str, &str, &str, u32)] = &[("e1", "llm", "a", 4), ("e2", "llm", "a", 4)];
const TWO_PLAIN: &[(&str, &str, &str, u32)] = &[("p1", "desk", "a", 6), ("p2", "desk", "b", 6)];
const LOST: End = End::Lost(Loss::Failed);

#[test]
fn request_before_any_document_is_refused_with_a_retry_time() {
    let mut harness = Harness::starting();
    harness.send(1, "/stream/x");
    assert_eq!(harness.refusal(1).reason, Reason::Starting);
    assert!(harness.refusal(1).retry_after.is_some());
    assert!(!harness.state.is_ready());
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
    let mut harness = Harness::open(TWO_GROUPS);
    let mut request = request(1, path, harness.now);
    request.key = key.map(Name::from);
    harness.apply(Event::RequestArrived(Box::new(request)));
    assert_eq!(harness.refusal(1).reason, reason);
}

#[test]
fn workspace_is_that_of_the_key() {
    let mut harness = Harness::open(TWO_GROUPS);
    harness.send(1, "/stream/x");
    assert_eq!(harness.attempt(1).workspace, Some("families".into()));
}

#[test]
fn requests_spread_over_endpoints_by_load() {
    let mut harness = Harness::open(TWO_GROUPS);
    for id in 1..=8 {
        harness.send(id, "/stream/x");
    }
    let first = (1..=8).filter(|id| *harness.attempt(*id).target == *"e1").count();
    assert_eq!(first, 4);
}

#[test]
fn request_without_free_slot_is_sent_when_another_ends() {
    let mut harness = Harness::open(TWO_GROUPS);
    for id in 1..=9 {
        harness.send(id, "/stream/x");
    }
    assert!(harness.last_decision(9).is_none());
    harness.apply(Event::AttemptEnded(3, End::Answered));
    assert_eq!(harness.attempt(9).target, harness.attempt(3).target);
}

#[test]
fn request_without_free_slot_in_time_is_refused_as_not_run() {
    let mut harness = Harness::open(TWO_GROUPS);
    for id in 1..=9 {
        harness.send(id, "/stream/x");
    }
    harness.advance(1000);
    assert_eq!(harness.refusal(9).reason, Reason::TooLate);
    assert_eq!(harness.refusal(9).reason.status(), 429);
    assert!(harness.refusal(9).retry_after.is_some());
}

/// Under overload, a request that can still meet its latency target must go before one that cannot;
/// otherwise every request waits until it misses its target.
#[test]
fn request_that_cannot_be_on_time_goes_after_one_that_can() {
    let mut harness = Harness::open(TWO_GROUPS);
    for id in 1..=9 {
        harness.send(id, "/stream/x");
    }
    harness.advance(250);
    harness.send(10, "/stream/x");
    harness.apply(Event::AttemptEnded(1, End::Answered));
    assert!(
        matches!(harness.last_decision(10), Some(Decision::Send(_))),
        "the request that can be on time goes first"
    );
    assert!(harness.last_decision(9).is_none());
    harness.apply(Event::AttemptEnded(2, End::Answered));
    assert!(matches!(harness.last_decision(9), Some(Decision::Send(_))));
}

/// Requests arrive faster than the endpoints can serve them. Those that are served must still meet
/// their latency target, instead of all of them missing it.
#[test]
fn overload_at_twice_the_capacity_keeps_requests_on_time() {
    let mut harness = Harness::open(TWO_GROUPS);
    let (mut sent, mut on_time) = (0u64, 0u64);
    let mut running: Vec<(Instant, u64)> = Vec::new();
    let mut arrived: BTreeMap<u64, Instant> = BTreeMap::new();
    for step in 0..400u64 {
        for _ in 0..2 {
            sent += 1;
            arrived.insert(sent, harness.now);
            harness.send(sent, "/stream/x");
        }
        for target in ["e1", "e2"] {
            harness.state.record_progress(&target.into(), harness.now);
        }
        harness.advance(25);
        for (id, arrival) in std::mem::take(&mut arrived) {
            match harness.last_decision(id) {
                Some(Decision::Send(_)) => {
                    let waited = harness.now.since(arrival);
                    on_time += u64::from(waited < Duration::from_millis(200));
                    running.push((harness.now + Duration::from_millis(200), id));
                }
                None => {
                    arrived.insert(id, arrival);
                }
                _ => {}
            }
        }
        let now = harness.now;
        let (ended, rest) = running.drain(..).partition(|(end, _)| *end <= now);
        running = rest;
        let ended: Vec<(Instant, u64)> = ended;
        for (_, id) in ended {
            harness.apply(Event::AttemptEnded(id, End::Answered));
        }
        assert!(running.len() <= 8, "step {step}");
    }
    assert!(on_time * 100 >= sent * 35, "{on_time} of {sent} on time");
}

#[test]
fn request_beyond_the_queue_is_refused_at_once() {
    let mut harness = Harness::open(TWO_GROUPS);
    for id in 1..=30 {
        harness.send(id, "/stream/x");
    }
    assert_eq!(harness.refusal(30).reason, Reason::QueueFull);
}

#[test]
fn stream_that_breaks_off_is_continued_on_another_endpoint() {
    let mut harness = Harness::open(TWO_GROUPS);
    harness.send(1, "/stream/x");
    let first = harness.attempt(1).target;
    harness.apply(Event::AttemptEnded(1, LOST));
    assert_ne!(harness.attempt(1).target, first);
    harness.apply(Event::AttemptEnded(1, LOST));
    assert_eq!(harness.refusal(1).reason, Reason::Lost);
}

#[test]
fn non_idempotent_request_that_may_have_run_is_not_retried_nor_refused_as_not_run() {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.send(1, "/book/x");
    harness.apply(Event::AttemptEnded(1, LOST));
    assert_eq!(harness.decisions[&1].len(), 2);
    assert_eq!(harness.refusal(1).reason.status(), 502);
}

#[test]
fn non_idempotent_request_that_was_declined_is_sent_to_another_endpoint() {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.send(1, "/book/x");
    let first = harness.attempt(1).target;
    harness.apply(Event::AttemptEnded(1, End::Declined { status: 503 }));
    assert_ne!(harness.attempt(1).target, first);
    harness.apply(Event::AttemptEnded(1, End::Declined { status: 503 }));
    assert_eq!(harness.refusal(1).reason.status(), 503);
}

#[test]
fn non_idempotent_request_that_timed_out_is_not_refused_as_not_run() {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.send(1, "/book/x");
    harness.apply(Event::AttemptEnded(1, End::TimedOut { begun: false }));
    assert_eq!(harness.refusal(1).reason.status(), 504);
}

#[test]
fn endpoint_that_is_unreachable_uses_up_no_attempt() {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.send(1, "/read/x");
    harness.apply(Event::AttemptEnded(1, End::Unreachable));
    assert_eq!(harness.attempt(1).number, 1);
}

#[test]
fn retries_stay_within_the_budget() {
    let ids: Vec<String> = (0..60).map(|at| format!("p{at}")).collect();
    let targets: Vec<(&str, &str, &str, u32)> =
        ids.iter().map(|id| (id.as_str(), "desk", "a", 6)).collect();
    let mut harness = Harness::open(&targets);
    let mut retries = 0;
    for id in 1..=200 {
        harness.send(id, "/read/x");
        if !matches!(harness.last_decision(id), Some(Decision::Send(_))) {
            continue;
        }
        harness.apply(Event::AttemptEnded(id, LOST));
        if matches!(harness.last_decision(id), Some(Decision::Send(_))) {
            retries += 1;
            harness.apply(Event::AttemptEnded(id, LOST));
        }
    }
    // The 200 requests add 20 tokens to the budget, and half of the slack of 40 adds 20 more.
    assert!(retries <= 20 + 20, "{retries} retries");
}

#[test]
fn endpoint_does_not_count_as_stalled_after_a_pause_of_the_daemon() {
    let mut harness = Harness::open(TWO_GROUPS);
    harness.send(1, "/stream/x");
    let target = harness.attempt(1).target;
    harness.state.record_progress(&target, harness.now);
    harness.state.record_response_start(1, harness.now);
    harness.now = harness.now + Duration::from_secs(5);
    harness.advance(100);
    assert!(harness.hedges.is_empty());
}

#[test]
fn document_with_a_lower_version_is_ignored() {
    let mut harness = Harness::open(TWO_GROUPS);
    harness.receive(document(9));
    harness.receive(document(4));
    assert_eq!(harness.state.document().map(|document| document.version), Some(9));
}

#[test]
fn document_older_than_the_leader_s_does_not_make_a_daemon_ready() {
    let mut harness = Harness::starting();
    harness.apply(Event::Connected(SELECTED_CONTROL.into()));
    harness.receive(document(3));
    harness.status(5, &[]);
    assert!(!harness.state.is_ready());
    harness.receive(document(5));
    harness.status(5, &[]);
    assert!(harness.state.is_ready());
}

#[test]
fn crash_counts_only_if_the_endpoint_has_ended() {
    let mut harness = Harness::open(TWO_GROUPS);
    harness.send(1, "/stream/x");
    harness.apply(Event::AttemptEnded(1, LOST));
    harness.advance(200);
    assert!(harness.reported_crashes.is_empty());
    let first_decision = harness.decisions[&1].first().cloned();
    let Some(Decision::Send(attempt)) = first_decision else { panic!("the request was not sent") };
    let rest: Vec<_> =
        TWO_GROUPS.iter().filter(|target| *target.0 != *attempt.target).copied().collect();
    harness.view(2, &rest);
    harness.advance(200);
    assert_eq!(harness.reported_crashes, [1]);
}

#[test]
fn request_that_crashes_endpoints_is_refused_everywhere() {
    let mut harness = Harness::open(TWO_GROUPS);
    harness.status(1, &[77]);
    let mut request = request(1, "/stream/x", harness.now);
    request.fingerprint = 77;
    harness.apply(Event::RequestArrived(Box::new(request)));
    assert_eq!(harness.refusal(1).reason, Reason::Crashing);
    harness.send(2, "/stream/x");
    assert_eq!(harness.attempt(2).number, 1);
}

#[test]
fn split_follows_the_weights() {
    let mut route = route("split", Kind::Idempotent, "desk");
    route.split =
        [Share { service: "x".into(), weight: 9 }, Share { service: "y".into(), weight: 1 }]
            .into_iter()
            .collect();
    let route = Arc::new(route);
    let first =
        (0..1000).filter(|random| route.choose_service(*random) == Some(&"x".into())).count();
    assert_eq!(first, 900);
}

/// The number of reports to one control daemon must not grow in proportion to the entry daemons of
/// the deployment. In a large deployment, those that selected another one send it reports less
/// often; each report then contains all that they have not yet reported to it.
#[rstest]
#[case::small(6, 25..=26)]
#[case::large(81, 4..=5)]
fn report_to_a_control_daemon_that_is_not_selected_is_rarer_in_a_large_deployment(
    #[case] entry_daemons: u32,
    #[case] expected: RangeInclusive<usize>,
) {
    let mut harness = Harness::open(TWO_GROUPS);
    harness.entry_daemons = entry_daemons;
    harness.status(1, &[]);
    harness.apply(Event::Connected(UNSELECTED_CONTROL.into()));
    harness.advance(600);
    harness.unselected_reports.clear();
    harness.send(1, "/stream/x");
    harness.advance(1950);
    assert!(
        expected.contains(&harness.unselected_reports.len()),
        "{} reports",
        harness.unselected_reports.len()
    );
    let requested: u32 = harness
        .unselected_reports
        .iter()
        .flat_map(|report| &report.demand)
        .map(|demand| demand.requests)
        .sum();
    assert_eq!(requested, 1);
}

/// A new suspicion must reach all control daemons at once, because any of them may be the leader.
#[test]
fn report_of_a_suspicion_is_sent_to_all_at_once() {
    let mut harness = Harness::open(TWO_GROUPS);
    harness.entry_daemons = 800;
    harness.status(1, &[]);
    harness.apply(Event::Connected(UNSELECTED_CONTROL.into()));
    harness.send(1, "/stream/x");
    let target = harness.attempt(1).target;
    harness.apply(Event::AttemptEnded(1, End::Unreachable));
    harness.unselected_reports.clear();
    harness.advance(100);
    let reported = harness
        .unselected_reports
        .iter()
        .any(|report| report.suspects.contains(&target.to_string()));
    assert!(reported, "{:?}", harness.unselected_reports);
}

/// A daemon without memory for bodies loses the responses of sound endpoints, which must stay in use.
#[test]
fn endpoints_stay_in_use_when_the_daemon_has_no_memory_for_their_responses() {
    let mut harness = Harness::open(TWO_PLAIN);
    for id in 1..=20 {
        harness.send(id, "/read/x");
        assert!(matches!(harness.last_decision(id), Some(Decision::Send(_))), "request {id}");
        harness.apply(Event::AttemptEnded(id, End::Lost(Loss::NoMemory)));
        harness.apply(Event::AttemptEnded(id, End::Lost(Loss::NoMemory)));
    }
}
