//! Groups that endpoints report and the log does not have.
//!
//! An order that is carried out late can make an endpoint join, and even open, a group that was
//! removed since. Its head may run requests, so its members are not free. The head is ordered to close
//! and to leave as that of a group that is dissolved gracefully, and if it does not respond, the other
//! members are ordered to leave. An endpoint that reports the same group again and again although it
//! has answered each time that it is not in it holds up nobody else: after a time it gets no more
//! orders, and only itself is not free.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::endpoint::{Membership, Stage};
use crate::journal;
use crate::Name;

use super::super::endpoints::Endpoint;
use super::super::state_machine::{Change, Group, Member};
use super::super::Effect;
use super::{Generation, Inputs, Planner};

/// Time since an endpoint first reported a stray group after which its reports may be disregarded.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of answers that it has left the group after which its reports are disregarded, once
/// [`CLAIM_TIMEOUT`] is over. A late order makes an endpoint join again only once.
const CLAIM_DEPARTURES: u32 = 3;

/// The stray groups of which this leader knows.
#[derive(Debug, Default)]
pub(super) struct Strays {
    /// Endpoints that are not free, because a stray group that may serve needs them.
    bound: BTreeSet<Name>,
    /// Heads of stray groups, by identity.
    claims: BTreeMap<Name, Claim>,
}

/// What an endpoint reports as the head of a stray group.
#[derive(Debug)]
struct Claim {
    generation: Generation,
    /// Incarnation of the endpoint.
    started_unix_ms: u64,
    /// When it was first reported.
    since: Instant,
    /// Whether the newest report of the endpoint still says so.
    current: bool,
    /// Whether its reports have ceased to say so, not only its answers to orders.
    over: bool,
    /// How often the endpoint has answered that it has left.
    departures: u32,
    /// Whether it was logged that its reports are disregarded.
    logged: bool,
}

impl Strays {
    /// Whether an endpoint belongs to a stray group that may serve.
    pub(super) fn bind(&self, id: &str) -> bool {
        self.bound.contains(id)
    }

    /// Binds an endpoint that has to leave a stray group first, for this tick.
    pub(super) fn bind_endpoint(&mut self, id: Name) {
        self.bound.insert(id);
    }
}

impl Claim {
    /// Whether the endpoint has disproved its reports itself.
    fn is_disregarded(&self, now: Instant) -> bool {
        self.departures >= CLAIM_DEPARTURES && now.since(self.since) > CLAIM_TIMEOUT
    }
}

impl Planner {
    /// Orders the members of stray groups to close and leave, and binds them until that is done.
    pub(super) fn release_strays(
        &mut self,
        inputs: &Inputs<'_>,
        strays: &[Group],
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        self.strays.bound.clear();
        self.end_claims(inputs, strays, effects);
        for group in strays {
            let Some(head) = group.head() else { continue };
            let disregarded = self.claim(inputs, group, head, effects);
            if !disregarded {
                self.state_of(inputs.now, group).may_reopen = true;
                if self.release_group(inputs, group, true, changes, effects) {
                    continue;
                }
            }
            // A head that is broken, or disproves its reports, holds no other member.
            let alone = disregarded || is_broken(inputs, group, head);
            let bound = group.members.iter().take(if alone { 1 } else { group.members.len() });
            self.strays.bound.extend(bound.map(|member| Name::from(member.id.as_str())));
        }
    }

    /// Records that the head of a stray group reports it; returns true if that is disregarded.
    fn claim(
        &mut self,
        inputs: &Inputs<'_>,
        group: &Group,
        head: &Member,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let generation = Generation::of(group);
        let id: Name = head.id.as_str().into();
        let known = self.strays.claims.get(&id).is_some_and(|claim| {
            claim.generation == generation && claim.started_unix_ms == head.started_unix_ms
        });
        if !known {
            let members = group.members.len();
            let detail = format!("group={} epoch={} members={members}", group.name, group.epoch);
            let event = journal::Event::new(245, "unknown group reported", &*id, detail);
            effects.push(Effect::Log(event));
            let claim = Claim {
                generation,
                started_unix_ms: head.started_unix_ms,
                since: inputs.now,
                current: true,
                over: false,
                departures: 0,
                logged: false,
            };
            self.strays.claims.insert(id, claim);
            return false;
        }
        let Some(claim) = self.strays.claims.get_mut(&id) else { return false };
        claim.current = true;
        claim.over = false;
        let disregarded = claim.is_disregarded(inputs.now);
        if disregarded && !claim.logged {
            claim.logged = true;
            let detail = format!("group={} epoch={}", group.name, group.epoch);
            let event = journal::Event::new(248, "reports of a group disregarded", &*id, detail);
            effects.push(Effect::Log(event));
        }
        disregarded
    }

