//! Standby memberships: models that free endpoints keep in memory.
//!
//! An endpoint joins a group fastest if the model of the group was that of the last group it
//! joined: the weights are then in its memory, not only on its VM. A free endpoint is therefore
//! ordered to join a group of its own, which is never opened, and holds the model until a group
//! needs the endpoint. Its VM can then stage another model ([`super::staging`]), so that it can
//! replace a lost member of either.
//!
//! A standby group is not in the log. Its epoch is the index of the last entry that the leader has
//! applied: lower than that of each group created later, so an order to join it that is carried out
//! late can't take an endpoint out of one, and not lower than any that the endpoint has seen.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use smallvec::smallvec;

use crate::document::{Engine, Model};
use crate::order::Task;
use crate::Name;

use super::super::endpoints::STANDBY_PREFIX;
use super::super::Effect;
use super::vacancy::{domain_of, FreeEndpoints};
use super::{Generation, Inputs, PendingOrder, Planner, Purpose};

/// Time for which an endpoint gets no further order to join a standby group.
const STANDBY_RETRY_INTERVAL: Duration = Duration::from_secs(4);

/// When endpoints were last ordered to join a standby group, by identity.
pub(super) type StandbyOrders = BTreeMap<Name, Instant>;

/// A free endpoint and the model that it should keep in memory.
#[derive(Debug)]
pub(super) struct Spare<'a> {
    /// Identity of the endpoint.
    pub(super) id: Name,
    pub(super) model: &'a Model,
    /// Whether the endpoint has the model in memory.
    pub(super) loaded: bool,
}

impl Planner {
    /// Orders free endpoints to join a standby group. Before callers have sent requests, loads from
    /// the weight store are not limited; afterwards, only endpoints whose VM has staged the model
    /// are ordered to join.
    pub(super) fn load_spares(&mut self, inputs: &mut Inputs<'_>, effects: &mut Vec<Effect>) {
        let now = inputs.now;
        self.standby_orders.retain(|_, at| now.since(*at) < STANDBY_RETRY_INTERVAL);
        if inputs.state_machine.groups.is_empty() {
            return;
        }
        let document = inputs.document;
        for service in document.services.values() {
            let Some(engine) = &service.engine else { continue };
            let domains = self.free_endpoints(inputs, service);
            for spare in self.spares(inputs, engine, &domains) {
                self.order_standby(inputs, &spare, effects);
            }
        }
    }

    /// Assigns a model to each free endpoint: the one in its memory, or else one that its VM has
    /// staged or was ordered to. The others are assigned in proportion to the number of group
    /// members of each model in the domain, as each member is equally likely to fail; among equals,
    /// a model that has fewer spares comes first.
    pub(super) fn spares<'a>(
        &self,
        inputs: &Inputs<'_>,
        engine: &'a Engine,
        domains: &FreeEndpoints,
    ) -> Vec<Spare<'a>> {
        let members = members_by_domain(inputs, engine);
        let mut spares = Vec::new();
        for (domain, free) in domains {
            let mut counts: BTreeMap<&Name, usize> = BTreeMap::new();
            let mut unassigned = Vec::new();
            for id in free {
                let Some(spare) = self.held_model(inputs, engine, id) else {
                    unassigned.push(id);
                    continue;
                };
                *counts.entry(&spare.model.name).or_default() += 1;
                spares.push(spare);
            }
            for id in unassigned {
                let members_per_spare = |model: &Model| {
                    let key = (domain.clone(), model.name.clone());
                    let members = members.get(&key).copied().unwrap_or(0);
                    let spares = counts.get(&model.name).copied().unwrap_or(0);
                    (members as f64 / (spares + 1) as f64, std::cmp::Reverse(spares))
                };
                let order = |a: &&Model, b: &&Model| {
                    let (a, b) = (members_per_spare(a), members_per_spare(b));
                    a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
                };
                let Some(model) = engine.models.iter().max_by(order) else { continue };
                *counts.entry(&model.name).or_default() += 1;
                spares.push(Spare { id: id.clone(), model, loaded: false });
            }
        }
        spares
    }

    /// The model that an endpoint holds, one in memory before one that is only on its VM.
    fn held_model<'a>(
        &self,
        inputs: &Inputs<'_>,
        engine: &'a Engine,
        id: &Name,
    ) -> Option<Spare<'a>> {
        let endpoint = inputs.endpoints.find(id)?;
        let in_memory = endpoint.model_in_memory();
        let loaded = engine.models.iter().find(|model| Some(&*model.name) == in_memory);
        if let Some(model) = loaded {
            return Some(Spare { id: id.clone(), model, loaded: true });
        }
        let staged = engine.models.iter().find(|model| self.will_hold(inputs, id, model));
        staged.map(|model| Spare { id: id.clone(), model, loaded: false })
    }

    /// Orders an endpoint to join its standby group, unless it has the model in memory, was ordered
    /// to recently, or would have to load the weights from the weight store.
    fn order_standby(&mut self, inputs: &Inputs<'_>, spare: &Spare<'_>, effects: &mut Vec<Effect>) {
        let Some(endpoint) = inputs.endpoints.find(&spare.id) else { return };
        let may_load = endpoint.is_warm(&spare.model.name) || !inputs.traffic;
        if spare.loaded || !may_load || self.standby_orders.contains_key(&spare.id) {
            return;
        }
        self.standby_orders.insert(spare.id.clone(), inputs.now);
        let address = endpoint.heartbeat.address.as_str().into();
        let pending = PendingOrder {
            group: Some(Generation {
                group: standby_group(&spare.model.name),
                epoch: inputs.applied,
            }),
            endpoint: spare.id.clone(),
            purpose: Purpose::Standby,
            joins: Some(inputs.applied),
        };
        let task = standby_task(inputs, &spare.id, &spare.model.name);
        self.send_order(inputs.term, pending, address, task, effects);
    }
}

/// Order to an endpoint to join the standby group of a model. Its epoch is higher than that of any
/// group that an endpoint can have left, and lower than that of any later group.
pub(super) fn standby_task(inputs: &Inputs<'_>, id: &Name, model: &Name) -> Task {
    Task::Join {
        group: standby_group(model),
        epoch: inputs.applied,
        model: model.clone(),
        members: smallvec![id.clone()],
    }
}

/// Name of the standby group of a model.
fn standby_group(model: &Name) -> Name {
    format!("{STANDBY_PREFIX}{model}").into()
}

/// Number of members in groups that are not being dissolved, by fabric domain and model.
fn members_by_domain(inputs: &Inputs<'_>, engine: &Engine) -> BTreeMap<(Name, Name), usize> {
    let mut members = BTreeMap::new();
    for group in inputs.state_machine.groups.values().filter(|group| !group.dissolving) {
        let Some(model) = engine.models.iter().find(|model| *model.name == *group.model) else {
            continue;
        };
        let Some(domain) = group.head().and_then(|head| domain_of(inputs, &head.id)) else {
            continue;
        };
        *members.entry((domain, model.name.clone())).or_default() += group.members.len();
    }
    members
}
