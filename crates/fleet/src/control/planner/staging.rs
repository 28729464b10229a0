//! Models on the VMs of endpoints, and the ceiling on loads from the weight store.
//!
//! A member of a group can serve the group's model again at once. Its VM therefore holds another
//! model, so that it can change sides without a load.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::document::{Engine, Model, Service};
use crate::order::Task;
use crate::Name;

use super::super::Effect;
use super::forming::{domain_of, is_usable, is_warm, wanted, Domains, Plan};
use super::{Field, Pending, Planner, Purpose};

/// Window in which loads are counted.
const WINDOW: Duration = Duration::from_secs(5);
/// Part of the permitted loads that is used, so that orders that arrive late still fit.
const MARGIN: f64 = 0.8;
/// Part of the permitted loads that is left for groups that are being formed.
const RESERVE: f64 = 0.4;
/// Time after which a model that did not appear on a VM is ordered again.
const STAGE_AGAIN: Duration = Duration::from_secs(20);

/// Counts loads that have begun in the last window.
#[derive(Debug, Default)]
pub(super) struct Ceiling {
    begun: VecDeque<Instant>,
    blocked: Instant,
}

impl Ceiling {
    /// Begins anew; an earlier leader may have begun loads in the last window.
    pub(super) fn begin(&mut self, now: Instant) {
        self.blocked = now + WINDOW / 2;
    }

    /// Takes one load; false if no other may begin now. `reserve` is the part to leave free.
    pub(super) fn take(&mut self, now: Instant, per_second: f64, reserve: f64) -> bool {
        while self.begun.front().is_some_and(|at| now.since(*at) > WINDOW) {
            self.begun.pop_front();
        }
        let most = per_second * WINDOW.as_secs_f64() * MARGIN * (1.0 - reserve);
        if now < self.blocked || self.begun.len() as f64 >= most {
            return false;
        }
        self.begun.push_back(now);
        true
    }
}

/// An order to hold a model.
#[derive(Debug)]
pub(super) struct Given {
    model: Name,
    at: Instant,
}

/// A VM that should hold a model.
#[derive(Debug)]
struct Wish {
    id: Name,
    model: Name,
}

impl Planner {
    /// Orders VMs to hold the models that their endpoints may need next.
    pub(super) fn stage(&mut self, field: &mut Field<'_>, effects: &mut Vec<Effect>) {
        let now = field.now;
        self.staged.retain(|_, given| now.since(given.at) < STAGE_AGAIN);
        let forming = |name: &Name| self.tended.get(name).is_some_and(|tended| !tended.opened);
        let mut names = field.machine.groups.keys().map(|name| name.as_str().into());
        let none = field.machine.groups.is_empty();
        if !field.traffic && (none || names.any(|name| forming(&name))) {
            return;
        }
        let document = field.document;
        for service in document.services.values() {
            let Some(engine) = &service.engine else { continue };
            for wish in self.lacking(field, service, engine) {
                self.stage_one(field, engine, wish, effects);
            }
        }
    }

    /// Endpoints whose VM does not hold the model that they may need next, the most urgent first.
    fn lacking(&self, field: &Field<'_>, service: &Service, engine: &Engine) -> Vec<Wish> {
        let mut domains = self.free(field, service);
        let mut wishes = self.completing(field, service, engine, &mut domains);
        wishes.extend(self.spares(field, engine, &domains));
        wishes.extend(self.changing(field, service, engine));
        wishes
    }

    /// Free endpoints that lack a model with which their fabric domain could form another group of a
    /// model that lacks groups. They are taken out of `domains`.
    fn completing(
        &self,
        field: &Field<'_>,
        service: &Service,
        engine: &Engine,
        domains: &mut Domains,
    ) -> Vec<Wish> {
        if !field.traffic {
            return Vec::new();
        }
        let mut wishes = Vec::new();
        let plan = Plan::of(field, service, engine, self.times.lost());
        for model in plan.lacking_models(field) {
            let nearest = domains
                .iter()
                .filter(|(_, free)| free.len() >= model.size)
                .max_by_key(|(_, free)| self.holding(field, free, model).min(model.size));
            let Some(domain) = nearest.map(|(domain, _)| domain.clone()) else { continue };
            let Some(free) = domains.remove(&domain) else { continue };
            let missing = model.size.saturating_sub(self.holding(field, &free, model));
            let without = free.iter().filter(|id| !self.holds(field, id, model));
            let wish = |id: &Name| Wish { id: id.clone(), model: model.name.clone() };
            wishes.extend(without.take(missing).map(wish));
        }
        wishes
    }

