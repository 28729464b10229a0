//! Which groups to form of which free endpoints, and which to dissolve for others.
//!
//! [`targets`] shares all endpoints of a service among its models, so that the groups of each are
//! equally busy. Groups are formed towards these numbers, the largest first and spread over the fabric
//! domains. Where a model lacks groups that no domain has free endpoints for, a group of a model
//! that has more than its share is dissolved ([`Planner::convert`]).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::document::{Engine, Model, Service};
use crate::journal;
use crate::Name;

use super::super::endpoints::Endpoint;
use super::super::machine::{Change, Group, GroupDissolution, GroupPlacement, Member};
use super::super::Effect;
use super::{Inputs, Planner};

/// Time after which a proposed group that was not applied may be proposed again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two times that groups are dissolved for others.
const CONVERSION_INTERVAL: Duration = Duration::from_millis(2500);
/// Groups that are dissolved for one other at most.
const MAX_GROUPS_PER_CONVERSION: usize = 2;
/// How much busier the groups of a model must be for a group of another to be dissolved for it.
const MIN_CONVERSION_GAIN: f64 = 1.3;
/// Work that is assumed for each model besides what callers ask, in groups.
const BASE_DEMAND_GROUPS: f64 = 0.2;

/// Least weight of a model whose requests are short.
const MIN_LENGTH_WEIGHT: f64 = 0.7;
/// Largest weight of a model whose requests are long.
const MAX_LENGTH_WEIGHT: f64 = 1.5;
/// Time for which the endpoints of a domain are kept for the model that groups were dissolved for.
const RESERVATION_TIME: Duration = Duration::from_secs(8);

/// Free endpoints by fabric domain.
pub(super) type Domains = BTreeMap<Name, Vec<Name>>;
/// Fabric domains whose endpoints are kept for a model, and until when.
pub(super) type ReservedDomains = BTreeMap<Name, (Name, Instant)>;
/// Number of groups by model.
type Counts = BTreeMap<Name, usize>;

/// What is wanted of the endpoints of a service.
pub(super) struct Plan<'a> {
    service: &'a Service,
    engine: &'a Engine,
    targets: Counts,
}

/// Groups to dissolve for a model that lacks groups.
struct Conversion<'a, 'b> {
    model: &'a Model,
    domain: Name,
    groups: Vec<&'b Group>,
}

impl<'a> Plan<'a> {
    /// Shares the usable endpoints of a service among its models.
    pub(super) fn new(
        inputs: &Inputs<'_>,
        service: &'a Service,
        engine: &'a Engine,
        loss_timeout: Duration,
    ) -> Plan<'a> {
        Plan { service, engine, targets: target_counts(inputs, service, engine, loss_timeout) }
    }

    /// Models with fewer groups than they should have, the busiest first.
    pub(super) fn models_below_target(&self, inputs: &Inputs<'_>) -> Vec<&'a Model> {
        let counts = group_counts(inputs, self.service);
        let count_of =
            |counts: &Counts, model: &Model| counts.get(&model.name).copied().unwrap_or(0);
        let below_target =
            |model: &&Model| count_of(&counts, model) < count_of(&self.targets, model);
        let mut models: Vec<&Model> = self.engine.models.iter().filter(below_target).collect();
        let load =
            |model: &Model| load_per_group(inputs, self.service, self.engine, model, &counts);
        models.sort_by(|a, b| load(b).total_cmp(&load(a)));
        models
    }
}

impl Planner {
    /// Proposes groups of free endpoints.
    pub(super) fn form_groups(
        &mut self,
        inputs: &mut Inputs<'_>,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let now = inputs.now;
        self.proposed_members.retain(|_, at| now.since(*at) < PROPOSAL_TIMEOUT);
        let new_leader = now.since(self.leading_since) < self.times.heartbeat && inputs.traffic;
        if new_leader || !self.has_stable_endpoint_count(inputs) {
            return;
        }
        let document = inputs.document;
        for service in document.services.values() {
            let Some(engine) = &service.engine else { continue };
            let mut domains = self.free_endpoints(inputs, service);
            let mut counts = group_counts(inputs, service);
            let plan = Plan::new(inputs, service, engine, self.times.loss_timeout());
            self.propose_groups(inputs, &plan, &mut domains, &mut counts, true, changes, effects);
            if self.convert_groups(inputs, &plan, &domains, &counts, changes, effects) {
                continue;
            }
            self.propose_groups(inputs, &plan, &mut domains, &mut counts, false, changes, effects);
        }
    }

