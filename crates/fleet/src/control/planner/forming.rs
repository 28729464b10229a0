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
use super::{Field, Planner};

/// Time after which a proposed group that was not applied may be proposed again.
const PROPOSE_AGAIN: Duration = Duration::from_millis(800);
/// Time between two times that groups are dissolved for others.
const CONVERT_AGAIN: Duration = Duration::from_millis(2500);
/// Groups that are dissolved for one other at most.
const CONVERT_MOST: usize = 2;
/// How much busier the groups of a model must be for a group of another to be dissolved for it.
const CONVERT_GAIN: f64 = 1.3;
/// Work that is assumed for each model besides what callers ask, in groups.
const WANTED_MIN: f64 = 0.2;

/// Least weight of a model whose requests are short.
const LENGTH_MIN: f64 = 0.7;
/// Largest weight of a model whose requests are long.
const LENGTH_MAX: f64 = 1.5;
/// Time for which the endpoints of a domain are kept for the model that groups were dissolved for.
const KEEP_FOR: Duration = Duration::from_secs(8);

/// Free endpoints by fabric domain.
pub(super) type Domains = BTreeMap<Name, Vec<Name>>;
/// Fabric domains whose endpoints are kept for a model, and until when.
pub(super) type Kept = BTreeMap<Name, (Name, Instant)>;
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
    pub(super) fn of(
        field: &Field<'_>,
        service: &'a Service,
        engine: &'a Engine,
        lost: Duration,
    ) -> Plan<'a> {
        Plan { service, engine, targets: targets(field, service, engine, lost) }
    }

    /// Models with fewer groups than they should have, the busiest first.
    pub(super) fn lacking_models(&self, field: &Field<'_>) -> Vec<&'a Model> {
        let counts = counts(field, self.service);
        let of = |counts: &Counts, model: &Model| counts.get(&model.name).copied().unwrap_or(0);
        let lacks = |model: &&Model| of(&counts, model) < of(&self.targets, model);
        let mut models: Vec<&Model> = self.engine.models.iter().filter(lacks).collect();
        let load = |model: &Model| busy(field, self.service, self.engine, model, &counts);
        models.sort_by(|a, b| load(b).total_cmp(&load(a)));
        models
    }
}

impl Planner {
    /// Proposes groups of free endpoints.
    pub(super) fn form(
        &mut self,
        field: &mut Field<'_>,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let now = field.now;
        self.proposed.retain(|_, at| now.since(*at) < PROPOSE_AGAIN);
        let fresh = now.since(self.began) < self.times.heartbeat && field.traffic;
        if fresh || !self.is_complete(field) {
            return;
        }
        let document = field.document;
        for service in document.services.values() {
            let Some(engine) = &service.engine else { continue };
            let mut domains = self.free(field, service);
            let mut counts = counts(field, service);
            let plan = Plan::of(field, service, engine, self.times.lost());
            self.form_all(field, &plan, &mut domains, &mut counts, true, changes, effects);
            if self.convert(field, &plan, &domains, &counts, changes, effects) {
                continue;
            }
            self.form_all(field, &plan, &mut domains, &mut counts, false, changes, effects);
        }
    }

    /// Proposes groups for as long as there are endpoints, only of models that lack groups if
    /// `lacking` is set.
    #[expect(clippy::too_many_arguments, reason = "the last two collect what follows")]
    fn form_all(
        &mut self,
        field: &Field<'_>,
        plan: &Plan<'_>,
        domains: &mut Domains,
        counts: &mut Counts,
        lacking: bool,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let now = field.now;
        self.kept.retain(|_, (_, until)| now < *until);
        while let Some((model, domain)) = choose(field, plan, domains, counts, lacking, &self.kept)
        {
            self.kept.remove(&domain);
            let Some(free) = domains.get_mut(&domain) else { break };
            let members = pick(field, free, model);
            let place = self.place(field, plan.service, model, &members);
            let detail = format!("model={} members={members:?}", model.name);
            effects.push(Effect::Log(journal::Event::new(242, "group proposed", &*domain, detail)));
            changes.push(Change::CreateGroup(place));
            *counts.entry(model.name.clone()).or_default() += 1;
        }
    }

