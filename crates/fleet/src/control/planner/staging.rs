//! Models on the VMs of free endpoints, and the ceiling on loads from the weight store.

use std::collections::VecDeque;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::document::{Engine, Model};
use crate::order::Task;
use crate::Name;

use super::super::Effect;
use super::{holds, Field, Pending, Planner, Purpose};

/// Window in which loads are counted.
const WINDOW: Duration = Duration::from_secs(5);
/// Part of the permitted loads that is used, so that orders that arrive late still fit.
const MARGIN: f64 = 0.8;
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

    /// Takes one load; false if no other may begin now.
    pub(super) fn take(&mut self, now: Instant, per_second: f64) -> bool {
        while self.begun.front().is_some_and(|at| now.since(*at) > WINDOW) {
            self.begun.pop_front();
        }
        let most = per_second * WINDOW.as_secs_f64() * MARGIN;
        if now < self.blocked || self.begun.len() as f64 >= most {
            return false;
        }
        self.begun.push_back(now);
        true
    }
}

impl Planner {
    /// Orders free endpoints to hold the models that groups of their domain may need.
    pub(super) fn stage(&mut self, field: &mut Field<'_>, effects: &mut Vec<Effect>) {
        let now = field.now;
        self.staged.retain(|_, at| now.since(*at) < STAGE_AGAIN);
        let forming = |name: &Name| self.tended.get(name).is_some_and(|tended| !tended.opened);
        let mut names = field.machine.groups.keys().map(|name| name.as_str().into());
        if field.machine.groups.is_empty() || (!field.traffic && names.any(|name| forming(&name))) {
            return;
        }
        let document = field.document;
        for service in document.services.values() {
            let Some(engine) = &service.engine else { continue };
            for free in self.free(field, service).into_values() {
                self.stage_domain(field, engine, &free, effects);
            }
        }
    }

    /// Lets the free endpoints of a domain hold models in turn, the largest groups' first.
    fn stage_domain(
        &mut self,
        field: &mut Field<'_>,
        engine: &Engine,
        free: &[Name],
        effects: &mut Vec<Effect>,
    ) {
        let mut models: Vec<&Model> = engine.models.iter().collect();
        models.sort_by_key(|model| std::cmp::Reverse(model.size));
        let mut rest: Vec<Name> = free.to_vec();
        for at in 0..free.len() {
            let Some(model) = models.get(at % models.len().max(1)) else { return };
            let has =
                |id: &Name| field.endpoints.find(id).is_some_and(|known| holds(known, &model.name));
            let holder = rest.iter().position(has);
            let empty = |id: &Name| {
                field.endpoints.find(id).is_some_and(|known| known.beat.staged.is_empty())
            };
            let chosen = holder.or_else(|| rest.iter().position(empty)).unwrap_or(0);
            let id = rest.remove(chosen);
            if holder.is_none() {
                self.stage_one(field, engine, &id, &model.name, effects);
            }
        }
    }

    fn stage_one(
        &mut self,
        field: &mut Field<'_>,
        engine: &Engine,
        id: &Name,
        model: &Name,
        effects: &mut Vec<Effect>,
    ) {
        if self.staged.contains_key(id) {
            return;
        }
        if field.traffic && !self.loads.take(field.now, engine.loads_per_s) {
            return;
        }
        let Some(known) = field.endpoints.find(id) else { return };
        self.staged.insert(id.clone(), field.now);
        let address = known.beat.address.as_str().into();
        let pending = Pending { group: "".into(), endpoint: id.clone(), purpose: Purpose::Stage };
        let task = Task::Stage { model: model.clone() };
        self.send(field.term, pending, address, task, effects);
    }
}
