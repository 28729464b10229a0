//! Tests of the control daemons under failures: documents, serving groups and leader changes.

use std::collections::BTreeSet;
use std::time::Duration;

use dotterelhoist_fleet::control::{Answer, Event};
use dotterelhoist_fleet::message::{Body, Directory};
use dotterelhoist_fleet::Name;
use rstest::rstest;

mod claims;
mod cluster;
mod departures;
mod engine;
mod evidence;
mod late;
mod service;

use self::cluster::{daemon_names, Cluster, STALL_TIMEOUT};
use self::service::Shape;

const SECOND: Duration = Duration::from_secs(1);

/// A cluster with a document in force, open groups and callers that send requests.
fn serving_cluster(domains: usize) -> Cluster {
    serving_cluster_with(Shape { domains, ..Shape::default() })
}

fn serving_cluster_with(shape: Shape) -> Cluster {
    let mut cluster = Cluster::open_with(shape);
    assert!(
        cluster.run_until(SECOND * 5, |cluster| cluster.leader().is_some()),
        "no leader after 5 s"
    );
    let first = daemon_names()[0].clone();
    let ticket = cluster.put(&first, "1");
    let accepted = |cluster: &Cluster| cluster.answers.get(&ticket) == Some(&Answer::Accepted);
    assert!(cluster.run_until(SECOND * 3, accepted), "the document was not accepted within 3 s");
    let expected = shape.domains * 2;
    assert!(
        cluster.run_until(SECOND * 30, |cluster| cluster.open_groups() >= expected),
        "too few open groups after 30 s"
    );
    cluster.run(SECOND * 14);
    cluster.traffic = true;
    cluster.run(SECOND);
    cluster
}

#[test]
fn document_put_at_a_follower_is_accepted_and_read_everywhere() {
    let mut cluster = serving_cluster(1);
    for name in daemon_names() {
        let put = cluster.put(&name, "7");
        cluster.run(SECOND);
        assert_eq!(cluster.answers.get(&put), Some(&Answer::Accepted), "put at {name}");
        let get = cluster.get(&name);
        cluster.run(SECOND);
        assert_eq!(cluster.answers.get(&get), Some(&Answer::Document(b"7".to_vec())));
    }
}

/// Only the leader to which a call was forwarded can answer it.
#[rstest]
#[case::forwarded_to_the_leader(false)]
#[case::not_forwarded(true)]
fn answer_that_was_not_asked_for_is_ignored(#[case] leaderless: bool) {
    let mut cluster = serving_cluster(1);
    let leader = cluster.leader().expect("a leader");
    let followers: Vec<Name> = daemon_names().into_iter().filter(|name| *name != leader).collect();
    cluster.control_partitioned = true;
    if leaderless {
        cluster.run(SECOND * 3);
    }
    let put = cluster.put(&followers[0], "7");
    let from = if leaderless { &leader } else { &followers[1] };
    cluster.answer_call(&followers[0], from, put);
    assert_eq!(cluster.answers.get(&put), None);
    cluster.run(SECOND * 3);
    assert_eq!(cluster.answers.get(&put), Some(&Answer::Unavailable));
}

/// Guards against CONFIG: a daemon whose control daemons were all replaced had no way to the present ones.
#[rstest]
#[case::by_the_settings(None)]
#[case::by_an_entry_daemon(Some("entry"))]
#[case::by_a_control_daemon(Some("127.0.0.9"))]
fn control_daemons_that_others_name_are_connected_to(#[case] named_by: Option<&str>) {
    let mut cluster = serving_cluster(1);
    let own = daemon_names()[0].clone();
    let names: [Name; 3] = [own.clone(), "127.0.0.8".into(), daemon_names()[1].clone()];
    cluster.dialed.clear();
    let event = match named_by {
        None => Event::SeedsChanged(names.to_vec()),
        Some(from) => {
            let control_daemons = names.iter().map(ToString::to_string).collect();
            let body = Body::Directory(Directory { control_daemons });
            Event::Received { from: from.into(), body, random: 1 }
        }
    };
    cluster.apply(&own, event);
    assert_eq!(cluster.dialed, [(own, "127.0.0.8".into())]);
}

