//! What lost responses are evidence of.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_fleet::crash::attribution::{Attribution, Evidence};
use dotterelhoist_fleet::crash::bars::{Bars, BAR_TTL};
use dotterelhoist_fleet::crash::Feature;
use dotterelhoist_fleet::message::{Bar, Loss, Report, ServiceSurvival, Survival};
use proptest::prelude::*;
use rstest::rstest;

const SERVICE: &str = "llm";
/// Feature of the requests that crash endpoints.
const GUILTY: u64 = 1;
/// Feature of all requests.
const COMMON: u64 = 2;
/// Time between two ends.
const INTERVAL: Duration = Duration::from_millis(300);

/// What lost responses are attributed to; the evidence of all endpoints is the same.
struct Harness {
    now: Instant,
    attribution: Attribution,
    evidence: Evidence,
    barred: Vec<u64>,
    probes: usize,
    incarnations: u64,
}

impl Harness {
    fn open(evidence: Evidence) -> Harness {
        let now = Instant::from_millis(3_600_000);
        let (attribution, barred, probes, incarnations) = Default::default();
        Harness { now, attribution, evidence, barred, probes, incarnations }
    }

    /// A new incarnation loses requests with these features.
    fn lose(&mut self, features: &[u64]) {
        self.incarnations += 1;
        let loss = Loss {
            endpoint: format!("e{}", self.incarnations),
            started_unix_ms: self.incarnations,
            service: SERVICE.into(),
            age_ms: 0,
            features: features.to_vec(),
        };
        self.report(Report { losses: vec![loss], reports_losses: true, ..Report::default() });
    }

    /// Answers with these features survive, and one without any.
    fn survive(&mut self, features: &[u64]) {
        let survivals =
            features.iter().map(|feature| Survival { feature: *feature, age_ms: 0 }).collect();
        let service_survivals = vec![ServiceSurvival { service: SERVICE.into(), age_ms: 0 }];
        let report = Report { survivals, service_survivals, ..Report::default() };
        self.report(Report { reports_losses: true, ..report });
    }

    fn report(&mut self, report: Report) {
        self.attribution.record_report(self.now, &report);
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(25);
            let evidence = self.evidence;
            let findings = self.attribution.update(self.now, |_, _| evidence);
            self.probes += findings.probes.len();
            self.barred.extend(findings.new_bars.iter().map(|bar| bar.feature.0));
        }
    }
}

#[test]
fn feature_of_all_ends_is_barred_and_the_others_are_not() {
    let mut harness = Harness::open(Evidence::Ended);
    for round in 0..6 {
        harness.lose(&[GUILTY, COMMON, 10 + round]);
        harness.survive(&[COMMON]);
        harness.advance(INTERVAL);
    }
    assert_eq!(harness.barred, [GUILTY]);
}

/// A feature without a survival that was lost with most of the ends is not to blame for those that the
/// barred one explains.
#[test]
fn feature_lost_beside_the_barred_one_is_not_barred_after_it() {
    let mut harness = Harness::open(Evidence::Ended);
    for round in 0..8 {
        let rare = if round == 1 { 20 } else { 3 };
        harness.lose(&[GUILTY, COMMON, rare]);
        harness.survive(&[COMMON]);
        harness.advance(INTERVAL / 2);
    }
    harness.advance(INTERVAL * 10);
    assert_eq!(harness.barred, [GUILTY]);
}

#[rstest]
#[case::it_goes_on(Evidence::NoCrash, 0)]
#[case::not_known(Evidence::Unreachable, 0)]
#[case::not_known_yet(Evidence::Unknown, 1)]
fn loss_without_evidence_of_an_end_bars_nothing(
    #[case] evidence: Evidence,
    #[case] probes_min: usize,
) {
    let mut harness = Harness::open(evidence);
    for _ in 0..10 {
        harness.lose(&[GUILTY, COMMON]);
        harness.survive(&[]);
        harness.advance(INTERVAL);
    }
    assert!(harness.barred.is_empty());
    assert!(harness.probes >= probes_min && harness.probes <= 10 * 16, "{}", harness.probes);
}

