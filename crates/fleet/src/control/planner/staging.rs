//! Staging: copying the weights of models to VMs in advance. Also limits the rate of loads from the
//! weight store, which staging and the formation of groups share.
//!
//! A member of a group stays warm for the group's model: it can serve it again without loading the
//! weights from the weight store. So does a spare for the model in its memory ([`super::standby`]).
//! The VM of a spare is therefore ordered to stage another model, so that it can join a group of
//! either quickly; the VMs of members only in domains without a spare for each model.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::document::{Engine, Model, Service};
use crate::order::Task;
use crate::Name;

use super::super::state_machine::Group;
use super::super::Effect;
use super::targets::{demand_weight, Allocation};
use super::vacancy::{is_usable, is_warm, FreeEndpoints};
use super::{Generation, Inputs, PendingOrder, Planner, Purpose};

/// Length of the sliding window in which loads are counted. A new leader starts no load for half of
/// it.
const LOAD_WINDOW: Duration = Duration::from_secs(5);
/// Fraction of the permitted loads that is used. The rest allows for loads that begin later than
/// ordered and therefore count in a later window.
const USABLE_LOAD_FRACTION: f64 = 0.8;
/// Fraction of the usable loads that staging leaves to groups that are being formed; staging orders
/// are sent only within the rest.
const FORMING_LOAD_FRACTION: f64 = 0.4;
/// Time for which an endpoint gets no further staging order; after it, a model that is still
/// missing on the VM is ordered again.
const STAGING_RETRY_INTERVAL: Duration = Duration::from_secs(20);

/// Limits the loads from the weight store within a sliding window.
#[derive(Debug, Default)]
pub(super) struct LoadLimiter {
    /// When the loads of the last window were ordered, oldest first.
    started: VecDeque<Instant>,
    /// Until when no load may start after a change of leader.
    blocked_until: Instant,
}

impl LoadLimiter {
    /// Blocks loads for half a window, as an earlier leader may have started some shortly before.
    pub(super) fn reset(&mut self, now: Instant) {
        self.blocked_until = now + LOAD_WINDOW / 2;
    }

    /// Counts one load and returns true if it may start now. `per_second` is the permitted rate, of
    /// which the fraction `reserved_fraction` is left unused.
    pub(super) fn try_start(
        &mut self,
        now: Instant,
        per_second: f64,
        reserved_fraction: f64,
    ) -> bool {
        while self.started.front().is_some_and(|at| now.since(*at) > LOAD_WINDOW) {
            self.started.pop_front();
        }
        let limit = per_second
            * LOAD_WINDOW.as_secs_f64()
            * USABLE_LOAD_FRACTION
            * (1.0 - reserved_fraction);
        if now < self.blocked_until || self.started.len() as f64 >= limit {
            return false;
        }
        self.started.push_back(now);
        true
    }
}

/// An order to copy the weights of a model to a VM.
#[derive(Debug)]
pub(super) struct StagingOrder {
    model: Name,
    /// When it was sent.
    at: Instant,
}

/// An endpoint whose VM should stage a model.
#[derive(Debug)]
struct StagingNeed {
    /// Identity of the endpoint.
    id: Name,
    model: Name,
}

impl Planner {
    /// Orders VMs to stage the models that their endpoints may need next. Before callers have sent
    /// requests, it waits until all groups are open.
    pub(super) fn stage_models(&mut self, inputs: &mut Inputs<'_>, effects: &mut Vec<Effect>) {
        let now = inputs.now;
        self.staging_orders.retain(|_, order| now.since(order.at) < STAGING_RETRY_INTERVAL);
        let forming = |group: &Group| {
            self.groups.get(&Generation::of(group)).is_some_and(|state| !state.opened)
        };
        let groups = &inputs.state_machine.groups;
        if !inputs.traffic && (groups.is_empty() || groups.values().any(forming)) {
            return;
        }
        let document = inputs.document;
        for service in document.services.values() {
            let Some(engine) = &service.engine else { continue };
            for need in self.staging_needs(inputs, service, engine) {
                self.order_staging(inputs, engine, need, effects);
            }
        }
    }

    /// Endpoints whose VM lacks a model that they may need next, the most urgent first.
    fn staging_needs(
        &self,
        inputs: &Inputs<'_>,
        service: &Service,
        engine: &Engine,
    ) -> Vec<StagingNeed> {
        let mut domains = self.free_endpoints(inputs, service);
        let reserves = self.domains_with_reserves(inputs, engine, &domains);
        let mut needs = self.needs_for_new_groups(inputs, service, engine, &mut domains);
        needs.extend(self.needs_for_spares(inputs, engine, &domains));
        needs.extend(self.needs_for_conversions(inputs, service, engine, &reserves));
        needs
    }

    /// For each model below its target, the free endpoints of one fabric domain whose VMs must
    /// stage the model so that a group can be formed there from warm endpoints. Removes these
    /// domains from `domains`.
    fn needs_for_new_groups(
        &self,
        inputs: &Inputs<'_>,
        service: &Service,
        engine: &Engine,
        domains: &mut FreeEndpoints,
    ) -> Vec<StagingNeed> {
        if !inputs.traffic {
            return Vec::new();
        }
        let mut needs = Vec::new();
        let allocation = Allocation::new(inputs, service, engine, self.times.loss_timeout());
        for model in allocation.models_below_target(inputs) {
            let most_complete = domains
                .iter()
                .filter(|(_, free)| free.len() >= model.size)
                .max_by_key(|(_, free)| self.count_holding(inputs, free, model).min(model.size));
            let Some(domain) = most_complete.map(|(domain, _)| domain.clone()) else { continue };
            let Some(free) = domains.remove(&domain) else { continue };
            let missing = model.size.saturating_sub(self.count_holding(inputs, &free, model));
            let without = free.iter().filter(|id| !self.will_hold(inputs, id, model));
            let need = |id: &Name| StagingNeed { id: id.clone(), model: model.name.clone() };
            needs.extend(without.take(missing).map(need));
        }
        needs
    }

