//! Control daemons over failures: documents, groups, leaders.

use std::collections::BTreeSet;
use std::time::Duration;

use dotterelhoist_fleet::control::Answer;
use dotterelhoist_fleet::Name;
use rstest::rstest;

mod world;

use self::world::{names, Shape, World};

const SECOND: Duration = Duration::from_secs(1);

/// A deployment with a document and open groups.
fn serving(domains: usize) -> World {
    serving_shape(Shape { domains, ..Shape::default() })
}

fn serving_shape(shape: Shape) -> World {
    let mut world = World::open_shape(shape);
    assert!(world.run_until(SECOND * 5, |world| world.leader().is_some()), "no leader");
    let first = names()[0].clone();
    let ticket = world.put(&first, "1");
    let accepted = |world: &World| world.answers.get(&ticket) == Some(&Answer::Accepted);
    assert!(world.run_until(SECOND * 3, accepted), "the document was not accepted");
    let wanted = shape.domains * 2;
    assert!(world.run_until(SECOND * 30, |world| world.open_groups() >= wanted), "no groups");
    world.run(SECOND * 14);
    world.traffic = true;
    world.run(SECOND);
    world
}

#[test]
fn document_put_at_a_follower_is_accepted_and_read_everywhere() {
    let mut world = serving(1);
    for name in names() {
        let put = world.put(&name, "7");
        world.run(SECOND);
        assert_eq!(world.answers.get(&put), Some(&Answer::Accepted), "put at {name}");
        let read = world.read(&name);
        world.run(SECOND);
        assert_eq!(world.answers.get(&read), Some(&Answer::Document(b"7".to_vec())));
    }
}

#[rstest]
#[case::older("3")]
#[case::same("7")]
fn document_not_newer_is_acknowledged_and_changes_nothing(#[case] version: &str) {
    let mut world = serving(1);
    let first = names()[0].clone();
    world.put(&first, "7");
    world.run(SECOND);
    let put = world.put(&first, version);
    world.run(SECOND);
    assert_eq!(world.answers.get(&put), Some(&Answer::Accepted));
    let read = world.read(&first);
    world.run(SECOND);
    assert_eq!(world.answers.get(&read), Some(&Answer::Document(b"7".to_vec())));
}

#[test]
fn document_malformed_is_refused_at_once() {
    let mut world = serving(1);
    let put = world.put(&names()[1], "x");
    assert!(matches!(world.answers.get(&put), Some(Answer::Invalid(_))));
}

#[test]
fn document_acknowledged_survives_the_leader() {
    let mut world = serving(1);
    let Some(leader) = world.leader() else { panic!("no leader") };
    let put = world.put(&leader, "9");
    let accepted = |world: &World| world.answers.contains_key(&put);
    assert!(world.run_until(SECOND, accepted));
    world.kill(&leader);
    assert!(world.run_until(SECOND * 5, |world| world.leader().is_some()), "no new leader");
    world.run(SECOND);
    for name in names().iter().filter(|name| **name != leader) {
        let read = world.read(name);
        world.run(SECOND * 2);
        assert_eq!(world.answers.get(&read), Some(&Answer::Document(b"9".to_vec())), "{name}");
    }
}

/// Daemons that start at the same moment must not split the votes.
#[test]
fn leader_is_found_soon_after_a_start_of_all() {
    let mut world = World::open(1);
    let patience = Duration::from_millis(1600);
    assert!(world.run_until(patience, |world| world.leader().is_some()), "no leader at first");
    for _ in 0..10 {
        for name in names() {
            world.kill(&name);
        }
        for name in names() {
            world.start(&name, &format!("{name}#0"));
        }
        assert!(world.run_until(patience, |world| world.leader().is_some()), "no leader again");
    }
}

/// A daemon that replays its log after a restart must not call an older document current.
#[test]
fn document_current_after_a_restart_of_all_is_the_newest() {
    let mut world = serving(1);
    for version in 2..40 {
        world.put(&names()[0], &version.to_string());
        world.run(Duration::from_millis(100));
    }
    world.run(SECOND);
    world.current.clear();
    for round in 0..20 {
        for name in names() {
            world.kill(&name);
        }
        world.run(Duration::from_millis(25 * round));
        for name in names() {
            world.start(&name, &format!("{name}#0"));
        }
        world.run(SECOND * 4);
    }
    assert!(!world.current.is_empty(), "no daemon is current");
    let older: Vec<_> = world.current.iter().filter(|(_, version)| *version < 39).collect();
    assert!(older.is_empty(), "{older:?}");
}

#[test]
fn document_read_without_quorum_is_unavailable() {
    let mut world = serving(1);
    let all = names();
    world.kill(&all[0]);
    world.kill(&all[1]);
    world.run(SECOND * 2);
    let read = world.read(&all[2]);
    world.run(SECOND * 2);
    assert_eq!(world.answers.get(&read), Some(&Answer::Unavailable));
}

