//! Control daemons over failures: documents, groups, leaders.

use std::collections::BTreeSet;
use std::time::Duration;

use dotterelhoist_fleet::control::Answer;
use dotterelhoist_fleet::Name;
use rstest::rstest;

mod cluster;

use self::cluster::{names, Cluster, Shape};

const SECOND: Duration = Duration::from_secs(1);

/// A deployment with a document and open groups.
fn serving(domains: usize) -> Cluster {
    serving_shape(Shape { domains, ..Shape::default() })
}

fn serving_shape(shape: Shape) -> Cluster {
    let mut cluster = Cluster::open_shape(shape);
    assert!(cluster.run_until(SECOND * 5, |cluster| cluster.leader().is_some()), "no leader");
    let first = names()[0].clone();
    let ticket = cluster.put(&first, "1");
    let accepted = |cluster: &Cluster| cluster.answers.get(&ticket) == Some(&Answer::Accepted);
    assert!(cluster.run_until(SECOND * 3, accepted), "the document was not accepted");
    let wanted = shape.domains * 2;
    assert!(cluster.run_until(SECOND * 30, |cluster| cluster.open_groups() >= wanted), "no groups");
    cluster.run(SECOND * 14);
    cluster.traffic = true;
    cluster.run(SECOND);
    cluster
}

#[test]
fn document_put_at_a_follower_is_accepted_and_read_everywhere() {
    let mut cluster = serving(1);
    for name in names() {
        let put = cluster.put(&name, "7");
        cluster.run(SECOND);
        assert_eq!(cluster.answers.get(&put), Some(&Answer::Accepted), "put at {name}");
        let read = cluster.read(&name);
        cluster.run(SECOND);
        assert_eq!(cluster.answers.get(&read), Some(&Answer::Document(b"7".to_vec())));
    }
}

#[rstest]
#[case::older("3")]
#[case::same("7")]
fn document_not_newer_is_acknowledged_and_changes_nothing(#[case] version: &str) {
    let mut cluster = serving(1);
    let first = names()[0].clone();
    cluster.put(&first, "7");
    cluster.run(SECOND);
    let put = cluster.put(&first, version);
    cluster.run(SECOND);
    assert_eq!(cluster.answers.get(&put), Some(&Answer::Accepted));
    let read = cluster.read(&first);
    cluster.run(SECOND);
    assert_eq!(cluster.answers.get(&read), Some(&Answer::Document(b"7".to_vec())));
}

#[test]
fn document_malformed_is_refused_at_once() {
    let mut cluster = serving(1);
    let put = cluster.put(&names()[1], "x");
    assert!(matches!(cluster.answers.get(&put), Some(Answer::Invalid(_))));
}

#[test]
fn document_acknowledged_survives_the_leader() {
    let mut cluster = serving(1);
    let Some(leader) = cluster.leader() else { panic!("no leader") };
    let put = cluster.put(&leader, "9");
    let accepted = |cluster: &Cluster| cluster.answers.contains_key(&put);
    assert!(cluster.run_until(SECOND, accepted));
    cluster.kill(&leader);
    assert!(cluster.run_until(SECOND * 5, |cluster| cluster.leader().is_some()), "no new leader");
    cluster.run(SECOND);
    for name in names().iter().filter(|name| **name != leader) {
        let read = cluster.read(name);
        cluster.run(SECOND * 2);
        assert_eq!(cluster.answers.get(&read), Some(&Answer::Document(b"9".to_vec())), "{name}");
    }
}

/// Daemons that start at the same moment must not split the votes.
#[test]
fn leader_is_found_soon_after_a_start_of_all() {
    let mut cluster = Cluster::open(1);
    let patience = Duration::from_millis(1600);
    assert!(
        cluster.run_until(patience, |cluster| cluster.leader().is_some()),
        "no leader at first"
    );
    for _ in 0..10 {
        for name in names() {
            cluster.kill(&name);
        }
        for name in names() {
            cluster.start(&name, &format!("{name}#0"));
        }
        assert!(
            cluster.run_until(patience, |cluster| cluster.leader().is_some()),
            "no leader again"
        );
    }
}