/// Guards against CONFIG: control daemons without a vote never learned of each other, nor of endpoints that the other one knew.
#[rstest]
fn control_daemons_are_introduced_to_each_other_as_they_come(
    #[values(&["8", "9"], &["9", "8"])] order: &[&str],
    #[values(false, true)] first_is_lost: bool,
) {
    let mut cluster = serving_cluster(1);
    let own = daemon_names()[0].clone();
    for daemon in daemon_names() {
        cluster.apply(&own, Event::Lost(daemon));
    }
    cluster.named.clear();
    let (first, second): (Name, Name) = (order[0].into(), order[1].into());
    cluster.apply(&own, Event::Reached(first.clone()));
    assert_eq!(cluster.named, []);
    if first_is_lost {
        cluster.apply(&own, Event::Lost(first.clone()));
    }
    cluster.apply(&own, Event::Reached(second.clone()));
    let expected = match first_is_lost {
        true => vec![],
        false => vec![
            (own.clone(), first.clone(), vec![second.to_string()]),
            (own, second, vec![first.to_string()]),
        ],
    };
    assert_eq!(cluster.named, expected);
}

#[rstest]
#[case::older("3")]
#[case::same("7")]
fn document_not_newer_is_acknowledged_without_effect(#[case] version: &str) {
    let mut cluster = serving_cluster(1);
    let first = daemon_names()[0].clone();
    cluster.put(&first, "7");
    cluster.run(SECOND);
    let put = cluster.put(&first, version);
    cluster.run(SECOND);
    assert_eq!(cluster.answers.get(&put), Some(&Answer::Accepted));
    let get = cluster.get(&first);
    cluster.run(SECOND);
    assert_eq!(cluster.answers.get(&get), Some(&Answer::Document(b"7".to_vec())));
}

#[test]
fn document_malformed_is_refused_at_once() {
    let mut cluster = serving_cluster(1);
    let put = cluster.put(&daemon_names()[1], "x");
    assert!(matches!(cluster.answers.get(&put), Some(Answer::Invalid(_))));
}

#[test]
fn document_acknowledged_survives_the_leaders_failure() {
    let mut cluster = serving_cluster(1);
    let Some(leader) = cluster.leader() else { panic!("no leader") };
    let put = cluster.put(&leader, "9");
    let accepted = |cluster: &Cluster| cluster.answers.contains_key(&put);
    assert!(cluster.run_until(SECOND, accepted));
    cluster.kill(&leader);
    assert!(
        cluster.run_until(SECOND * 5, |cluster| cluster.leader().is_some()),
        "no new leader after 5 s"
    );
    cluster.run(SECOND);
    for name in daemon_names().iter().filter(|name| **name != leader) {
        let get = cluster.get(name);
        cluster.run(SECOND * 2);
        assert_eq!(cluster.answers.get(&get), Some(&Answer::Document(b"9".to_vec())), "{name}");
    }
}

/// Daemons that start at the same moment must not split the votes in repeated elections, which
/// would leave the log without a leader.
#[test]
fn leader_is_elected_soon_after_all_daemons_start() {
    let mut cluster = Cluster::open(1);
    let election_limit = Duration::from_millis(1600);
    assert!(
        cluster.run_until(election_limit, |cluster| cluster.leader().is_some()),
        "no leader after the first start"
    );
    for _ in 0..10 {
        for name in daemon_names() {
            cluster.kill(&name);
        }
        for name in daemon_names() {
            cluster.start(&name, &format!("{name}#0"));
        }
        assert!(
            cluster.run_until(election_limit, |cluster| cluster.leader().is_some()),
            "no leader after a restart"
        );
    }
}

/// A daemon that replays its log after a restart must not report that it is up to date while it
/// still has an older document.
#[test]
fn document_reported_up_to_date_after_a_restart_of_all_is_the_newest() {
    let mut cluster = serving_cluster(1);
    for version in 2..40 {
        cluster.put(&daemon_names()[0], &version.to_string());
        cluster.run(Duration::from_millis(100));
    }
    cluster.run(SECOND);
    cluster.up_to_date_reports.clear();
    for round in 0..20 {
        for name in daemon_names() {
            cluster.kill(&name);
        }
        cluster.run(Duration::from_millis(25 * round));
        for name in daemon_names() {
            cluster.start(&name, &format!("{name}#0"));
        }
        cluster.run(SECOND * 4);
    }
    assert!(!cluster.up_to_date_reports.is_empty(), "no daemon reported that it is up to date");
    let older: Vec<_> =
        cluster.up_to_date_reports.iter().filter(|(_, version)| *version < 39).collect();
    assert!(older.is_empty(), "{older:?}");
}