#[test]
fn voter_on_an_empty_disk_is_replaced_and_holds_the_document() {
    let mut world = serving(1);
    let put = world.put(&names()[0], "11");
    world.run(SECOND);
    assert_eq!(world.answers.get(&put), Some(&Answer::Accepted));
    let lost = names()[2].clone();
    world.kill(&lost);
    world.run(SECOND);
    world.disks.remove(&lost);
    world.start(&lost, &format!("{lost}#77"));
    world.run(SECOND * 5);
    assert_eq!(world.daemons[&lost].machine().version(), 11);
    let first = names()[0].clone();
    world.kill(&first);
    assert!(world.run_until(SECOND * 6, |world| world.leader().is_some()), "it has no vote");
}

#[test]
fn groups_form_of_both_models_in_each_domain() {
    let world = serving(3);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    assert!(world.open_groups() >= 6, "{} groups", world.open_groups());
}

/// Callers may come before the first group is formed, and no VM holds a model then.
#[test]
fn groups_form_although_callers_came_first() {
    let mut world = World::open(2);
    world.traffic = true;
    assert!(world.run_until(SECOND * 5, |world| world.leader().is_some()), "no leader");
    world.put(&names()[0], "1");
    assert!(world.run_until(SECOND * 40, |world| world.open_groups() >= 4), "no groups");
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn group_that_loses_a_member_is_formed_anew() {
    let mut world = serving(2);
    let before = world.open_groups();
    let Some(head) = world.heads().into_iter().find(|head| world.members(head).len() == 4) else {
        panic!("no large group")
    };
    let member = world.members(&head)[2].clone();
    if let Some(engine) = world.engines.get_mut(&member) {
        engine.dead = true;
    }
    world.run(SECOND * 15);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    assert!(world.open_groups() >= before - 1, "{} of {before}", world.open_groups());
}

/// A domain with endpoints to spare replaces a lost member of either model without waiting for a load.
#[rstest]
#[case::small(4)]
#[case::large(8)]
fn group_that_loses_a_member_takes_a_spare_that_holds_its_model(#[case] size: usize) {
    let mut world = serving_shape(Shape { domains: 1, endpoints: 19, large: 8, small: 4 });
    let before = world.open_groups();
    let heads = world.heads();
    let Some(head) = heads.iter().find(|head| world.members(head).len() == size) else {
        panic!("no group of {size}")
    };
    let member = world.members(head)[2].clone();
    if let Some(engine) = world.engines.get_mut(&member) {
        engine.dead = true;
    }
    let lost = |world: &World| world.open_groups() < before;
    assert!(world.run_until(SECOND * 6, lost), "the loss is not noticed");
    let repaired = |world: &World| world.open_groups() == before;
    assert!(world.run_until(SECOND * 8, repaired), "{} of {before}", world.open_groups());
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

/// A cut may reset connections, so an address that refuses them proves nothing: the head may still
/// take requests.
#[test]
fn head_cut_off_with_resets_keeps_its_members_from_other_groups() {
    let mut world = serving(2);
    for head in world.heads() {
        for member in world.members(&head) {
            if let Some(engine) = world.engines.get_mut(&member) {
                engine.cut = true;
            }
        }
    }
    world.run(SECOND * 6);
    let all: Vec<Name> = world.engines.keys().cloned().collect();
    for id in &all {
        if let Some(engine) = world.engines.get_mut(id) {
            engine.cut = false;
        }
    }
    world.run(SECOND * 20);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    assert!(world.open_groups() >= 4, "{} groups", world.open_groups());
}

/// The groups of a zone that is cut off serve the callers there; they are still the same afterwards.
#[test]
fn groups_of_a_zone_that_is_cut_off_are_kept() {
    let mut world = serving(2);
    let far: Vec<Name> = world.engines.keys().skip(8).cloned().collect();
    let groups = |world: &World| -> Vec<_> {
        far.iter().map(|id| world.engines[id].membership.clone()).collect()
    };
    let before = groups(&world);
    world.zone_cut = true;
    for id in &far {
        if let Some(engine) = world.engines.get_mut(id) {
            engine.cut = true;
        }
    }
    world.suspects = far.iter().map(ToString::to_string).collect();
    world.run(SECOND);
    world.suspects.clear();
    world.run(SECOND * 6);
    world.zone_cut = false;
    for id in &far {
        world.mend(id);
    }
    world.run(SECOND * 6);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    assert_eq!(groups(&world), before);
}

#[test]
fn head_that_says_that_it_ends_keeps_its_members_until_it_has_let_go() {
    let mut world = serving(2);
    for head in world.heads().into_iter().take(3) {
        world.deregister(&head);
    }
    world.run(SECOND * 15);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn head_alone_cut_off_frees_its_members_after_the_stall_time() {
    let mut world = serving(2);
    let Some(head) = world.heads().into_iter().next() else { panic!("no group") };
    if let Some(engine) = world.engines.get_mut(&head) {
        engine.cut = true;
    }
    world.run(SECOND * 20);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn orders_carried_out_late_do_no_harm() {
    let mut world = serving(2);
    for _ in 0..4 {
        let Some(head) = world.heads().into_iter().next() else { break };
        let member = world.members(&head).last().cloned();
        if let Some(engine) = member.and_then(|member| world.engines.get_mut(&member)) {
            engine.dead = true;
        }
        world.late_orders = true;
        world.run(SECOND * 3);
        world.late_orders = false;
        world.run(SECOND * 3);
    }
    world.run(SECOND * 30);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn engines_reborn_under_their_identity_are_placed_anew() {
    let mut world = serving(2);
    let all: Vec<Name> = world.engines.keys().take(8).cloned().collect();
    for id in &all {
        if let Some(engine) = world.engines.get_mut(id) {
            engine.dead = true;
        }
    }
    world.run(SECOND * 3);
    for id in &all {
        world.revive(id);
    }
    world.run(SECOND * 25);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    assert!(world.open_groups() >= 5, "{} groups", world.open_groups());
}

#[test]
fn leader_killed_while_groups_are_dissolved_leaves_them_safe() {
    let mut world = serving(2);
    for round in 0..3 {
        let Some(head) = world.heads().into_iter().next() else { break };
        let member = world.members(&head).last().cloned();
        if let Some(engine) = member.and_then(|member| world.engines.get_mut(&member)) {
            engine.dead = true;
        }
        world.run(Duration::from_millis(3100 + 100 * round));
        let Some(leader) = world.leader() else { continue };
        world.kill(&leader);
        world.run(SECOND / 2);
        world.start(&leader, &format!("{leader}#0"));
        world.run(SECOND * 6);
    }
    world.run(SECOND * 10);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

/// After a start of all control daemons, entry daemons learn the groups from the log, not only with the
/// heartbeats that come one by one.
#[test]
fn groups_are_served_again_as_soon_as_a_leader_is_back() {
    let mut world = serving(2);
    let heads: BTreeSet<Name> = world.heads().into_iter().collect();
    for name in names() {
        world.kill(&name);
    }
    world.run(SECOND);
    for name in names() {
        world.start(&name, &format!("{name}#0"));
    }
    world.viewed.clear();
    for engine in world.engines.values_mut() {
        engine.cut = true;
    }
    let whole = |world: &World| heads.is_subset(&world.viewed);
    assert!(world.run_until(SECOND, whole), "{:?} of {heads:?}", world.viewed);
    world.run(SECOND * 3);
    assert!(world.viewed.is_empty(), "heads that stay silent are left out");
}

/// In a large deployment a document goes to each entry daemon once, not once from each control daemon.
#[test]
fn document_is_sent_late_to_entry_daemons_that_selected_another_control_daemon() {
    let mut world = serving(1);
    let control = names()[0].clone();
    for number in 0..40 {
        world.connect(&control, &format!("x{number}"), 1);
    }
    world.run(SECOND);
    world.documents.clear();
    let ticket = world.put(&control, "2");
    let accepted = |world: &World| world.answers.get(&ticket) == Some(&Answer::Accepted);
    assert!(world.run_until(SECOND * 3, accepted), "not accepted");
    world.run(SECOND / 2);
    let sent = |world: &World, entry: &str| world.documents.iter().any(|to| **to == *entry);
    assert!(sent(&world, "entry"), "it selected this control daemon");
    assert!(!sent(&world, "x1") && !sent(&world, "x2"), "{:?}", world.documents);
    world.connect(&control, "x1", 2);
    world.run(SECOND);
    assert!(sent(&world, "x2"), "it still lacks the document");
    assert!(!sent(&world, "x1"), "it has the document from elsewhere");
}

/// A lease that lapses again and again in one term does not keep the leader from replacing a lost member.
#[test]
fn group_is_formed_anew_while_the_lease_lapses_again_and_again() {
    let mut world = serving_shape(Shape { domains: 1, endpoints: 19, large: 8, small: 4 });
    let before = world.open_groups();
    let leader = world.leader();
    let head = world.heads()[0].clone();
    let member = world.members(&head)[1].clone();
    if let Some(engine) = world.engines.get_mut(&member) {
        engine.dead = true;
    }
    let mut lapses = 0;
    for _ in 0..20 {
        world.parted = true;
        world.run(Duration::from_millis(625));
        lapses += usize::from(world.leader().is_none());
        world.parted = false;
        world.run(Duration::from_millis(400));
        assert_eq!(world.leader(), leader, "another daemon leads");
    }
    assert!(lapses > 10, "the lease lapsed {lapses} times");
    assert_eq!(world.open_groups(), before);
    assert!(!world.heads().iter().any(|head| world.members(head).contains(&member)));
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}