/// A daemon that replays its log after a restart must not call an older document current.
#[test]
fn document_current_after_a_restart_of_all_is_the_newest() {
    let mut cluster = serving(1);
    for version in 2..40 {
        cluster.put(&names()[0], &version.to_string());
        cluster.run(Duration::from_millis(100));
    }
    cluster.run(SECOND);
    cluster.current.clear();
    for round in 0..20 {
        for name in names() {
            cluster.kill(&name);
        }
        cluster.run(Duration::from_millis(25 * round));
        for name in names() {
            cluster.start(&name, &format!("{name}#0"));
        }
        cluster.run(SECOND * 4);
    }
    assert!(!cluster.current.is_empty(), "no daemon is current");
    let older: Vec<_> = cluster.current.iter().filter(|(_, version)| *version < 39).collect();
    assert!(older.is_empty(), "{older:?}");
}

#[test]
fn document_read_without_quorum_is_unavailable() {
    let mut cluster = serving(1);
    let all = names();
    cluster.kill(&all[0]);
    cluster.kill(&all[1]);
    cluster.run(SECOND * 2);
    let read = cluster.read(&all[2]);
    cluster.run(SECOND * 2);
    assert_eq!(cluster.answers.get(&read), Some(&Answer::Unavailable));
}

#[test]
fn voter_on_an_empty_disk_is_replaced_and_holds_the_document() {
    let mut cluster = serving(1);
    let put = cluster.put(&names()[0], "11");
    cluster.run(SECOND);
    assert_eq!(cluster.answers.get(&put), Some(&Answer::Accepted));
    let lost = names()[2].clone();
    cluster.kill(&lost);
    cluster.run(SECOND);
    cluster.disks.remove(&lost);
    cluster.start(&lost, &format!("{lost}#77"));
    cluster.run(SECOND * 5);
    assert_eq!(cluster.daemons[&lost].state_machine().version(), 11);
    let first = names()[0].clone();
    cluster.kill(&first);
    assert!(cluster.run_until(SECOND * 6, |cluster| cluster.leader().is_some()), "it has no vote");
}

#[test]
fn groups_form_of_both_models_in_each_domain() {
    let cluster = serving(3);
    assert!(cluster.broken.is_empty(), "{:?}", cluster.broken);
    assert!(cluster.open_groups() >= 6, "{} groups", cluster.open_groups());
}

/// Callers may come before the first group is formed, and no VM holds a model then.
#[test]
fn groups_form_although_callers_came_first() {
    let mut cluster = Cluster::open(2);
    cluster.traffic = true;
    assert!(cluster.run_until(SECOND * 5, |cluster| cluster.leader().is_some()), "no leader");
    cluster.put(&names()[0], "1");
    assert!(cluster.run_until(SECOND * 40, |cluster| cluster.open_groups() >= 4), "no groups");
    assert!(cluster.broken.is_empty(), "{:?}", cluster.broken);
}

#[test]
fn group_that_loses_a_member_is_formed_anew() {
    let mut cluster = serving(2);
    let before = cluster.open_groups();
    let Some(head) = cluster.heads().into_iter().find(|head| cluster.members(head).len() == 4)
    else {
        panic!("no large group")
    };
    let member = cluster.members(&head)[2].clone();
    if let Some(engine) = cluster.engines.get_mut(&member) {
        engine.dead = true;
    }
    cluster.run(SECOND * 15);
    assert!(cluster.broken.is_empty(), "{:?}", cluster.broken);
    assert!(cluster.open_groups() >= before - 1, "{} of {before}", cluster.open_groups());
}

