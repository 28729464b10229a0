//! Formation of groups from free endpoints.
//!
//! Groups are formed until each model has its target number ([`super::targets`]), those with the
//! most members first, spread over the fabric domains. If a domain with enough free endpoints is
//! lacking, groups of another model may be dissolved ([`super::converting`]). An endpoint is warm for
//! a model if it can serve it without loading the weights from the weight store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::document::{Model, Service};
use crate::journal;
use crate::Name;

use super::super::state_machine::{Change, Group, GroupPlacement, Member};
use super::super::Effect;
use super::targets::{group_counts, load_per_group, Allocation, Counts};
use super::vacancy::{count_warm, domain_of, is_warm, FreeEndpoints};
use super::{Inputs, Planner};

/// Time after which the members of a proposed group that was not applied count as free again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(800);

/// What is left of the free endpoints while groups are proposed, and the groups that there will be.
struct Formation<'a> {
    allocation: Allocation<'a>,
    domains: FreeEndpoints,
    counts: Counts,
}

/// Fabric domains whose free endpoints are reserved for a model, and until when.
pub(super) type ReservedDomains = BTreeMap<Name, (Name, Instant)>;

impl Planner {
    /// Proposes new groups from free endpoints, and conversions. Once callers have sent requests, a
    /// new leader first waits for one heartbeat interval to learn the state of the endpoints.
    pub(super) fn form_groups(
        &mut self,
        inputs: &mut Inputs<'_>,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let now = inputs.now;
        self.proposed_members.retain(|_, at| now.since(*at) < PROPOSAL_TIMEOUT);
        let awaits_heartbeats =
            now.since(self.leading_since) < self.times.heartbeat_interval && inputs.traffic;
        if awaits_heartbeats || !self.has_stable_endpoint_count(inputs) {
            return;
        }
        let document = inputs.document;
        for service in document.services.values() {
            let Some(engine) = &service.engine else { continue };
            let mut formation = Formation {
                allocation: Allocation::new(inputs, service, engine, self.times.loss_timeout()),
                domains: self.free_endpoints(inputs, service),
                counts: group_counts(inputs, service),
            };
            self.propose_groups(inputs, &mut formation, true, changes, effects);
            let Formation { allocation, domains, counts } = &formation;
            if self.convert_groups(inputs, allocation, domains, counts, changes, effects) {
                continue;
            }
            self.propose_groups(inputs, &mut formation, false, changes, effects);
        }
    }

    /// Proposes groups as long as there are enough free endpoints, only for models below their
    /// target if `only_below_target` is set.
    fn propose_groups(
        &mut self,
        inputs: &Inputs<'_>,
        formation: &mut Formation<'_>,
        only_below_target: bool,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let now = inputs.now;
        self.reserved_domains.retain(|_, (_, until)| now < *until);
        while let Some((model, domain)) =
            choose_placement(inputs, formation, only_below_target, &self.reserved_domains)
        {
            self.reserved_domains.remove(&domain);
            let Some(free) = formation.domains.get_mut(&domain) else { break };
            let members = take_members(inputs, free, model);
            let service = formation.allocation.service;
            let placement = self.prepare_placement(inputs, service, model, &members);
            let detail = format!("model={} members={members:?}", model.name);
            effects.push(Effect::Log(journal::Event::new(242, "group proposed", &*domain, detail)));
            changes.push(Change::CreateGroup(placement));
            *formation.counts.entry(model.name.clone()).or_default() += 1;
        }
    }

    /// Whether all endpoints are probably known. Before the first group, the leader waits until no
    /// new endpoints appear for half a heartbeat interval, so that groups are not planned from the
    /// first few endpoints alone.
    fn has_stable_endpoint_count(&mut self, inputs: &Inputs<'_>) -> bool {
        if inputs.traffic || !inputs.state_machine.groups.is_empty() {
            return true;
        }
        let now = inputs.now;
        let count = inputs.endpoints.iter().count();
        let (previous, since) = *self.endpoint_count.get_or_insert((count, now));
        if previous != count {
            self.endpoint_count = Some((count, now));
            return false;
        }
        now.since(since) > self.times.heartbeat_interval / 2
    }

