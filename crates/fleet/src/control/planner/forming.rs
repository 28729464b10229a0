//! Which groups to form of which free endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smallvec::SmallVec;

use crate::document::{Engine, Model, Service};
use crate::journal;
use crate::Name;

use super::super::endpoints::Known;
use super::super::machine::{Change, Member, Place};
use super::super::Effect;
use super::{holds, Field, Planner};

/// Time after which a proposed group that was not applied may be proposed again.
const PROPOSE_AGAIN: Duration = Duration::from_millis(800);
/// Part of a model's groups that its demand keeps busy above which the last spares are used.
const BUSY: f64 = 0.75;
/// Spares to keep in each fabric domain while demand allows.
const SPARES: usize = 1;

/// Free endpoints of a fabric domain.
type Free = Vec<Name>;

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
        if !self.is_complete(field) {
            return;
        }
        let document = field.document;
        for service in document.services.values() {
            let Some(engine) = &service.engine else { continue };
            let mut domains = self.free(field, service);
            let mut supply = supply(field, service);
            while let Some((model, domain)) = choose(field, service, engine, &domains, &supply) {
                let Some(free) = domains.get_mut(&domain) else { break };
                let members = pick(field, free, model);
                let place = self.place(field, service, model, &members);
                let detail = format!("model={} members={members:?}", model.name);
                let event = journal::Event::new(242, "group proposed", &*domain, detail);
                effects.push(Effect::Log(event));
                changes.push(Change::Place(place));
                *supply.entry(model.name.clone()).or_default() += 1;
            }
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
        let (known, since) = *self.counted.get_or_insert((count, now));
        if known != count {
            self.counted = Some((count, now));
            return false;
        }
        now.since(since) > self.times.heartbeat / 2
    }

    /// Endpoints that are in no group and may join one, by fabric domain.
    pub(super) fn free(&self, field: &Field<'_>, service: &Service) -> BTreeMap<Name, Free> {
        let now = field.now;
        let mut domains: BTreeMap<Name, Free> = BTreeMap::new();
        for (id, known) in field.endpoints.iter() {
            let beat = &known.beat;
            let fits = *beat.service == *service.name
                && known.is_usable(now, self.times.lost())
                && now >= known.reserved
                && !self.proposed.contains_key(id)
                && field.machine.holder(id).is_none();
            if fits {
                domains.entry(beat.domain.as_str().into()).or_default().push(id.clone());
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
    ) -> Place {
        for id in members {
            self.proposed.insert(id.clone(), field.now);
        }
        let members = members.iter().filter_map(|id| {
            let known = field.endpoints.find(id)?;
            let beat = &known.beat;
            Some(Member { id: beat.id.clone(), born: beat.born, address: beat.address.clone() })
        });
        Place {
            service: service.name.to_string(),
            model: model.name.to_string(),
            members: members.collect(),
        }
    }
}

/// Groups of each model that serve or are being formed.
fn supply(field: &Field<'_>, service: &Service) -> BTreeMap<Name, usize> {
    let mut supply = BTreeMap::new();
    for group in field.machine.groups.values() {
        if !group.doomed && *group.service == *service.name {
            *supply.entry(Name::from(group.model.as_str())).or_default() += 1;
        }
    }
    supply
}

/// Groups that a model's work keeps busy, by what callers ask or else by the expected share.
pub(super) fn wanted(field: &Field<'_>, service: &Service, engine: &Engine, model: &Model) -> f64 {
    let key = (service.name.clone(), model.name.clone());
    let total: f64 = engine
        .models
        .iter()
        .filter_map(|model| field.demand.get(&(service.name.clone(), model.name.clone())))
        .sum();
    if field.traffic && total > 0.5 {
        return field.demand.get(&key).copied().unwrap_or(0.0) + 0.05;
    }
    let shares: f64 = engine.models.iter().map(|model| model.share).sum();
    model.share / shares.max(f64::MIN_POSITIVE) / model.size.max(1) as f64
}

/// Chooses the model that lacks groups most among those that some domain has endpoints for, and the
/// domain whose endpoints need the fewest loads.
fn choose<'a>(
    field: &Field<'_>,
    service: &Service,
    engine: &'a Engine,
    domains: &BTreeMap<Name, Free>,
    supply: &BTreeMap<Name, usize>,
) -> Option<(&'a Model, Name)> {
    let mut models: SmallVec<[(f64, &Model); 4]> = engine
        .models
        .iter()
        .map(|model| {
            let groups = supply.get(&model.name).copied().unwrap_or(0);
            let wanted = wanted(field, service, engine, model);
            (wanted / (groups as f64 + 0.01), model)
        })
        .collect();
    models.sort_by(|a, b| b.0.total_cmp(&a.0));
    let releasing = releasing(field);
    for (rank, (load, model)) in models.into_iter().enumerate() {
        let spares = if field.traffic && load > BUSY { 0 } else { SPARES };
        let domain = domains
            .iter()
            .filter(|(_, free)| free.len() >= model.size + spares)
            .filter(|(name, _)| rank == 0 || !releasing.contains(*name))
            .max_by_key(|(_, free)| {
                let held = free.iter().filter(|id| has(field, id, &model.name)).count();
                (held.min(model.size), free.len())
            });
        if let Some((domain, _)) = domain {
            return Some((model, domain.clone()));
        }
    }
    None
}

/// Fabric domains in which a group is being dissolved: its members are soon free, and until then only
/// the model that lacks groups most takes endpoints there.
fn releasing(field: &Field<'_>) -> BTreeSet<Name> {
    let doomed = field.machine.groups.values().filter(|group| group.doomed);
    let members = doomed.flat_map(|group| &group.members);
    let known = members.filter_map(|member| field.endpoints.find(&member.id));
    known.map(|known| known.beat.domain.as_str().into()).collect()
}

/// Takes the members of a new group out of the free endpoints: first those that hold the model.
fn pick(field: &Field<'_>, free: &mut Free, model: &Model) -> Vec<Name> {
    free.sort_by_key(|id| (!has(field, id, &model.name), id.clone()));
    free.drain(..model.size).collect()
}

fn has(field: &Field<'_>, id: &Name, model: &str) -> bool {
    field.endpoints.find(id).is_some_and(|known: &Known| holds(known, model))
}