/// A daemon that replays many documents must not decode each: with large ones, that would keep it
/// from answering the leader for seconds.
#[test]
fn document_is_decoded_only_once_after_a_restart() {
    let mut cluster = serving_cluster(1);
    let (first, last) = (daemon_names()[0].clone(), daemon_names()[2].clone());
    for version in 2..60 {
        cluster.put(&first, &version.to_string());
        cluster.run(Duration::from_millis(100));
    }
    cluster.run(SECOND);
    cluster.kill(&last);
    cluster.reads.set(0);
    cluster.start(&last, &format!("{last}#0"));
    cluster.run(SECOND * 3);
    assert_eq!(cluster.daemons[&last].state_machine().version(), 59);
    assert!(cluster.reads.get() <= 2, "{} documents were decoded", cluster.reads.get());
}

/// Each daemon decodes a new document once, also the one that the operator sent it to.
#[test]
fn document_is_decoded_once_by_each_daemon() {
    let mut cluster = serving_cluster(1);
    cluster.reads.set(0);
    cluster.put(&daemon_names()[1], "2");
    cluster.run(SECOND);
    assert_eq!(cluster.reads.get(), daemon_names().len());
}

#[test]
fn document_read_without_quorum_is_unavailable() {
    let mut cluster = serving_cluster(1);
    let all = daemon_names();
    cluster.kill(&all[0]);
    cluster.kill(&all[1]);
    cluster.run(SECOND * 2);
    let get = cluster.get(&all[2]);
    cluster.run(SECOND * 2);
    assert_eq!(cluster.answers.get(&get), Some(&Answer::Unavailable));
}

#[test]
fn voter_on_an_empty_disk_is_replaced_and_holds_the_document() {
    let mut cluster = serving_cluster(1);
    let put = cluster.put(&daemon_names()[0], "11");
    cluster.run(SECOND);
    assert_eq!(cluster.answers.get(&put), Some(&Answer::Accepted));
    let lost = daemon_names()[2].clone();
    cluster.kill(&lost);
    cluster.run(SECOND);
    cluster.disks.remove(&lost);
    cluster.start(&lost, &format!("{lost}#77"));
    cluster.run(SECOND * 5);
    assert_eq!(cluster.daemons[&lost].state_machine().version(), 11);
    let first = daemon_names()[0].clone();
    cluster.kill(&first);
    assert!(
        cluster.run_until(SECOND * 6, |cluster| cluster.leader().is_some()),
        "the replacement voter did not help to elect a leader"
    );
}

#[test]
fn groups_form_of_both_models_in_each_domain() {
    let cluster = serving_cluster(3);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    assert!(cluster.open_groups() >= 6, "{} open groups of 6", cluster.open_groups());
}