    /// Whether all endpoints have probably been heard of. Before the first group, the leader waits
    /// until no new ones appear, so that the first endpoints do not settle the shape of the groups.
    fn is_complete(&mut self, field: &Field<'_>) -> bool {
        if field.traffic || !field.machine.groups.is_empty() {
            return true;
        }
        let now = field.now;
        let count = field.endpoints.iter().count();
        let (previous, since) = *self.counted.get_or_insert((count, now));
        if previous != count {
            self.counted = Some((count, now));
            return false;
        }
        now.since(since) > self.times.heartbeat / 2
    }

    /// Endpoints that are in no group and may join one, by fabric domain.
    pub(super) fn free(&self, field: &Field<'_>, service: &Service) -> Domains {
        let now = field.now;
        let mut domains = Domains::new();
        for (id, endpoint) in field.endpoints.iter() {
            let fits = is_usable(endpoint, service, now, self.times.lost())
                && !self.proposed.contains_key(id)
                && field.machine.group_of(id).is_none();
            if fits {
                domains
                    .entry(endpoint.heartbeat.domain.as_str().into())
                    .or_default()
                    .push(id.clone());
            }
        }
        domains
    }

    fn place(
        &mut self,
        field: &Field<'_>,
        service: &Service,
        model: &Model,
        members: &[Name],
    ) -> GroupPlacement {
        for id in members {
            self.proposed.insert(id.clone(), field.now);
        }
        let members = members.iter().filter_map(|id| {
            let endpoint = field.endpoints.find(id)?;
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
    fn convert(
        &mut self,
        field: &Field<'_>,
        plan: &Plan<'_>,
        domains: &Domains,
        counts: &Counts,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let now = field.now;
        if !field.traffic {
            return false;
        }
        let Some(conversion) = find_conversion(field, plan, domains, counts) else { return false };
        let converting = |group: &Group| group.dissolving && group.graceful;
        let unsettled = field.machine.groups.values().any(converting);
        let recent = self.converted.is_some_and(|at| now.since(at) < CONVERT_AGAIN);
        if unsettled || recent || !self.proposed.is_empty() {
            return true;
        }
        self.converted = Some(now);
        self.kept.insert(conversion.domain, (conversion.model.name.clone(), now + KEEP_FOR));
        for group in conversion.groups {
            changes.push(Change::DissolveGroup(GroupDissolution {
                group: group.name.clone(),
                graceful: true,
            }));
            let poor = &conversion.model.name;
            let detail = format!("model={} for={poor} counts={counts:?}", group.model);
            let event =
                journal::Event::new(243, "group dissolved for another", &*group.name, detail);
            effects.push(Effect::Log(event));
        }
        true
    }
}

pub(super) fn is_usable(
    endpoint: &Endpoint,
    service: &Service,
    now: Instant,
    lost: Duration,
) -> bool {
    *endpoint.heartbeat.service == *service.name && endpoint.is_usable(now, lost)
}

/// Groups of each model that serve or are being formed.
fn counts(field: &Field<'_>, service: &Service) -> Counts {
    let mut counts = Counts::new();
    for group in field.machine.groups.values() {
        if !group.dissolving && *group.service == *service.name {
            *counts.entry(group.model.as_str().into()).or_default() += 1;
        }
    }
    counts
}

/// Weight of a model's work: the groups that it keeps busy by what callers ask, or else the expected
/// share. Requests that take long wait longer for each other at the same load, so their work weighs
/// more, with the square root of their length.
pub(super) fn wanted(field: &Field<'_>, service: &Service, engine: &Engine, model: &Model) -> f64 {
    let work = |model: &Model| {
        let key = (service.name.clone(), model.name.clone());
        field.demand.get(&key).copied().unwrap_or_default()
    };
    let groups: f64 = engine.models.iter().map(|model| work(model).busy_groups).sum();
    let requests: f64 = engine.models.iter().map(|model| work(model).requests_per_second).sum();
    if field.traffic && groups > 1.0 {
        let own = work(model);
        let mean = groups / requests.max(f64::MIN_POSITIVE);
        let length = if own.requests_per_second > 0.1 {
            (own.seconds_per_request() / mean).sqrt()
        } else {
            1.0
        };
        return own.busy_groups * length.clamp(LENGTH_MIN, LENGTH_MAX) + WANTED_MIN;
    }
    let shares: f64 = engine.models.iter().map(|model| model.share).sum();
    model.share / shares.max(f64::MIN_POSITIVE) / model.size.max(1) as f64
}

/// Number of groups that each model should have: all usable endpoints are shared among the models,
/// each group going to the model whose groups would be busiest.
fn targets(field: &Field<'_>, service: &Service, engine: &Engine, lost: Duration) -> Counts {
    let usable = field.endpoints.iter();
    let usable = usable.filter(|(_, endpoint)| is_usable(endpoint, service, field.now, lost));
    let mut left = usable.count();
    let mut targets = Counts::new();
    loop {
        let busiest = engine.models.iter().filter(|model| model.size <= left).max_by(|a, b| {
            let load = |model: &Model| busy(field, service, engine, model, &targets);
            load(a).total_cmp(&load(b))
        });
        let Some(model) = busiest else { return targets };
        left -= model.size;
        *targets.entry(model.name.clone()).or_default() += 1;
    }
}

/// Work of a model for each of its groups.
fn busy(
    field: &Field<'_>,
    service: &Service,
    engine: &Engine,
    model: &Model,
    counts: &Counts,
) -> f64 {
    let groups = counts.get(&model.name).copied().unwrap_or(0) as f64;
    wanted(field, service, engine, model) / (groups + 0.01)
}

/// Chooses a model, the largest of those that lack groups, else the busiest, and the domain with the
/// most endpoints that can serve it at once.
fn choose<'a>(
    field: &Field<'_>,
    plan: &Plan<'a>,
    domains: &Domains,
    counts: &Counts,
    lacking: bool,
    kept: &Kept,
) -> Option<(&'a Model, Name)> {
    let Plan { service, engine, targets } = plan;
    let lacks = |model: &Model| {
        let count = counts.get(&model.name).copied().unwrap_or(0);
        count < targets.get(&model.name).copied().unwrap_or(0)
    };
    let wanted = engine.models.iter().filter(|model| lacks(model) || !lacking);
    let mut models: Vec<&Model> = wanted.collect();
    let load = |model: &Model| busy(field, service, engine, model, counts);
    models.sort_by(|a, b| {
        let rank = |model: &Model| (lacks(model), if lacks(model) { model.size } else { 0 });
        rank(b).cmp(&rank(a)).then(load(b).total_cmp(&load(a)))
    });
    let releasing = releasing(field);
    for model in models {
        let waits = !lacks(model);
        let domain = domains
            .iter()
            .filter(|(name, free)| {
                if kept.get(*name).is_some_and(|(kept, _)| *kept != model.name) {
                    return false;
                }
                let warm = warm(field, free, &model.name);
                let first = counts.get(&model.name).copied().unwrap_or(0) == 0;
                let fit = if field.traffic && !first { warm } else { free.len() };
                fit >= model.size && !(waits && releasing.contains(*name))
            })
            .max_by_key(|(name, free)| {
                let same = has_group(field, name, &model.name);
                (warm(field, free, &model.name).min(model.size), !same, free.len())
            });
        if let Some((domain, _)) = domain {
            return Some((model, domain.clone()));
        }
    }
    None
}

/// Whether a domain already has a group of a model.
fn has_group(field: &Field<'_>, domain: &Name, model: &Name) -> bool {
    let of_model = field.machine.groups.values().filter(|group| *group.model == **model);
    let mut heads = of_model.filter_map(Group::head);
    heads.any(|head| domain_of(field, &head.id).as_ref() == Some(domain))
}

pub(super) fn domain_of(field: &Field<'_>, id: &str) -> Option<Name> {
    Some(field.endpoints.find(id)?.heartbeat.domain.as_str().into())
}

/// Fabric domains in which a group is being dissolved: its members are soon free, and until then only
/// a model that lacks groups takes endpoints there.
fn releasing(field: &Field<'_>) -> BTreeSet<Name> {
    let dissolving = field.machine.groups.values().filter(|group| group.dissolving);
    let members = dissolving.flat_map(|group| &group.members);
    members.filter_map(|member| domain_of(field, &member.id)).collect()
}

/// Finds a model that lacks groups, and groups of another model to dissolve for it.
fn find_conversion<'a, 'b>(
    field: &'b Field<'_>,
    plan: &Plan<'a>,
    domains: &Domains,
    counts: &Counts,
) -> Option<Conversion<'a, 'b>> {
    let Plan { service, engine, targets } = plan;
    let count = |model: &Model| counts.get(&model.name).copied().unwrap_or(0);
    let target = |model: &Model| targets.get(&model.name).copied().unwrap_or(0);
    let load = |model: &Model| busy(field, service, engine, model, counts);
    let poor = engine
        .models
        .iter()
        .filter(|model| count(model) < target(model))
        .max_by(|a, b| load(a).total_cmp(&load(b)))?;
    let releasing = releasing(field);
    let mut best: Option<(Name, Vec<&Group>)> = None;
    for rich in engine.models.iter().filter(|rich| rich.name != poor.name) {
        for (domain, groups) in groups_by_domain(field, &rich.name) {
            let free = domains.get(&domain).map(Vec::as_slice).unwrap_or_default();
            let free = warm(field, free, &poor.name);
            let Some(chosen) = enough(field, free, groups, poor) else { continue };
            if releasing.contains(&domain) {
                continue;
            }
            let needed = chosen.len();
            if count(rich) <= needed {
                continue;
            }
            let then = wanted(field, service, engine, rich) / (count(rich) - needed) as f64;
            if load(poor) < then * CONVERT_GAIN {
                continue;
            }
            if best.as_ref().is_none_or(|(_, chosen)| needed < chosen.len()) {
                best = Some((domain, chosen));
            }
        }
    }
    best.map(|(domain, groups)| Conversion { model: poor, domain, groups })
}

/// Groups of a model that take requests, by fabric domain.
fn groups_by_domain<'b>(field: &'b Field<'_>, model: &Name) -> BTreeMap<Name, Vec<&'b Group>> {
    let mut domains: BTreeMap<Name, Vec<&Group>> = BTreeMap::new();
    let groups = field.machine.groups.values();
    for group in groups.filter(|group| *group.model == **model && !group.dissolving) {
        let domain = group.head().and_then(|head| domain_of(field, &head.id));
        if let Some(domain) = domain {
            domains.entry(domain).or_default().push(group);
        }
    }
    domains
}

/// The fewest groups whose members, with `free` other endpoints, can serve a model without a load.
fn enough<'b>(
    field: &Field<'_>,
    free: usize,
    groups: Vec<&'b Group>,
    model: &Model,
) -> Option<Vec<&'b Group>> {
    let members = |group: &Group| {
        let members = group.members.iter();
        members.filter(|member| is_warm(field, &member.id, &model.name)).count()
    };
    let mut groups: Vec<(usize, &Group)> =
        groups.into_iter().map(|group| (members(group), group)).collect();
    groups.sort_by_key(|(warm, _)| std::cmp::Reverse(*warm));
    let mut warm = free;
    let mut chosen = Vec::new();
    for (more, group) in groups.into_iter().take(CONVERT_MOST) {
        warm += more;
        chosen.push(group);
        if warm >= model.size {
            return Some(chosen);
        }
    }
    None
}

/// Endpoints of a list that can serve a model without a load.
fn warm(field: &Field<'_>, ids: &[Name], model: &str) -> usize {
    ids.iter().filter(|id| is_warm(field, id, model)).count()
}

/// Takes the members of a new group out of the free endpoints: first those that need no load.
fn pick(field: &Field<'_>, free: &mut Vec<Name>, model: &Model) -> Vec<Name> {
    free.sort_by_key(|id| (!is_warm(field, id, &model.name), id.clone()));
    free.drain(..model.size).collect()
}

pub(super) fn is_warm(field: &Field<'_>, id: &str, model: &str) -> bool {
    field.endpoints.find(id).is_some_and(|endpoint| endpoint.is_warm(model))
}