    /// Proposes groups for as long as there are endpoints, only of models that lack groups if
    /// `lacking` is set.
    #[expect(clippy::too_many_arguments, reason = "the last two collect what follows")]
    fn propose_groups(
        &mut self,
        inputs: &Inputs<'_>,
        plan: &Plan<'_>,
        domains: &mut Domains,
        counts: &mut Counts,
        only_below_target: bool,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let now = inputs.now;
        self.reserved_domains.retain(|_, (_, until)| now < *until);
        while let Some((model, domain)) = choose_placement(
            inputs,
            plan,
            domains,
            counts,
            only_below_target,
            &self.reserved_domains,
        ) {
            self.reserved_domains.remove(&domain);
            let Some(free) = domains.get_mut(&domain) else { break };
            let members = take_members(inputs, free, model);
            let placement = self.prepare_placement(inputs, plan.service, model, &members);
            let detail = format!("model={} members={members:?}", model.name);
            effects.push(Effect::Log(journal::Event::new(242, "group proposed", &*domain, detail)));
            changes.push(Change::CreateGroup(placement));
            *counts.entry(model.name.clone()).or_default() += 1;
        }
    }

    /// Whether all endpoints have probably been heard of. Before the first group, the leader waits
    /// until no new ones appear, so that the first endpoints do not settle the shape of the groups.
    fn has_stable_endpoint_count(&mut self, inputs: &Inputs<'_>) -> bool {
        if inputs.traffic || !inputs.machine.groups.is_empty() {
            return true;
        }
        let now = inputs.now;
        let count = inputs.endpoints.iter().count();
        let (previous, since) = *self.endpoint_count.get_or_insert((count, now));
        if previous != count {
            self.endpoint_count = Some((count, now));
            return false;
        }
        now.since(since) > self.times.heartbeat / 2
    }

    /// Endpoints that are in no group and may join one, by fabric domain.
    pub(super) fn free_endpoints(&self, inputs: &Inputs<'_>, service: &Service) -> Domains {
        let now = inputs.now;
        let mut domains = Domains::new();
        for (id, endpoint) in inputs.endpoints.iter() {
            let is_free = is_usable(endpoint, service, now, self.times.loss_timeout())
                && !self.proposed_members.contains_key(id)
                && inputs.machine.group_of(id).is_none();
            if is_free {
                domains
                    .entry(endpoint.heartbeat.domain.as_str().into())
                    .or_default()
                    .push(id.clone());
            }
        }
        domains
    }

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
                started_unix_ms: heartbeat.born,
                address: heartbeat.address.clone(),
            })
        });
        GroupPlacement {
            service: service.name.to_string(),
            model: model.name.to_string(),
            members: members.collect(),
        }
    }

    /// Dissolves groups for a model whose groups are much busier, in a domain where their members and
    /// the free endpoints are then enough; true if endpoints are to be left free for it.
    fn convert_groups(
        &mut self,
        inputs: &Inputs<'_>,
        plan: &Plan<'_>,
        domains: &Domains,
        counts: &Counts,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let now = inputs.now;
        if !inputs.traffic {
            return false;
        }
        let Some(conversion) = find_conversion(inputs, plan, domains, counts) else { return false };
        let converting = |group: &Group| group.dissolving && group.graceful;
        let conversion_running = inputs.machine.groups.values().any(converting);
        let recent = self.last_conversion.is_some_and(|at| now.since(at) < CONVERSION_INTERVAL);
        if conversion_running || recent || !self.proposed_members.is_empty() {
            return true;
        }
        self.last_conversion = Some(now);
        self.reserved_domains
            .insert(conversion.domain, (conversion.model.name.clone(), now + RESERVATION_TIME));
        for group in conversion.groups {
            changes.push(Change::DissolveGroup(GroupDissolution {
                group: group.name.clone(),
                graceful: true,
            }));
            let gaining = &conversion.model.name;
            let detail = format!("model={} for={gaining} counts={counts:?}", group.model);
            let event =
                journal::Event::new(243, "group dissolved for another model", &*group.name, detail);
            effects.push(Effect::Log(event));
        }
        true
    }
}

pub(super) fn is_usable(
    endpoint: &Endpoint,
    service: &Service,
    now: Instant,
    loss_timeout: Duration,
) -> bool {
    *endpoint.heartbeat.service == *service.name && endpoint.is_usable(now, loss_timeout)
}

