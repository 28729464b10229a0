//! Formation of groups from free endpoints, and conversion of groups of one model to another.
//!
//! `target_counts` divides all endpoints of a service among its models so that the groups of each
//! model are equally loaded. Groups are formed until each model has its target number, those with
//! the most members first, spread over the fabric domains. If a model is below its target and no
//! domain has enough free endpoints, groups of a model with less load are dissolved
//! (`Planner::convert_groups`). The load of a model is its demand per group. An endpoint is warm
//! for a model if it can serve it without loading the weights from the weight store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::document::{Engine, Model, Service};
use crate::journal;
use crate::Name;

use super::super::endpoints::Endpoint;
use super::super::state_machine::{Change, Group, GroupDissolution, GroupPlacement, Member};
use super::super::Effect;
use super::{Inputs, Planner};

/// Time after which the members of a proposed group that was not applied count as free again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(800);
/// Minimum time between two conversions; a needed one waits until it has passed.
const CONVERSION_INTERVAL: Duration = Duration::from_millis(2500);
/// Maximum number of groups that are dissolved for one new group; a conversion that needs more is
/// not made.
const GROUPS_PER_CONVERSION_MAX: usize = 2;
/// Minimum ratio of the load of the gaining model before the conversion to that of the donor after
/// it; below it, no group is dissolved.
const CONVERSION_GAIN_MIN: f64 = 1.3;
/// Demand, in busy groups, that is added to the measured demand of each model, so that a model
/// without recent requests keeps some.
const BASE_DEMAND_GROUPS: f64 = 0.2;

/// Lower limit of the factor by which short requests reduce the demand of a model.
const LENGTH_WEIGHT_MIN: f64 = 0.7;
/// Upper limit of the factor by which long requests increase the demand of a model.
const LENGTH_WEIGHT_MAX: f64 = 1.5;
/// Time for which the free endpoints of a domain are reserved for the model that groups were
/// dissolved for; after it, any model may use them.
const RESERVATION_TIME: Duration = Duration::from_secs(8);

/// Identities of the free endpoints of a service, by fabric domain.
pub(super) type FreeEndpoints = BTreeMap<Name, Vec<Name>>;
/// Fabric domains whose free endpoints are reserved for a model, and until when.
pub(super) type ReservedDomains = BTreeMap<Name, (Name, Instant)>;
/// Number of groups by model.
type Counts = BTreeMap<Name, usize>;

/// Target number of groups for each model of a service.
pub(super) struct Allocation<'a> {
    service: &'a Service,
    engine: &'a Engine,
    target_counts: Counts,
}

/// Groups to dissolve so that another model can form a group from their members.
struct Conversion<'a, 'b> {
    /// Model that gains a group.
    model: &'a Model,
    /// Fabric domain of the groups.
    domain: Name,
    /// Groups to dissolve.
    groups: Vec<&'b Group>,
}

