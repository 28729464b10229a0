//! Which endpoints have ended, of those that entry daemons lost responses with.

use std::time::Duration;

use dotterelhoist_fleet::message::{Loss, Report, ServiceSurvival};
use dotterelhoist_fleet::Name;
use rstest::rstest;

use crate::cluster::Cluster;
use crate::{serving_cluster, SECOND};

const FEATURE: u64 = 7;

/// What happens to the heads with which responses are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Killed,
    Restarted,
    /// They go on.
    None,
    /// They go on, and control daemons can't reach them: connections are refused.
    Partitioned,
    /// They leave as planned.
    Deregistered,
}

fn befall(cluster: &mut Cluster, head: &Name, fate: Fate) {
    match fate {
        Fate::Killed => cluster.kill_engines(std::slice::from_ref(head)),
        Fate::Restarted => cluster.restart_engine(head),
        Fate::Partitioned => {
            cluster.engines.get_mut(head).expect("it exists").partitioned = true;
        }
        Fate::Deregistered => cluster.deregister(head),
        Fate::None => {}
    }
}

/// Four heads lose responses to requests with [`FEATURE`], one after the other; others of the service survive.
/// The entry daemon may not know the incarnation, and then states none.
#[rstest]
#[case::silent_for_good(Fate::Killed, 1, true)]
#[case::restarted(Fate::Restarted, 1, true)]
#[case::going_on(Fate::None, 1, false)]
#[case::going_on_with_unknown_incarnation(Fate::None, 0, false)]
#[case::partitioned_from_control(Fate::Partitioned, 1, false)]
#[case::leaving(Fate::Deregistered, 1, false)]
fn feature_is_barred_only_if_the_endpoints_have_ended(
    #[case] fate: Fate,
    #[case] started_unix_ms: u64,
    #[case] barred: bool,
) {
    let mut cluster = serving_cluster(2);
    let heads = cluster.heads();
    if fate == Fate::Partitioned {
        cluster.progress = heads.iter().map(ToString::to_string).collect();
    }
    for head in heads {
        let loss = Loss {
            endpoint: head.to_string(),
            started_unix_ms,
            service: "llm".to_owned(),
            age_ms: 0,
            features: vec![FEATURE],
        };
        befall(&mut cluster, &head, fate);
        cluster.report(&Report { losses: vec![loss], reports_losses: true, ..Report::default() });
        cluster.run(Duration::from_millis(400));
        let survival = ServiceSurvival { service: "llm".to_owned(), age_ms: 0 };
        let service_survivals = vec![survival];
        cluster.report(&Report { service_survivals, reports_losses: true, ..Report::default() });
    }
    cluster.run(SECOND * 4);
    assert_eq!(cluster.barred.contains(&FEATURE), barred);
}