    /// Records which heads have ceased to report their stray group, and forgets those that have
    /// terminated.
    fn end_claims(&mut self, inputs: &Inputs<'_>, strays: &[Group], effects: &mut Vec<Effect>) {
        let heads: BTreeSet<&str> =
            strays.iter().filter_map(|group| Some(&*group.head()?.id)).collect();
        self.strays.claims.retain(|id, claim| {
            let ended = claim.current && !heads.contains(&**id);
            if ended {
                claim.current = false;
                claim.departures += 1;
                let generation = &claim.generation;
                let detail = format!(
                    "group={} epoch={} after_ms={} times={}",
                    generation.group,
                    generation.epoch,
                    inputs.now.since(claim.since).as_millis(),
                    claim.departures
                );
                let event = journal::Event::new(246, "unknown group left", &**id, detail);
                effects.push(Effect::Log(event));
            }
            let Some(endpoint) = inputs.endpoints.find(id) else { return false };
            claim.over |= !claim.current && endpoint.has_confirmed_departure();
            if !claim.over {
                self.strays.bound.insert(id.clone());
            }
            endpoint.heartbeat.started_unix_ms == claim.started_unix_ms
        });
    }
}

/// Whether the head of a group reports that it is broken.
fn is_broken(inputs: &Inputs<'_>, group: &Group, head: &Member) -> bool {
    inputs.endpoints.find(&head.id).is_some_and(|endpoint| {
        endpoint.heartbeat.stage_in(&group.name, group.epoch) == Some(Stage::Broken)
    })
}

/// Finds the stray groups. One without a known head is left out: nothing says that it serves.
pub(super) fn find(inputs: &Inputs<'_>) -> Vec<Group> {
    let mut reports: Vec<(&Name, &Endpoint, &Membership)> = Vec::new();
    for (id, endpoint) in inputs.endpoints.iter() {
        let Some(membership) = endpoint.reported_group() else { continue };
        let service = inputs.document.services.get(&*endpoint.heartbeat.service);
        if service.is_none_or(|service| service.engine.is_none()) {
            continue;
        }
        let placed = inputs.state_machine.groups.get(&membership.group).is_some_and(|group| {
            let listed = group.members.iter().any(|member| *member.id == **id);
            group.epoch == membership.epoch && listed
        });
        if !placed && !endpoint.confirmed_dead && !endpoint.is_denied() {
            reports.push((id, endpoint, membership));
        }
    }
    let heads = reports.iter().filter(|(_, _, membership)| membership.may_be_head());
    heads.map(|(id, _, membership)| stray_group(id, membership, &reports)).collect()
}

/// The stray group of which an endpoint is the head, with all others that report to be its members.
fn stray_group(
    head: &Name,
    membership: &Membership,
    reports: &[(&Name, &Endpoint, &Membership)],
) -> Group {
    let of_group =
        reports.iter().filter(|(_, _, other)| other.is_in(&membership.group, membership.epoch));
    let mut members: Vec<Member> = of_group
        .filter(|(id, _, other)| *id == head || !other.may_be_head())
        .map(|(id, endpoint, _)| Member {
            id: id.to_string(),
            started_unix_ms: endpoint.heartbeat.started_unix_ms,
            address: endpoint.heartbeat.address.clone(),
        })
        .collect();
    members.sort_by_key(|member| *member.id != **head);
    Group {
        name: membership.group.clone(),
        epoch: membership.epoch,
        members,
        dissolving: true,
        graceful: true,
        ..Group::default()
    }
}