/// Groups of each model that serve or are being formed.
fn group_counts(inputs: &Inputs<'_>, service: &Service) -> Counts {
    let mut counts = Counts::new();
    for group in inputs.machine.groups.values() {
        if !group.dissolving && *group.service == *service.name {
            *counts.entry(group.model.as_str().into()).or_default() += 1;
        }
    }
    counts
}

/// Weight of a model's work: the groups that it keeps busy by what callers ask, or else the expected
/// share. Requests that take long wait longer for each other at the same load, so their work weighs
/// more, with the square root of their length.
pub(super) fn demand_weight(
    inputs: &Inputs<'_>,
    service: &Service,
    engine: &Engine,
    model: &Model,
) -> f64 {
    let work = |model: &Model| {
        let key = (service.name.clone(), model.name.clone());
        inputs.demand.get(&key).copied().unwrap_or_default()
    };
    let groups: f64 = engine.models.iter().map(|model| work(model).busy_groups).sum();
    let requests: f64 = engine.models.iter().map(|model| work(model).requests_per_second).sum();
    if inputs.traffic && groups > 1.0 {
        let own = work(model);
        let mean = groups / requests.max(f64::MIN_POSITIVE);
        let length = if own.requests_per_second > 0.1 {
            (own.seconds_per_request() / mean).sqrt()
        } else {
            1.0
        };
        return own.busy_groups * length.clamp(MIN_LENGTH_WEIGHT, MAX_LENGTH_WEIGHT)
            + BASE_DEMAND_GROUPS;
    }
    let shares: f64 = engine.models.iter().map(|model| model.share).sum();
    model.share / shares.max(f64::MIN_POSITIVE) / model.size.max(1) as f64
}

/// Number of groups that each model should have: all usable endpoints are shared among the models,
/// each group going to the model whose groups would be busiest.
fn target_counts(
    inputs: &Inputs<'_>,
    service: &Service,
    engine: &Engine,
    loss_timeout: Duration,
) -> Counts {
    let usable = inputs.endpoints.iter();
    let usable =
        usable.filter(|(_, endpoint)| is_usable(endpoint, service, inputs.now, loss_timeout));
    let mut left = usable.count();
    let mut targets = Counts::new();
    loop {
        let busiest = engine.models.iter().filter(|model| model.size <= left).max_by(|a, b| {
            let load = |model: &Model| load_per_group(inputs, service, engine, model, &targets);
            load(a).total_cmp(&load(b))
        });
        let Some(model) = busiest else { return targets };
        left -= model.size;
        *targets.entry(model.name.clone()).or_default() += 1;
    }
}

/// Work of a model for each of its groups.
fn load_per_group(
    inputs: &Inputs<'_>,
    service: &Service,
    engine: &Engine,
    model: &Model,
    counts: &Counts,
) -> f64 {
    let groups = counts.get(&model.name).copied().unwrap_or(0) as f64;
    demand_weight(inputs, service, engine, model) / (groups + 0.01)
}