impl<'a> Allocation<'a> {
    /// Divides the usable endpoints of a service among its models.
    pub(super) fn new(
        inputs: &Inputs<'_>,
        service: &'a Service,
        engine: &'a Engine,
        loss_timeout: Duration,
    ) -> Allocation<'a> {
        Allocation {
            service,
            engine,
            target_counts: target_counts(inputs, service, engine, loss_timeout),
        }
    }

    /// Models with fewer groups than their target, those with the highest load per group first.
    pub(super) fn models_below_target(&self, inputs: &Inputs<'_>) -> Vec<&'a Model> {
        let counts = group_counts(inputs, self.service);
        let count_of =
            |counts: &Counts, model: &Model| counts.get(&model.name).copied().unwrap_or(0);
        let below_target =
            |model: &&Model| count_of(&counts, model) < count_of(&self.target_counts, model);
        let mut models: Vec<&Model> = self.engine.models.iter().filter(below_target).collect();
        let load =
            |model: &Model| load_per_group(inputs, self.service, self.engine, model, &counts);
        models.sort_by(|a, b| load(b).total_cmp(&load(a)));
        models
    }
}

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
            let mut domains = self.free_endpoints(inputs, service);
            let mut counts = group_counts(inputs, service);
            let allocation = Allocation::new(inputs, service, engine, self.times.loss_timeout());
            self.propose_groups(
                inputs,
                &allocation,
                &mut domains,
                &mut counts,
                true,
                changes,
                effects,
            );
            if self.convert_groups(inputs, &allocation, &domains, &counts, changes, effects) {
                continue;
            }
            self.propose_groups(
                inputs,
                &allocation,
                &mut domains,
                &mut counts,
                false,
                changes,
                effects,
            );
        }
    }

    /// Proposes groups as long as there are enough free endpoints, only for models below their
    /// target if `only_below_target` is set.
    #[expect(clippy::too_many_arguments, reason = "the last two collect what follows")]
    fn propose_groups(
        &mut self,
        inputs: &Inputs<'_>,
        allocation: &Allocation<'_>,
        domains: &mut FreeEndpoints,
        counts: &mut Counts,
        only_below_target: bool,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let now = inputs.now;
        self.reserved_domains.retain(|_, (_, until)| now < *until);
        while let Some((model, domain)) = choose_placement(
            inputs,
            allocation,
            domains,
            counts,
            only_below_target,
            &self.reserved_domains,
        ) {
            self.reserved_domains.remove(&domain);
            let Some(free) = domains.get_mut(&domain) else { break };
            let members = take_members(inputs, free, model);
            let placement = self.prepare_placement(inputs, allocation.service, model, &members);
            let detail = format!("model={} members={members:?}", model.name);
            effects.push(Effect::Log(journal::Event::new(242, "group proposed", &*domain, detail)));
            changes.push(Change::CreateGroup(placement));
            *counts.entry(model.name.clone()).or_default() += 1;
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

    /// Usable endpoints of a service that belong to no group, not even a proposed one, by fabric
    /// domain.
    pub(super) fn free_endpoints(&self, inputs: &Inputs<'_>, service: &Service) -> FreeEndpoints {
        let now = inputs.now;
        let mut domains = FreeEndpoints::new();
        for (id, endpoint) in inputs.endpoints.iter() {
            let is_free = is_usable(endpoint, service, now, self.times.loss_timeout())
                && !self.proposed_members.contains_key(id)
                && inputs.state_machine.group_of(id).is_none();
            if is_free {
                domains
                    .entry(endpoint.heartbeat.domain.as_str().into())
                    .or_default()
                    .push(id.clone());
            }
        }
        domains
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

    /// Proposes to dissolve groups for another model whose load is much higher, in a domain where
    /// their members and the free endpoints that are warm for that model suffice for a new group of
    /// it. Returns true if such a conversion is needed, even if it must wait for another one:
    /// models that have reached their target then get no further groups.
    fn convert_groups(
        &mut self,
        inputs: &Inputs<'_>,
        allocation: &Allocation<'_>,
        domains: &FreeEndpoints,
        counts: &Counts,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let now = inputs.now;
        if !inputs.traffic {
            return false;
        }
        let Some(conversion) = find_conversion(inputs, allocation, domains, counts) else {
            return false;
        };
        let is_converting = |group: &Group| group.dissolving && group.graceful;
        let conversion_running = inputs.state_machine.groups.values().any(is_converting);
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

/// Whether an endpoint belongs to a service and accepts new work.
pub(super) fn is_usable(
    endpoint: &Endpoint,
    service: &Service,
    now: Instant,
    loss_timeout: Duration,
) -> bool {
    *endpoint.heartbeat.service == *service.name && endpoint.is_usable(now, loss_timeout)
}

/// Number of groups of each model that are not being dissolved.
fn group_counts(inputs: &Inputs<'_>, service: &Service) -> Counts {
    let mut counts = Counts::new();
    for group in inputs.state_machine.groups.values() {
        if !group.dissolving && *group.service == *service.name {
            *counts.entry(group.model.as_str().into()).or_default() += 1;
        }
    }
    counts
}

/// Demand of a model relative to the other models of the service: its average number of busy groups
/// or, while the measured demand is low, its expected share divided by the size of its groups. At
/// equal load, long requests queue for longer than short ones, so the measured demand is scaled by
/// the square root of the ratio of the model's mean work per request to that of all requests.
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
        return own.busy_groups * length.clamp(LENGTH_WEIGHT_MIN, LENGTH_WEIGHT_MAX)
            + BASE_DEMAND_GROUPS;
    }
    let shares: f64 = engine.models.iter().map(|model| model.share).sum();
    model.share / shares.max(f64::MIN_POSITIVE) / model.size.max(1) as f64
}

/// Target number of groups for each model: usable endpoints are assigned one group at a time, each
/// to the model whose load per group is highest at that point, until no model's group fits any
/// more.
pub(super) fn target_counts(
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

/// Demand of a model divided by its number of groups; a small constant keeps it finite without
/// groups.
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

/// Chooses a model and a fabric domain for a new group. Models below their target come first, those
/// with the most members per group before others; ties and all other models are ordered by load.
/// Domains reserved for another model are left out, and those in [`releasing_domains`] too if the
/// model has reached its target. Of the domains with enough free endpoints, one with the most warm
/// endpoints is preferred, of which no more than the group needs are counted; then one without a
/// group of the model; then one with the most free endpoints. Once callers have sent requests, a
/// model that already has a group gets another only from warm endpoints.
fn choose_placement<'a>(
    inputs: &Inputs<'_>,
    allocation: &Allocation<'a>,
    domains: &FreeEndpoints,
    counts: &Counts,
    only_below_target: bool,
    reserved: &ReservedDomains,
) -> Option<(&'a Model, Name)> {
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

/// Fabric domain of an endpoint, or none if the endpoint is unknown.
pub(super) fn domain_of(inputs: &Inputs<'_>, id: &str) -> Option<Name> {
    Some(inputs.endpoints.find(id)?.heartbeat.domain.as_str().into())
}

/// Fabric domains in which a group is being dissolved. Its members are free soon; until then, only
/// models below their target may form groups there.
fn releasing_domains(inputs: &Inputs<'_>) -> BTreeSet<Name> {
    let dissolving = inputs.state_machine.groups.values().filter(|group| group.dissolving);
    let members = dissolving.flat_map(|group| &group.members);
    members.filter_map(|member| domain_of(inputs, &member.id)).collect()
}

/// Finds the most loaded of the models with fewer groups than their target, and the fewest groups
/// of another model in one domain to dissolve for it. The donor model keeps at least one group, and
/// its load afterwards must satisfy [`CONVERSION_GAIN_MIN`].
fn find_conversion<'a, 'b>(
    inputs: &'b Inputs<'_>,
    allocation: &Allocation<'a>,
    domains: &FreeEndpoints,
    counts: &Counts,
) -> Option<Conversion<'a, 'b>> {
    let Allocation { service, engine, target_counts } = allocation;
    let count = |model: &Model| counts.get(&model.name).copied().unwrap_or(0);
    let target = |model: &Model| target_counts.get(&model.name).copied().unwrap_or(0);
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
            if load(gaining) < donor_load * CONVERSION_GAIN_MIN {
                continue;
            }
            if best.as_ref().is_none_or(|(_, chosen)| needed < chosen.len()) {
                best = Some((domain, chosen));
            }
        }
    }
    best.map(|(domain, groups)| Conversion { model: gaining, domain, groups })
}

/// Groups of a model that are not being dissolved, by fabric domain.
fn groups_by_domain<'b>(inputs: &'b Inputs<'_>, model: &Name) -> BTreeMap<Name, Vec<&'b Group>> {
    let mut domains: BTreeMap<Name, Vec<&Group>> = BTreeMap::new();
    let groups = inputs.state_machine.groups.values();
    for group in groups.filter(|group| *group.model == **model && !group.dissolving) {
        let domain = group.head().and_then(|head| domain_of(inputs, &head.id));
        if let Some(domain) = domain {
            domains.entry(domain).or_default().push(group);
        }
    }
    domains
}

/// Chooses the fewest groups whose members that are warm for a model, together with `free` other
/// warm endpoints, suffice for a group of it; none if that takes more than
/// [`GROUPS_PER_CONVERSION_MAX`].
fn choose_donors<'b>(
    inputs: &Inputs<'_>,
    free: usize,
    groups: Vec<&'b Group>,
    model: &Model,
) -> Option<Vec<&'b Group>> {
    let warm_members = |group: &Group| {
        let members = group.members.iter();
        members.filter(|member| is_warm(inputs, &member.id, &model.name)).count()
    };
    let mut groups: Vec<(usize, &Group)> =
        groups.into_iter().map(|group| (warm_members(group), group)).collect();
    groups.sort_by_key(|(warm, _)| std::cmp::Reverse(*warm));
    let mut warm = free;
    let mut chosen = Vec::new();
    for (more, group) in groups.into_iter().take(GROUPS_PER_CONVERSION_MAX) {
        warm += more;
        chosen.push(group);
        if warm >= model.size {
            return Some(chosen);
        }
    }
    None
}

/// Number of endpoints in a list that are warm for a model.
fn count_warm(inputs: &Inputs<'_>, ids: &[Name], model: &str) -> usize {
    ids.iter().filter(|id| is_warm(inputs, id, model)).count()
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

/// Whether an endpoint is warm for a model; false if the endpoint is unknown.
pub(super) fn is_warm(inputs: &Inputs<'_>, id: &str, model: &str) -> bool {
    inputs.endpoints.find(id).is_some_and(|endpoint| endpoint.is_warm(model))
}