    /// Free endpoints that hold none of the models of their fabric domain. They are shared among its
    /// groups in proportion to the members, as each member is as likely to be lost.
    fn spares(&self, field: &Field<'_>, engine: &Engine, domains: &Domains) -> Vec<Wish> {
        let mut wishes = Vec::new();
        let members = members_by_domain(field, engine);
        for (domain, free) in domains {
            let holding = |model: &Model| (model.name.clone(), self.holding(field, free, model));
            let mut held: BTreeMap<Name, usize> = engine.models.iter().map(holding).collect();
            let of_model = |model: &Model| {
                let key = (domain.clone(), model.name.clone());
                members.get(&key).copied().unwrap_or(0)
            };
            let idle = |id: &&Name| !engine.models.iter().any(|m| self.holds(field, id, m));
            for id in free.iter().filter(idle) {
                let need = |model: &Model| {
                    let spares = held.get(&model.name).copied().unwrap_or(0);
                    of_model(model) as f64 / (spares + 1) as f64
                };
                let order =
                    |a: &&Model, b: &&Model| need(a).total_cmp(&need(b)).then(a.size.cmp(&b.size));
                let Some(model) = engine.models.iter().max_by(order) else { continue };
                *held.entry(model.name.clone()).or_default() += 1;
                wishes.push(Wish { id: id.clone(), model: model.name.clone() });
            }
        }
        wishes
    }

    /// Members of groups that do not hold the most wanted other model, to which they may change.
    fn changing(&self, field: &Field<'_>, service: &Service, engine: &Engine) -> Vec<Wish> {
        let mut models: Vec<&Model> = engine.models.iter().collect();
        models.sort_by(|a, b| {
            let wanted = |model: &Model| wanted(field, service, engine, model);
            b.size.cmp(&a.size).then(wanted(b).total_cmp(&wanted(a)))
        });
        let mut wishes = Vec::new();
        for (id, endpoint) in field.endpoints.iter() {
            let Some(group) = field.machine.group_of(id) else { continue };
            if !is_usable(endpoint, service, field.now, self.times.lost()) {
                continue;
            }
            let next = models.iter().find(|model| *model.name != *group.model);
            let Some(next) = next else { continue };
            if !endpoint.is_warm(&next.name) {
                wishes.push(Wish { id: id.clone(), model: next.name.clone() });
            }
        }
        wishes
    }

    /// Whether a VM holds a model, or was ordered to.
    fn holds(&self, field: &Field<'_>, id: &Name, model: &Model) -> bool {
        let ordered = self.staged.get(id).is_some_and(|given| given.model == model.name);
        ordered || is_warm(field, id, &model.name)
    }

    fn holding(&self, field: &Field<'_>, ids: &[Name], model: &Model) -> usize {
        ids.iter().filter(|id| self.holds(field, id, model)).count()
    }

    fn stage_one(
        &mut self,
        field: &mut Field<'_>,
        engine: &Engine,
        wish: Wish,
        effects: &mut Vec<Effect>,
    ) {
        let Wish { id, model } = wish;
        if self.staged.contains_key(&id) {
            return;
        }
        if field.traffic && !self.loads.take(field.now, engine.loads_per_s, RESERVE) {
            return;
        }
        let Some(endpoint) = field.endpoints.find(&id) else { return };
        self.staged.insert(id.clone(), Given { model: model.clone(), at: field.now });
        let address = endpoint.heartbeat.address.as_str().into();
        let pending = Pending { group: "".into(), endpoint: id, purpose: Purpose::Stage };
        let task = Task::Stage { model };
        self.send(field.term, pending, address, task, effects);
    }
}

/// Members of groups by fabric domain and model.
fn members_by_domain(field: &Field<'_>, engine: &Engine) -> BTreeMap<(Name, Name), usize> {
    let mut members = BTreeMap::new();
    for group in field.machine.groups.values().filter(|group| !group.dissolving) {
        let Some(model) = engine.models.iter().find(|model| *model.name == *group.model) else {
            continue;
        };
        let Some(domain) = group.head().and_then(|head| domain_of(field, &head.id)) else {
            continue;
        };
        *members.entry((domain, model.name.clone())).or_default() += group.members.len();
    }
    members
}