/// Callers may send requests before the first group is formed, when no VM holds a model and the
/// rate of loads from the weight store is limited.
#[test]
fn groups_form_after_callers_have_sent_requests() {
    let mut cluster = Cluster::open(2);
    cluster.traffic = true;
    assert!(
        cluster.run_until(SECOND * 5, |cluster| cluster.leader().is_some()),
        "no leader after 5 s"
    );
    cluster.put(&daemon_names()[0], "1");
    assert!(
        cluster.run_until(SECOND * 40, |cluster| cluster.open_groups() >= 4),
        "fewer than 4 open groups after 40 s"
    );
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

#[test]
fn group_that_loses_a_member_is_replaced() {
    let mut cluster = serving_cluster(2);
    let before = cluster.open_groups();
    let Some(head) = cluster.heads().into_iter().find(|head| cluster.members(head).len() == 4)
    else {
        panic!("no open group with 4 members")
    };
    let member = cluster.members(&head)[2].clone();
    cluster.kill_engines(std::slice::from_ref(&member));
    cluster.run(SECOND * 15);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    assert!(
        cluster.open_groups() >= before - 1,
        "{} open groups, {before} before",
        cluster.open_groups()
    );
}

/// In a domain with spare endpoints, a lost member of a group of either model is replaced by a
/// spare whose VM already holds the model, without a load from the weight store.
#[rstest]
#[case::small(4)]
#[case::large(8)]
fn group_that_loses_a_member_takes_a_spare_that_holds_its_model(#[case] size: usize) {
    let mut cluster = serving_cluster_with(Shape { domains: 1, endpoints: 19, large: 8, small: 4 });
    let before = cluster.open_groups();
    let heads = cluster.heads();
    let Some(head) = heads.iter().find(|head| cluster.members(head).len() == size) else {
        panic!("no open group with {size} members")
    };
    let member = cluster.members(head)[2].clone();
    cluster.kill_engines(std::slice::from_ref(&member));
    let lost = |cluster: &Cluster| cluster.open_groups() < before;
    assert!(
        cluster.run_until(SECOND * 6, lost),
        "the lost member did not take its group out of service"
    );
    let repaired = |cluster: &Cluster| cluster.open_groups() == before;
    assert!(
        cluster.run_until(SECOND * 8, repaired),
        "{} open groups, {before} before",
        cluster.open_groups()
    );
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

/// A free endpoint keeps a model in memory and has the other on its VM. A group that loses a member
/// other than its head opens again as soon as an endpoint with the model in memory has joined.
#[rstest]
#[case::small(3)]
#[case::large(6)]
fn group_that_loses_a_member_opens_again_with_a_spare_in_memory(#[case] size: usize) {
    let mut cluster = serving_cluster_with(Shape { domains: 2, endpoints: 11, large: 6, small: 3 });
    let before = cluster.open_groups();
    let head = cluster.head_of_size(size);
    let member = cluster.members(&head)[1].clone();
    cluster.kill_engines(std::slice::from_ref(&member));
    let lost = |cluster: &Cluster| cluster.open_groups() < before;
    assert!(cluster.run_until(SECOND * 6, lost), "the group was not taken out of service");
    let repaired = |cluster: &Cluster| cluster.open_groups() == before;
    assert!(
        cluster.run_until(SECOND, repaired),
        "{} open groups one second after the loss, {before} before",
        cluster.open_groups()
    );
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

/// Consecutive losses in one domain use up its spares, first of one model, then of the other.
#[test]
fn spare_in_memory_for_one_model_replaces_a_member_of_another() {
    let mut cluster = serving_cluster_with(Shape { domains: 1, endpoints: 11, large: 6, small: 3 });
    for _ in 0..2 {
        let head = cluster.head_of_size(6);
        let member = cluster.members(&head)[1].clone();
        cluster.kill_engines(std::slice::from_ref(&member));
        assert!(cluster.run_until(SECOND * 6, |cluster| cluster.open_groups() < 2), "not noticed");
        assert!(
            cluster.run_until(SECOND * 3, |cluster| cluster.open_groups() == 2),
            "the group was not formed again without a load from the weight store"
        );
    }
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

/// When all endpoints of a fabric domain restart, each has only the weights on its VM. The groups
/// that served there must be formed again from those, without a load from the weight store.
#[test]
fn groups_of_a_domain_that_restarts_are_formed_again_without_loads() {
    let shape = Shape { domains: 2, endpoints: 11, large: 6, small: 3 };
    let mut cluster = serving_cluster_with(shape);
    cluster.run(SECOND * 5);
    let ids: Vec<Name> = cluster.engines.keys().take(shape.endpoints).cloned().collect();
    cluster.kill_engines(&ids);
    cluster.run(SECOND * 8);
    for id in &ids {
        cluster.restart_engine(id);
    }
    cluster.run(SECOND * 5);
    let sizes = |cluster: &Cluster| {
        let heads = cluster.heads().into_iter().filter(|head| ids.contains(head));
        let mut sizes: Vec<usize> = heads.map(|head| cluster.members(&head).len()).collect();
        sizes.sort_unstable();
        sizes
    };
    assert_eq!(sizes(&cluster), [3, 6], "groups of the restarted domain");
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

/// Endpoints that come back on empty VMs need many models at once. The weight store serves six
/// copies at full speed; more would delay those that the next group waits for.
#[test]
fn copies_at_once_stay_within_what_the_weight_store_serves() {
    let shape = Shape { domains: 3, endpoints: 11, large: 6, small: 3 };
    let mut cluster = serving_cluster_with(shape);
    let ids: Vec<Name> = cluster.engines.keys().take(2 * shape.endpoints).cloned().collect();
    cluster.kill_engines(&ids);
    cluster.run(SECOND * 8);
    for id in &ids {
        cluster.erase_weights(id);
        cluster.restart_engine(id);
    }
    assert!(
        !cluster.run_until(SECOND * 20, |cluster| cluster.copying() > 6),
        "{} copies at once",
        cluster.copying()
    );
}

/// A leader that was not running when a head terminated never hears of it. The group's other members
/// must become free all the same.
#[test]
fn members_of_a_head_that_the_leader_never_knew_become_free() {
    let mut cluster = serving_cluster_with(Shape { domains: 1, endpoints: 11, large: 6, small: 3 });
    let head = cluster.head_of_size(6);
    cluster.kill_engines(std::slice::from_ref(&head));
    assert!(cluster.run_until(SECOND * 6, |cluster| cluster.open_groups() < 2), "not noticed");
    for name in daemon_names() {
        cluster.kill(&name);
    }
    for name in daemon_names() {
        cluster.start(&name, &format!("{name}#0"));
    }
    let formed_again = |cluster: &Cluster| cluster.open_groups() == 2;
    assert!(cluster.run_until(SECOND * 15, formed_again), "{} of 2 groups", cluster.open_groups());
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

/// A partition may reset connections, so a refused connection does not prove that a head has
/// terminated. The head may still run requests, and its members must not join other groups.
#[test]
fn head_partitioned_with_connection_resets_keeps_its_members() {
    let mut cluster = serving_cluster(2);
    for head in cluster.heads() {
        for member in cluster.members(&head) {
            if let Some(engine) = cluster.engines.get_mut(&member) {
                engine.partitioned = true;
            }
        }
    }
    cluster.run(SECOND * 6);
    let all: Vec<Name> = cluster.engines.keys().cloned().collect();
    for id in &all {
        if let Some(engine) = cluster.engines.get_mut(id) {
            engine.partitioned = false;
        }
    }
    cluster.run(SECOND * 20);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    assert!(cluster.open_groups() >= 4, "{} open groups of 4", cluster.open_groups());
}

/// The groups of a partitioned zone still serve the callers in that zone, so they must not be
/// dissolved.
#[test]
fn groups_of_a_partitioned_zone_are_kept() {
    let mut cluster = serving_cluster(2);
    let remote: Vec<Name> = cluster.engines.keys().skip(8).cloned().collect();
    let groups = |cluster: &Cluster| -> Vec<_> {
        remote.iter().map(|id| cluster.engines[id].membership.clone()).collect()
    };
    let before = groups(&cluster);
    cluster.zone_partitioned = true;
    for id in &remote {
        if let Some(engine) = cluster.engines.get_mut(id) {
            engine.partitioned = true;
        }
    }
    cluster.suspects = remote.iter().map(ToString::to_string).collect();
    cluster.run(SECOND);
    cluster.suspects.clear();
    cluster.run(SECOND * 6);
    cluster.zone_partitioned = false;
    for id in &remote {
        cluster.heal(id);
    }
    cluster.run(SECOND * 6);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    assert_eq!(groups(&cluster), before);
}

#[test]
fn head_that_deregisters_keeps_its_members_until_released() {
    let mut cluster = serving_cluster(2);
    for head in cluster.heads().into_iter().take(3) {
        cluster.deregister(&head);
    }
    cluster.run(SECOND * 15);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

#[test]
fn head_partitioned_alone_frees_its_members_after_the_stall_time() {
    let mut cluster = serving_cluster(2);
    let Some(head) = cluster.heads().into_iter().next() else { panic!("no open group") };
    if let Some(engine) = cluster.engines.get_mut(&head) {
        engine.partitioned = true;
    }
    cluster.run(SECOND * 20);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

#[test]
fn orders_executed_late_violate_no_invariant() {
    let mut cluster = serving_cluster(2);
    for _ in 0..4 {
        let Some(head) = cluster.heads().into_iter().next() else { break };
        let member = cluster.members(&head).last().cloned();
        if let Some(engine) = member.and_then(|member| cluster.engines.get_mut(&member)) {
            engine.dead = true;
        }
        cluster.delay_orders = true;
        cluster.run(SECOND * 3);
        cluster.delay_orders = false;
        cluster.run(SECOND * 3);
    }
    cluster.run(SECOND * 30);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

#[test]
fn engines_restarted_under_their_identity_join_groups_again() {
    let mut cluster = serving_cluster(2);
    let all: Vec<Name> = cluster.engines.keys().take(8).cloned().collect();
    cluster.kill_engines(&all);
    cluster.run(SECOND * 3);
    for id in &all {
        cluster.restart_engine(id);
    }
    cluster.run(SECOND * 25);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    assert!(cluster.open_groups() >= 5, "{} open groups of 5", cluster.open_groups());
}

#[test]
fn leader_killed_while_groups_dissolve_violates_no_invariant() {
    let mut cluster = serving_cluster(2);
    for round in 0..3 {
        let Some(head) = cluster.heads().into_iter().next() else { break };
        let member = cluster.members(&head).last().cloned();
        if let Some(engine) = member.and_then(|member| cluster.engines.get_mut(&member)) {
            engine.dead = true;
        }
        cluster.run(Duration::from_millis(3100 + 100 * round));
        let Some(leader) = cluster.leader() else { continue };
        cluster.kill(&leader);
        cluster.run(SECOND / 2);
        cluster.start(&leader, &format!("{leader}#0"));
        cluster.run(SECOND * 6);
    }
    cluster.run(SECOND * 10);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

/// After a restart of all control daemons, entry daemons must learn the group heads from the log at
/// once, not only from heartbeats that arrive over the next heartbeat interval.
#[test]
fn groups_are_in_the_view_as_soon_as_a_leader_is_elected() {
    let mut cluster = serving_cluster(2);
    let heads: BTreeSet<Name> = cluster.heads().into_iter().collect();
    for name in daemon_names() {
        cluster.kill(&name);
    }
    cluster.run(SECOND);
    for name in daemon_names() {
        cluster.start(&name, &format!("{name}#0"));
    }
    cluster.heads_in_view.clear();
    for engine in cluster.engines.values_mut() {
        engine.partitioned = true;
    }
    let complete = |cluster: &Cluster| heads.is_subset(&cluster.heads_in_view);
    assert!(cluster.run_until(SECOND, complete), "{:?} of {heads:?}", cluster.heads_in_view);
    cluster.run(SECOND * 3);
    assert!(cluster.heads_in_view.is_empty(), "heads without heartbeats are still in the view");
}

/// A document must never be sent to an entry daemon that did not ask for it: with six control
/// daemons, each entry daemon would receive six copies. Every one of them must learn of it.
#[test]
fn document_is_stated_to_all_entry_daemons_and_sent_to_those_that_ask() {
    let mut cluster = serving_cluster(1);
    let control = daemon_names()[0].clone();
    for number in 0..40 {
        cluster.connect(&control, &format!("x{number}"));
    }
    cluster.run(SECOND);
    cluster.documents_sent.clear();
    let ticket = cluster.put(&control, "2");
    let accepted = |cluster: &Cluster| cluster.answers.get(&ticket) == Some(&Answer::Accepted);
    assert!(cluster.run_until(SECOND * 3, accepted), "the document was not accepted within 3 s");
    cluster.versions_stated.clear();
    cluster.run(SECOND / 2);
    for number in 0..40 {
        let entry = format!("x{number}").into();
        assert!(cluster.versions_stated.contains(&(entry, 2)), "x{number} does not know of it");
    }
    assert!(cluster.documents_sent.is_empty(), "{:?}", cluster.documents_sent);
    cluster.fetch(&control, "x1", 1);
    cluster.fetch(&control, "x2", 0);
    cluster.fetch(&control, "x3", 2);
    let sent: Vec<_> = cluster
        .documents_sent
        .iter()
        .map(|(to, patch)| (&**to, patch.version, patch.base))
        .collect();
    assert_eq!(sent, [("x1", 2, 1), ("x2", 2, 0)]);
}

/// The entry daemon that selected a control daemon must learn of a document as soon as that daemon
/// has applied it.
#[test]
fn document_is_stated_at_once_to_entry_daemons_that_selected_the_control_daemon() {
    let mut cluster = serving_cluster(1);
    let control = daemon_names()[0].clone();
    for version in 2..12 {
        let ticket = cluster.put(&control, &version.to_string());
        let accepted = |cluster: &Cluster| cluster.answers.get(&ticket) == Some(&Answer::Accepted);
        assert!(cluster.run_until(SECOND * 3, accepted), "not accepted within 3 s");
        let stated =
            |cluster: &Cluster| cluster.versions_stated.contains(&("entry".into(), version));
        assert!(cluster.run_until(cluster::STEP * 4, stated), "version {version} not stated");
        cluster.run(Duration::from_millis(110));
    }
}

/// A lease that lapses briefly and repeatedly within one term must not reset the planner each time,
/// which would keep the leader from replacing a lost member.
#[test]
fn group_is_replaced_while_the_lease_lapses_repeatedly() {
    let mut cluster = serving_cluster_with(Shape { domains: 1, endpoints: 19, large: 8, small: 4 });
    let before = cluster.open_groups();
    let leader = cluster.leader();
    let head = cluster.heads()[0].clone();
    let member = cluster.members(&head)[1].clone();
    cluster.kill_engines(std::slice::from_ref(&member));
    let mut lapses = 0;
    for _ in 0..20 {
        cluster.control_partitioned = true;
        cluster.run(Duration::from_millis(625));
        lapses += usize::from(cluster.leader().is_none());
        cluster.control_partitioned = false;
        cluster.run(Duration::from_millis(400));
        assert_eq!(cluster.leader(), leader, "another daemon became leader");
    }
    assert!(lapses > 10, "the lease lapsed {lapses} times");
    assert_eq!(cluster.open_groups(), before);
    assert!(!cluster.heads().iter().any(|head| cluster.members(head).contains(&member)));
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

/// Time after which an entry daemon suspects a head that has fallen silent.
const SUSPECTED_AFTER: Duration = Duration::from_millis(400);
/// Time for which an entry daemon goes on to suspect a head that makes progress again.
const SUSPICION_TTL: Duration = Duration::from_millis(600);
/// Time within which a group must be dissolved after a member has fallen silent for good.
const SILENCE_BOUND: Duration = STALL_TIMEOUT.checked_div(4).expect("not zero").saturating_mul(3);
/// Time within which a group must be dissolved after the address of a member refuses connections.
const REFUSAL_BOUND: Duration = Duration::from_millis(1500);

/// A sound engine may pause; its group must not lose the streams that it runs.
#[rstest]
fn group_whose_member_is_silent_for_a_moment_keeps_its_streams(
    #[values(0, 1, 3)] position: usize,
    #[values(1000, 1500)] silent_ms: u64,
    #[values(0, 300, 600, 900)] phase_ms: u64,
) {
    let mut cluster = serving_cluster(2);
    cluster.run(Duration::from_millis(phase_ms));
    let head = cluster.head_of_size(4);
    let members = cluster.members(&head);
    cluster.releases.clear();
    cluster.set_silent(&members[position], true);
    cluster.run(SUSPECTED_AFTER);
    cluster.suspects = vec![head.to_string()];
    cluster.run(Duration::from_millis(silent_ms) - SUSPECTED_AFTER);
    cluster.set_silent(&members[position], false);
    cluster.run(SUSPICION_TTL);
    cluster.suspects.clear();
    cluster.run(SECOND * 6);
    assert!(cluster.releases.is_empty(), "{:?}", cluster.releases);
    assert_eq!(cluster.members(&head), members);
    assert!(cluster.heads().contains(&head), "the head is not open");
    assert!(cluster.heads_in_view.contains(&head), "the head is not in the view");
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

#[rstest]
#[case::head_silent(0, false, SILENCE_BOUND)]
#[case::member_silent(2, false, SILENCE_BOUND)]
#[case::head_refusing(0, true, REFUSAL_BOUND)]
#[case::member_refusing(2, true, REFUSAL_BOUND)]
fn group_whose_member_fails_for_good_is_dissolved(
    #[case] position: usize,
    #[case] refusing: bool,
    #[case] bound: Duration,
) {
    let mut cluster = serving_cluster(2);
    let head = cluster.head_of_size(4);
    let failed = cluster.members(&head)[position].clone();
    cluster.releases.clear();
    if let Some(engine) = cluster.engines.get_mut(&failed) {
        engine.silent = !refusing;
        engine.partitioned = refusing;
    }
    let failed_at = cluster.now;
    cluster.run(SUSPECTED_AFTER);
    cluster.suspects = vec![head.to_string()];
    let dissolved = |cluster: &Cluster| !cluster.releases.is_empty();
    assert!(
        cluster.run_until(bound - SUSPECTED_AFTER, dissolved),
        "the group is not dissolved after {bound:?}"
    );
    println!("dissolved after {:?}", cluster.now.since(failed_at));
    assert!(!cluster.heads_in_view.contains(&head), "the head is still in the view");
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

/// An entry daemon that is cut off suspects all heads; another one is served by them.
#[test]
fn heads_that_make_progress_elsewhere_are_not_probed_because_one_daemon_suspects_them() {
    let mut cluster = serving_cluster(2);
    let heads: Vec<String> = cluster.heads().iter().map(ToString::to_string).collect();
    cluster.progress = heads.clone();
    cluster.run(SECOND);
    cluster.probes = 0;
    cluster.suspects = heads;
    cluster.run(SECOND * 6);
    assert_eq!(cluster.probes, 0);
}

/// An endpoint that answers a probe with an error is alive, for example one that asks for a pause.
#[test]
fn group_whose_head_answers_probes_with_an_error_keeps_its_streams() {
    let mut cluster = serving_cluster(2);
    let head = cluster.head_of_size(4);
    cluster.releases.clear();
    if let Some(engine) = cluster.engines.get_mut(&head) {
        engine.answers_errors = true;
    }
    cluster.suspects = vec![head.to_string()];
    cluster.run(SECOND * 6);
    assert!(cluster.releases.is_empty(), "{:?}", cluster.releases);
}

/// Without its other members the head would break off the requests that it may still finish.
#[test]
fn group_that_drains_keeps_its_members_while_its_head_is_silent_for_a_moment() {
    let mut cluster = serving_cluster(2);
    let head = cluster.head_of_size(4);
    let draining = cluster.members(&head)[3].clone();
    cluster.releases.clear();
    cluster.deregister(&draining);
    cluster.set_silent(&head, true);
    cluster.run(SUSPECTED_AFTER);
    cluster.suspects = vec![head.to_string()];
    cluster.run(Duration::from_millis(1500) - SUSPECTED_AFTER);
    let to_others = cluster.releases.iter().filter(|order| order.endpoint != head);
    assert_eq!(to_others.count(), 0, "{:?}", cluster.releases);
    assert!(!cluster.releases.is_empty(), "the group is not dissolved");
}

/// A suspicion must not change how the endpoints are divided among the models either: groups of
/// other endpoints go on too, whatever the numbers of endpoints and groups.
#[rstest]
fn endpoint_that_is_silent_for_a_moment_moves_no_group(
    #[values(1, 2)] domains: usize,
    #[values(8, 9, 10, 11, 13)] endpoints: usize,
    #[values((4, 2), (3, 2), (5, 1))] sizes: (usize, usize),
    #[values(0, 1)] head_at: usize,
) {
    let (large, small) = sizes;
    let mut cluster = serving_cluster_with(Shape { domains, endpoints, large, small });
    let heads = cluster.heads();
    let head = heads[head_at * (heads.len() - 1)].clone();
    cluster.releases.clear();
    cluster.set_silent(&head, true);
    cluster.run(SUSPECTED_AFTER);
    cluster.suspects = vec![head.to_string()];
    cluster.run(Duration::from_millis(1500) - SUSPECTED_AFTER);
    cluster.set_silent(&head, false);
    cluster.run(SUSPICION_TTL);
    cluster.suspects.clear();
    cluster.run(SECOND * 6);
    assert!(cluster.releases.is_empty(), "{:?}", cluster.releases);
    assert!(cluster.heads_in_view.contains(&head), "the head is not in the view");
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}