#[test]
fn endpoints_that_end_at_the_same_moment_count_as_one_end() {
    let mut harness = Harness::open(Evidence::Ended);
    for _ in 0..2 {
        for _ in 0..20 {
            harness.lose(&[GUILTY, COMMON]);
        }
        harness.survive(&[]);
        harness.advance(INTERVAL * 4);
    }
    harness.advance(INTERVAL * 10);
    assert!(harness.barred.is_empty());
}

/// All daemons that lose responses with an endpoint report the same end.
#[test]
fn losses_of_several_daemons_with_one_incarnation_count_as_one_end() {
    let mut harness = Harness::open(Evidence::Ended);
    for _ in 0..7 {
        harness.incarnations = 0;
        harness.lose(&[GUILTY, COMMON]);
        harness.advance(INTERVAL);
    }
    harness.survive(&[]);
    harness.advance(INTERVAL * 10);
    assert!(harness.barred.is_empty());
}

#[test]
fn ends_while_no_request_survives_bar_nothing() {
    let mut harness = Harness::open(Evidence::Ended);
    for _ in 0..10 {
        harness.lose(&[GUILTY, COMMON]);
        harness.advance(INTERVAL);
    }
    assert!(harness.barred.is_empty());
}

#[test]
fn survivals_are_asked_for_before_a_feature_is_barred() {
    let mut harness = Harness::open(Evidence::Ended);
    for _ in 0..4 {
        harness.lose(&[GUILTY, COMMON]);
        harness.advance(INTERVAL / 3);
    }
    harness.advance(INTERVAL);
    assert_eq!(harness.attribution.suspected(), [GUILTY, COMMON]);
    harness.survive(&[COMMON]);
    harness.advance(INTERVAL * 3);
    assert_eq!(harness.barred, [GUILTY]);
}

#[test]
fn bar_ends_unless_endpoints_end_again() {
    let mut bars = Bars::default();
    let now = Instant::from_millis(1000);
    assert!(bars.merge(now, &[Bar { feature: GUILTY, left_ms: u32::MAX }]));
    assert!(!bars.merge(now, &[Bar { feature: GUILTY, left_ms: 5 }]));
    bars.expire(now + BAR_TTL.saturating_sub(Duration::from_millis(1)));
    assert!(bars.contains(Feature(GUILTY)));
    bars.expire(now + BAR_TTL);
    assert!(!bars.contains(Feature(GUILTY)));
}

/// An entry daemon of an older build reports the fingerprints of requests that it counts as crashes.
#[test]
fn crashes_counted_by_older_entry_daemons_are_barred() {
    let mut harness = Harness::open(Evidence::Unknown);
    for _ in 0..3 {
        assert!(harness.attribution.bars(harness.now).is_empty());
        harness.report(Report { crashed: vec![GUILTY], ..Report::default() });
    }
    assert_eq!(harness.attribution.bars(harness.now)[0].feature, GUILTY);
}

/// The same reports of a daemon that also reports its losses are for older control daemons only.
#[test]
fn crashes_counted_by_entry_daemons_that_report_losses_are_ignored() {
    let mut harness = Harness::open(Evidence::NoCrash);
    for _ in 0..3 {
        let report = Report { crashed: vec![GUILTY], ..Report::default() };
        harness.report(Report { reports_losses: true, ..report });
    }
    assert!(harness.attribution.bars(harness.now).is_empty());
}

proptest! {
    /// Whatever is reported, only features are barred that were lost in three ends or more since they
    /// last survived.
    #[test]
    fn barred_features_were_lost_three_times_since_they_last_survived(
        events in prop::collection::vec((any::<bool>(), prop::collection::vec(1u64..6, 1..4)), 1..40),
    ) {
        let mut harness = Harness::open(Evidence::Ended);
        let mut ends = [0u32; 6];
        for (is_end, features) in events {
            for feature in 1..6u64 {
                if features.contains(&feature) {
                    let count = &mut ends[feature as usize];
                    *count = if is_end { *count + 1 } else { 0 };
                }
            }
            match is_end {
                true => harness.lose(&features),
                false => harness.survive(&features),
            }
            let before = harness.barred.len();
            harness.advance(INTERVAL);
            for feature in &harness.barred[before..] {
                prop_assert!(ends[*feature as usize] >= 3, "{feature}: {ends:?}");
            }
        }
    }
}
