//! Tests of admission, the retry budget, route ejection and the choice of repair actions.

use std::time::Duration;

use dotterelhoist_core::admit::{Queue, Quota, Refusal, Waiting};
use dotterelhoist_core::clock::Instant;
use dotterelhoist_core::policy::Policy;
use dotterelhoist_core::repair::{decide, Action, Situation};
use dotterelhoist_core::retry::{Budget, Health};
use rstest::rstest;

fn quota(workspace: &str, share: u32) -> Quota {
    Quota { workspace: workspace.into(), share, queue: 1000 }
}

fn waiting(request: u64, priority: u8, deadline_ms: u64) -> Waiting {
    Waiting { request, cost: 1.0, deadline: Instant::from_millis(deadline_ms), priority }
}

/// A workspace that sends ten times as many requests as another must not reduce the other's share.
#[rstest]
#[case::equal(1, 1)]
#[case::three_to_one(3, 1)]
fn queue_starts_are_proportional_to_shares(#[case] a: u32, #[case] b: u32) {
    let mut queue = Queue::default();
    let mut next = 0;
    let mut started = [0u32; 2];
    for round in 0..4000u64 {
        let now = Instant::from_millis(1_000_000 + round * 10);
        for _ in 0..10 {
            next += 2;
            queue.push(&quota("greedy", a), waiting(next, 5, 9_000_000), now).ok();
        }
        next += 2;
        queue.push(&quota("modest", b), waiting(next + 1, 5, 9_000_000), now).ok();
        if let Some(waiting) = queue.start(now) {
            started[waiting.request as usize % 2] += 1;
        }
    }
    let expected = 4000.0 * f64::from(b) / f64::from(a + b);
    let started = f64::from(started[1]);
    assert!((started - expected).abs() <= expected * 0.02, "started {started} of {expected}");
}

#[test]
fn queue_priority_orders_within_a_workspace() {
    let mut queue = Queue::default();
    let now = Instant::from_millis(1_000_000);
    for (request, priority) in [(1, 5), (2, 1), (3, 9), (4, 1)] {
        let pushed = queue.push(&quota("w", 1), waiting(request, priority, 9_000_000), now);
        assert_eq!(pushed, Ok(()));
    }
    let order: Vec<u64> =
        (0..4).filter_map(|_| queue.start(now)).map(|waiting| waiting.request).collect();
    assert_eq!(order, [2, 4, 1, 3]);
}

/// A request that cannot finish before its deadline is refused on arrival, with a delay after which
/// it may be retried, instead of waiting until its deadline passes.
#[test]
fn queue_late_request_is_refused_on_arrival() {
    let mut queue = Queue::default();
    let mut now = 1_000_000;
    for request in 0..400 {
        let pushed = queue.push(
            &quota("w", 1),
            waiting(request, 5, now + 100_000),
            Instant::from_millis(now),
        );
        assert_eq!(pushed, Ok(()));
        if request % 4 == 0 {
            queue.start(Instant::from_millis(now));
        }
        now += 25;
    }
    let late = waiting(1000, 5, now + 2000);
    let refused = queue.push(&quota("w", 1), late, Instant::from_millis(now));
    let Err(Refusal::TooLate(wait)) = refused else { panic!("{refused:?}") };
    assert!(wait > Duration::from_secs(10), "300 waiting, 10 started per second: {wait:?}");
}

#[test]
fn queue_expire_removes_request_before_its_deadline() {
    let mut queue = Queue::default();
    let now = Instant::from_millis(1_000_000);
    queue.record_duration(Duration::from_millis(800));
    assert_eq!(queue.push(&quota("w", 1), waiting(1, 5, 1_002_000), now), Ok(()));
    assert_eq!(queue.expire(Instant::from_millis(1_001_100)), Vec::<u64>::new());
    assert_eq!(queue.expire(Instant::from_millis(1_001_300)), [1]);
    assert!(queue.is_empty());
}

/// If every attempt fails, retries must not exceed the configured ratio of a tenth of the requests.
#[test]
fn budget_limits_retries_to_ratio() {
    let mut budget = Budget::new(0.1);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        for _ in 0..3 {
            retries += u32::from(budget.withdraw());
        }
    }
    assert!(retries <= 1000, "{retries} retries of 10000 requests");
}

#[test]
fn health_ejection_grows_with_each_failure() {
    let mut health = Health::default();
    let mut now = Instant::from_millis(1_000_000);
    let mut last = Duration::ZERO;
    for _ in 0..4 {
        assert!(health.record_failure(now));
        let mut ejected = Duration::ZERO;
        while health.is_ejected(now) {
            now = now + Duration::from_millis(100);
            ejected += Duration::from_millis(100);
        }
        assert!(ejected > last);
        last = ejected;
        assert!(health.admits(now, 0) && !health.admits(now, 1));
        health.record_sent();
        assert!(!health.admits(now, 0), "a second probe request was admitted");
    }
    health.record_success();
    assert!(health.admits(now, 5));
}

fn situation(silence_s: u64, enough_spares: bool, other_domain: bool) -> Situation {
    Situation {
        silence: Duration::from_secs(silence_s),
        missing: 1,
        idle_accelerators: 56,
        lost_permanently: false,
        enough_spares,
        other_domain,
        load_delay: 0.0,
    }
}

/// The action depends on the weights of the policy: if downtime is weighted highly, the group is
/// kept; if stranded accelerators are, its VMs are released sooner.
#[rstest]
#[case::downtime_weight_waits_for_a_pause(1.0, 0.002, situation(3, true, false), Action::Wait)]
#[case::downtime_weight_takes_a_spare(1.0, 0.002, situation(40, true, false), Action::Replace)]
#[case::downtime_weight_reforms_in_other_domain(
    1.0,
    0.002,
    situation(40, false, true),
    Action::Reform
)]
#[case::downtime_weight_waits_without_spares(1.0, 0.002, situation(10, false, false), Action::Wait)]
#[case::stranded_weight_releases_sooner(0.2, 0.02, situation(16, false, false), Action::Shrink)]
fn decide_follows_weights(
    #[case] downtime_weight: f64,
    #[case] stranded_weight: f64,
    #[case] situation: Situation,
    #[case] expected: Action,
) {
    let policy =
        Policy { downtime_weight, stranded_weight, load_seconds: 30.0, ..Policy::default() };
    assert_eq!(decide(&situation, &policy), expected);
}

#[test]
fn decide_permanent_loss_is_replaced_at_once() {
    let lost = Situation { lost_permanently: true, ..situation(2, true, false) };
    assert_eq!(decide(&lost, &Policy::default()), Action::Replace);
}