    /// Builds the command to create a group, and marks its members as proposed.
    fn prepare_placement(
        &mut self,
        inputs: &Inputs<'_>,
        service: &Service,
        model: &Model,
        members: &[Name],
    ) -> GroupPlacement {
        for id in members {
            self.proposed_members.insert(id.clone(), inputs.now);
        }
        let members = members.iter().filter_map(|id| {
            let endpoint = inputs.endpoints.find(id)?;
            let heartbeat = &endpoint.heartbeat;
            Some(Member {
                id: heartbeat.id.clone(),
                started_unix_ms: heartbeat.started_unix_ms,
                address: heartbeat.address.clone(),
            })
        });
        GroupPlacement {
            service: service.name.to_string(),
            model: model.name.to_string(),
            members: members.collect(),
        }
    }
}

/// Chooses a model and a fabric domain for a new group. Models below their target come first, those
/// with the most members per group before others; ties and all other models are ordered by load.
/// Domains reserved for another model are left out, and those in [`releasing_domains`] too if the
/// model has reached its target. Of the domains with enough free endpoints, one with the most warm
/// endpoints is preferred, of which no more than the group needs are counted; then one without a
/// group of the model; then one with the most free endpoints. Once callers have sent requests, a
/// model that already has a group gets another only from warm endpoints.
fn choose_placement<'a>(
    inputs: &Inputs<'_>,
    formation: &Formation<'a>,
    only_below_target: bool,
    reserved: &ReservedDomains,
) -> Option<(&'a Model, Name)> {
    let Formation { allocation, domains, counts } = formation;
    let Allocation { service, engine, target_counts } = allocation;
    let below_target = |model: &Model| {
        let count = counts.get(&model.name).copied().unwrap_or(0);
        count < target_counts.get(&model.name).copied().unwrap_or(0)
    };
    let candidates = engine.models.iter().filter(|model| below_target(model) || !only_below_target);
    let mut models: Vec<&Model> = candidates.collect();
    let load = |model: &Model| load_per_group(inputs, service, engine, model, counts);
    models.sort_by(|a, b| {
        let rank =
            |model: &Model| (below_target(model), if below_target(model) { model.size } else { 0 });
        rank(b).cmp(&rank(a)).then(load(b).total_cmp(&load(a)))
    });
    let releasing_domains = releasing_domains(inputs);
    for model in models {
        let target_reached = !below_target(model);
        let domain = domains
            .iter()
            .filter(|(name, free)| {
                if reserved.get(*name).is_some_and(|(reserved, _)| *reserved != model.name) {
                    return false;
                }
                let warm = count_warm(inputs, free, &model.name);
                let is_first = counts.get(&model.name).copied().unwrap_or(0) == 0;
                let suitable = if inputs.traffic && !is_first { warm } else { free.len() };
                suitable >= model.size && !(target_reached && releasing_domains.contains(*name))
            })
            .max_by_key(|(name, free)| {
                let already_there = has_group(inputs, name, &model.name);
                (count_warm(inputs, free, &model.name).min(model.size), !already_there, free.len())
            });
        if let Some((domain, _)) = domain {
            return Some((model, domain.clone()));
        }
    }
    None
}

/// Whether a domain already has a group of a model.
fn has_group(inputs: &Inputs<'_>, domain: &Name, model: &Name) -> bool {
    let of_model = inputs.state_machine.groups.values().filter(|group| *group.model == **model);
    let mut heads = of_model.filter_map(Group::head);
    heads.any(|head| domain_of(inputs, &head.id).as_ref() == Some(domain))
}

/// Fabric domains in which a group is being dissolved. Its members are free soon; until then, only
/// models below their target may form groups there.
pub(super) fn releasing_domains(inputs: &Inputs<'_>) -> BTreeSet<Name> {
    let dissolving = inputs.state_machine.groups.values().filter(|group| group.dissolving);
    let members = dissolving.flat_map(|group| &group.members);
    members.filter_map(|member| domain_of(inputs, &member.id)).collect()
}

/// Removes the members of a new group from the free endpoints: those that have the model in memory
/// first, then other warm ones.
fn take_members(inputs: &Inputs<'_>, free: &mut Vec<Name>, model: &Model) -> Vec<Name> {
    free.sort_by_key(|id| {
        (!is_in_memory(inputs, id, &model.name), !is_warm(inputs, id, &model.name), id.clone())
    });
    free.drain(..model.size).collect()
}

/// Whether an endpoint has a model in memory; false if the endpoint is unknown.
fn is_in_memory(inputs: &Inputs<'_>, id: &str, model: &str) -> bool {
    inputs.endpoints.find(id).is_some_and(|endpoint| endpoint.model_in_memory() == Some(model))
}