/// Chooses a model, the largest of those that lack groups, else the busiest, and the domain with the
/// most endpoints that can serve it at once.
fn choose_placement<'a>(
    inputs: &Inputs<'_>,
    plan: &Plan<'a>,
    domains: &Domains,
    counts: &Counts,
    only_below_target: bool,
    reserved: &ReservedDomains,
) -> Option<(&'a Model, Name)> {
    let Plan { service, engine, targets } = plan;
    let below_target = |model: &Model| {
        let count = counts.get(&model.name).copied().unwrap_or(0);
        count < targets.get(&model.name).copied().unwrap_or(0)
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
        let surplus = !below_target(model);
        let domain = domains
            .iter()
            .filter(|(name, free)| {
                if reserved.get(*name).is_some_and(|(reserved, _)| *reserved != model.name) {
                    return false;
                }
                let warm = count_warm(inputs, free, &model.name);
                let first = counts.get(&model.name).copied().unwrap_or(0) == 0;
                let suitable = if inputs.traffic && !first { warm } else { free.len() };
                suitable >= model.size && !(surplus && releasing_domains.contains(*name))
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
    let of_model = inputs.machine.groups.values().filter(|group| *group.model == **model);
    let mut heads = of_model.filter_map(Group::head);
    heads.any(|head| domain_of(inputs, &head.id).as_ref() == Some(domain))
}

pub(super) fn domain_of(inputs: &Inputs<'_>, id: &str) -> Option<Name> {
    Some(inputs.endpoints.find(id)?.heartbeat.domain.as_str().into())
}

/// Fabric domains in which a group is being dissolved: its members are soon free, and until then only
/// a model that lacks groups takes endpoints there.
fn releasing_domains(inputs: &Inputs<'_>) -> BTreeSet<Name> {
    let dissolving = inputs.machine.groups.values().filter(|group| group.dissolving);
    let members = dissolving.flat_map(|group| &group.members);
    members.filter_map(|member| domain_of(inputs, &member.id)).collect()
}

/// Finds a model that lacks groups, and groups of another model to dissolve for it.
fn find_conversion<'a, 'b>(
    inputs: &'b Inputs<'_>,
    plan: &Plan<'a>,
    domains: &Domains,
    counts: &Counts,
) -> Option<Conversion<'a, 'b>> {
    let Plan { service, engine, targets } = plan;
    let count = |model: &Model| counts.get(&model.name).copied().unwrap_or(0);
    let target = |model: &Model| targets.get(&model.name).copied().unwrap_or(0);
    let load = |model: &Model| load_per_group(inputs, service, engine, model, counts);
    let gaining = engine
        .models
        .iter()
        .filter(|model| count(model) < target(model))
        .max_by(|a, b| load(a).total_cmp(&load(b)))?;
    let releasing_domains = releasing_domains(inputs);
    let mut best: Option<(Name, Vec<&Group>)> = None;
    for donor in engine.models.iter().filter(|donor| donor.name != gaining.name) {
        for (domain, groups) in groups_by_domain(inputs, &donor.name) {
            let free = domains.get(&domain).map(Vec::as_slice).unwrap_or_default();
            let free = count_warm(inputs, free, &gaining.name);
            let Some(chosen) = choose_donors(inputs, free, groups, gaining) else { continue };
            if releasing_domains.contains(&domain) {
                continue;
            }
            let needed = chosen.len();
            if count(donor) <= needed {
                continue;
            }
            let donor_load =
                demand_weight(inputs, service, engine, donor) / (count(donor) - needed) as f64;
            if load(gaining) < donor_load * MIN_CONVERSION_GAIN {
                continue;
            }
            if best.as_ref().is_none_or(|(_, chosen)| needed < chosen.len()) {
                best = Some((domain, chosen));
            }
        }
    }
    best.map(|(domain, groups)| Conversion { model: gaining, domain, groups })
}

/// Groups of a model that take requests, by fabric domain.
fn groups_by_domain<'b>(inputs: &'b Inputs<'_>, model: &Name) -> BTreeMap<Name, Vec<&'b Group>> {
    let mut domains: BTreeMap<Name, Vec<&Group>> = BTreeMap::new();
    let groups = inputs.machine.groups.values();
    for group in groups.filter(|group| *group.model == **model && !group.dissolving) {
        let domain = group.head().and_then(|head| domain_of(inputs, &head.id));
        if let Some(domain) = domain {
            domains.entry(domain).or_default().push(group);
        }
    }
    domains
}

/// The fewest groups whose members, with `free` other endpoints, can serve a model without a load.
fn choose_donors<'b>(
    inputs: &Inputs<'_>,
    free: usize,
    groups: Vec<&'b Group>,
    model: &Model,
) -> Option<Vec<&'b Group>> {
    let members = |group: &Group| {
        let members = group.members.iter();
        members.filter(|member| is_warm(inputs, &member.id, &model.name)).count()
    };
    let mut groups: Vec<(usize, &Group)> =
        groups.into_iter().map(|group| (members(group), group)).collect();
    groups.sort_by_key(|(warm, _)| std::cmp::Reverse(*warm));
    let mut warm = free;
    let mut chosen = Vec::new();
    for (more, group) in groups.into_iter().take(MAX_GROUPS_PER_CONVERSION) {
        warm += more;
        chosen.push(group);
        if warm >= model.size {
            return Some(chosen);
        }
    }
    None
}

/// Endpoints of a list that can serve a model without a load.
fn count_warm(inputs: &Inputs<'_>, ids: &[Name], model: &str) -> usize {
    ids.iter().filter(|id| is_warm(inputs, id, model)).count()
}

/// Takes the members of a new group out of the free endpoints: first those that need no load.
fn take_members(inputs: &Inputs<'_>, free: &mut Vec<Name>, model: &Model) -> Vec<Name> {
    free.sort_by_key(|id| (!is_warm(inputs, id, &model.name), id.clone()));
    free.drain(..model.size).collect()
}

pub(super) fn is_warm(inputs: &Inputs<'_>, id: &str, model: &str) -> bool {
    inputs.endpoints.find(id).is_some_and(|endpoint| endpoint.is_warm(model))
}