    /// Free endpoints whose VM lacks the model that they should keep in memory or, if they have it,
    /// another model.
    fn needs_for_spares(
        &self,
        inputs: &Inputs<'_>,
        engine: &Engine,
        domains: &FreeEndpoints,
    ) -> Vec<StagingNeed> {
        let mut needs = Vec::new();
        for spare in self.spares(inputs, engine, domains) {
            let others = engine.models.iter().filter(|model| model.name != spare.model.name);
            let model = match others.max_by_key(|model| model.size) {
                Some(other) if spare.loaded => other,
                _ => spare.model,
            };
            if !self.will_hold(inputs, &spare.id, model) {
                needs.push(StagingNeed { id: spare.id, model: model.name.clone() });
            }
        }
        needs
    }

    /// Fabric domains in which free endpoints hold each model, so that members of groups there need
    /// not stand in for those of other groups.
    fn domains_with_reserves(
        &self,
        inputs: &Inputs<'_>,
        engine: &Engine,
        domains: &FreeEndpoints,
    ) -> BTreeSet<Name> {
        let has_reserves = |free: &[Name]| {
            engine.models.iter().all(|model| self.count_holding(inputs, free, model) > 0)
        };
        let with_reserves = domains.iter().filter(|(_, free)| has_reserves(free));
        with_reserves.map(|(domain, _)| domain.clone()).collect()
    }

    /// Members of groups whose VM lacks the model to which their group would be converted. That is
    /// the other model with the most members per group or, among equals, with the highest demand.
    /// Members in a domain with reserves keep the weights of their own model on their VM, which a
    /// restart of the endpoint does not erase.
    fn needs_for_conversions(
        &self,
        inputs: &Inputs<'_>,
        service: &Service,
        engine: &Engine,
        reserves: &BTreeSet<Name>,
    ) -> Vec<StagingNeed> {
        let mut models: Vec<&Model> = engine.models.iter().collect();
        models.sort_by(|a, b| {
            let weight = |model: &Model| demand_weight(inputs, service, engine, model);
            b.size.cmp(&a.size).then(weight(b).total_cmp(&weight(a)))
        });
        let mut needs = Vec::new();
        for (id, endpoint) in inputs.endpoints.iter() {
            let Some(group) = inputs.state_machine.group_of(id) else { continue };
            let usable = is_usable(endpoint, service, inputs.now, self.times.loss_timeout());
            if !usable || reserves.contains(&*endpoint.heartbeat.domain) {
                continue;
            }
            let next = models.iter().find(|model| *model.name != *group.model);
            let Some(next) = next else { continue };
            if !endpoint.is_warm(&next.name) {
                needs.push(StagingNeed { id: id.clone(), model: next.name.clone() });
            }
        }
        needs
    }

    /// Whether an endpoint is warm for a model, or its VM was recently ordered to stage it.
    pub(super) fn will_hold(&self, inputs: &Inputs<'_>, id: &Name, model: &Model) -> bool {
        let ordered = self.staging_orders.get(id).is_some_and(|order| order.model == model.name);
        ordered || is_warm(inputs, id, &model.name)
    }

    /// Number of endpoints in a list for which [`Planner::will_hold`] is true.
    fn count_holding(&self, inputs: &Inputs<'_>, ids: &[Name], model: &Model) -> usize {
        ids.iter().filter(|id| self.will_hold(inputs, id, model)).count()
    }

    /// Number of VMs that were ordered to stage a model and have not reported it.
    fn loads_running(&self, inputs: &Inputs<'_>) -> usize {
        let has_staged = |id: &Name, model: &str| {
            inputs.endpoints.find(id).is_some_and(|endpoint| endpoint.has_staged(model))
        };
        let orders = self.staging_orders.iter();
        orders.filter(|(id, order)| !has_staged(id, &order.model)).count()
    }

    /// Orders a VM to stage a model, unless it was ordered to stage one recently. Once callers have
    /// sent requests, it also waits while the weight store serves as many VMs as it can at full
    /// speed, or while the load limiter permits no load.
    fn order_staging(
        &mut self,
        inputs: &mut Inputs<'_>,
        engine: &Engine,
        need: StagingNeed,
        effects: &mut Vec<Effect>,
    ) {
        let StagingNeed { id, model } = need;
        if self.staging_orders.contains_key(&id) {
            return;
        }
        let is_limited = inputs.traffic && engine.loads_at_once > 0;
        if is_limited && self.loads_running(inputs) >= engine.loads_at_once as usize {
            return;
        }
        if inputs.traffic
            && !self.load_limiter.try_start(inputs.now, engine.loads_per_s, FORMING_LOAD_FRACTION)
        {
            return;
        }
        let Some(endpoint) = inputs.endpoints.find(&id) else { return };
        self.staging_orders
            .insert(id.clone(), StagingOrder { model: model.clone(), at: inputs.now });
        let address = endpoint.heartbeat.address.as_str().into();
        let pending =
            PendingOrder { group: None, endpoint: id, purpose: Purpose::Stage, joins: None };
        let task = Task::Stage { model };
        self.send_order(inputs.term, pending, address, task, effects);
    }
}