/// A domain with endpoints to spare replaces a lost member of either model without waiting for a load.
#[rstest]
#[case::small(4)]
#[case::large(8)]
fn group_that_loses_a_member_takes_a_spare_that_holds_its_model(#[case] size: usize) {
    let mut cluster = serving_shape(Shape { domains: 1, endpoints: 19, large: 8, small: 4 });
    let before = cluster.open_groups();
    let heads = cluster.heads();
    let Some(head) = heads.iter().find(|head| cluster.members(head).len() == size) else {
        panic!("no group of {size}")
    };
    let member = cluster.members(head)[2].clone();
    if let Some(engine) = cluster.engines.get_mut(&member) {
        engine.dead = true;
    }
    let lost = |cluster: &Cluster| cluster.open_groups() < before;
    assert!(cluster.run_until(SECOND * 6, lost), "the loss is not noticed");
    let repaired = |cluster: &Cluster| cluster.open_groups() == before;
    assert!(cluster.run_until(SECOND * 8, repaired), "{} of {before}", cluster.open_groups());
    assert!(cluster.broken.is_empty(), "{:?}", cluster.broken);
}

/// A cut may reset connections, so an address that refuses them proves nothing: the head may still
/// take requests.
#[test]
fn head_cut_off_with_resets_keeps_its_members_from_other_groups() {
    let mut cluster = serving(2);
    for head in cluster.heads() {
        for member in cluster.members(&head) {
            if let Some(engine) = cluster.engines.get_mut(&member) {
                engine.cut = true;
            }
        }
    }
    cluster.run(SECOND * 6);
    let all: Vec<Name> = cluster.engines.keys().cloned().collect();
    for id in &all {
        if let Some(engine) = cluster.engines.get_mut(id) {
            engine.cut = false;
        }
    }
    cluster.run(SECOND * 20);
    assert!(cluster.broken.is_empty(), "{:?}", cluster.broken);
    assert!(cluster.open_groups() >= 4, "{} groups", cluster.open_groups());
}

/// The groups of a zone that is cut off serve the callers there; they are still the same afterwards.
#[test]
fn groups_of_a_zone_that_is_cut_off_are_kept() {
    let mut cluster = serving(2);
    let far: Vec<Name> = cluster.engines.keys().skip(8).cloned().collect();
    let groups = |cluster: &Cluster| -> Vec<_> {
        far.iter().map(|id| cluster.engines[id].membership.clone()).collect()
    };
    let before = groups(&cluster);
    cluster.zone_cut = true;
    for id in &far {
        if let Some(engine) = cluster.engines.get_mut(id) {
            engine.cut = true;
        }
    }
    cluster.suspects = far.iter().map(ToString::to_string).collect();
    cluster.run(SECOND);
    cluster.suspects.clear();
    cluster.run(SECOND * 6);
    cluster.zone_cut = false;
    for id in &far {
        cluster.mend(id);
    }
    cluster.run(SECOND * 6);
    assert!(cluster.broken.is_empty(), "{:?}", cluster.broken);
    assert_eq!(groups(&cluster), before);
}

#[test]
fn head_that_says_that_it_ends_keeps_its_members_until_it_has_let_go() {
    let mut cluster = serving(2);
    for head in cluster.heads().into_iter().take(3) {
        cluster.deregister(&head);
    }
    cluster.run(SECOND * 15);
    assert!(cluster.broken.is_empty(), "{:?}", cluster.broken);
}

#[test]
fn head_alone_cut_off_frees_its_members_after_the_stall_time() {
    let mut cluster = serving(2);
    let Some(head) = cluster.heads().into_iter().next() else { panic!("no group") };
    if let Some(engine) = cluster.engines.get_mut(&head) {
        engine.cut = true;
    }
    cluster.run(SECOND * 20);
    assert!(cluster.broken.is_empty(), "{:?}", cluster.broken);
}

#[test]
fn orders_carried_out_late_do_no_harm() {
    let mut cluster = serving(2);
    for _ in 0..4 {
        let Some(head) = cluster.heads().into_iter().next() else { break };
        let member = cluster.members(&head).last().cloned();
        if let Some(engine) = member.and_then(|member| cluster.engines.get_mut(&member)) {
            engine.dead = true;
        }
        cluster.late_orders = true;
        cluster.run(SECOND * 3);
        cluster.late_orders = false;
        cluster.run(SECOND * 3);
    }
    cluster.run(SECOND * 30);
    assert!(cluster.broken.is_empty(), "{:?}", cluster.broken);
}

#[test]
fn engines_reborn_under_their_identity_are_placed_anew() {
    let mut cluster = serving(2);
    let all: Vec<Name> = cluster.engines.keys().take(8).cloned().collect();
    for id in &all {
        if let Some(engine) = cluster.engines.get_mut(id) {
            engine.dead = true;
        }
    }
    cluster.run(SECOND * 3);
    for id in &all {
        cluster.revive(id);
    }
    cluster.run(SECOND * 25);
    assert!(cluster.broken.is_empty(), "{:?}", cluster.broken);
    assert!(cluster.open_groups() >= 5, "{} groups", cluster.open_groups());
}

#[test]
fn leader_killed_while_groups_are_dissolved_leaves_them_safe() {
    let mut cluster = serving(2);
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
    assert!(cluster.broken.is_empty(), "{:?}", cluster.broken);
}

/// After a start of all control daemons, entry daemons learn the groups from the log, not only with the
/// heartbeats that come one by one.
#[test]
fn groups_are_served_again_as_soon_as_a_leader_is_back() {
    let mut cluster = serving(2);
    let heads: BTreeSet<Name> = cluster.heads().into_iter().collect();
    for name in names() {
        cluster.kill(&name);
    }
    cluster.run(SECOND);
    for name in names() {
        cluster.start(&name, &format!("{name}#0"));
    }
    cluster.viewed.clear();
    for engine in cluster.engines.values_mut() {
        engine.cut = true;
    }
    let whole = |cluster: &Cluster| heads.is_subset(&cluster.viewed);
    assert!(cluster.run_until(SECOND, whole), "{:?} of {heads:?}", cluster.viewed);
    cluster.run(SECOND * 3);
    assert!(cluster.viewed.is_empty(), "heads that stay silent are left out");
}

/// In a large deployment a document goes to each entry daemon once, not once from each control daemon.
#[test]
fn document_is_sent_late_to_entry_daemons_that_selected_another_control_daemon() {
    let mut cluster = serving(1);
    let control = names()[0].clone();
    for number in 0..40 {
        cluster.connect(&control, &format!("x{number}"), 1);
    }
    cluster.run(SECOND);
    cluster.documents.clear();
    let ticket = cluster.put(&control, "2");
    let accepted = |cluster: &Cluster| cluster.answers.get(&ticket) == Some(&Answer::Accepted);
    assert!(cluster.run_until(SECOND * 3, accepted), "not accepted");
    cluster.run(SECOND / 2);
    let sent = |cluster: &Cluster, entry: &str| cluster.documents.iter().any(|to| **to == *entry);
    assert!(sent(&cluster, "entry"), "it selected this control daemon");
    assert!(!sent(&cluster, "x1") && !sent(&cluster, "x2"), "{:?}", cluster.documents);
    cluster.connect(&control, "x1", 2);
    cluster.run(SECOND);
    assert!(sent(&cluster, "x2"), "it still lacks the document");
    assert!(!sent(&cluster, "x1"), "it has the document from elsewhere");
}

/// A lease that lapses again and again in one term does not keep the leader from replacing a lost member.
#[test]
fn group_is_formed_anew_while_the_lease_lapses_again_and_again() {
    let mut cluster = serving_shape(Shape { domains: 1, endpoints: 19, large: 8, small: 4 });
    let before = cluster.open_groups();
    let leader = cluster.leader();
    let head = cluster.heads()[0].clone();
    let member = cluster.members(&head)[1].clone();
    if let Some(engine) = cluster.engines.get_mut(&member) {
        engine.dead = true;
    }
    let mut lapses = 0;
    for _ in 0..20 {
        cluster.parted = true;
        cluster.run(Duration::from_millis(625));
        lapses += usize::from(cluster.leader().is_none());
        cluster.parted = false;
        cluster.run(Duration::from_millis(400));
        assert_eq!(cluster.leader(), leader, "another daemon leads");
    }
    assert!(lapses > 10, "the lease lapsed {lapses} times");
    assert_eq!(cluster.open_groups(), before);
    assert!(!cluster.heads().iter().any(|head| cluster.members(head).contains(&member)));
    assert!(cluster.broken.is_empty(), "{:?}", cluster.broken);
}
