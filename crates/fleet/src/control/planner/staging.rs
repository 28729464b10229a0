//! Models on the VMs of endpoints, and the ceiling on loads from the weight store.
//!
//! A member of a group can serve the group's model again at once. Its VM therefore holds another
//! model, so that it can change sides without a load.

use std::collections::VecDeque;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::document::{Engine, Model, Service};
use crate::order::Task;
use crate::Name;

use super::super::Effect;
use super::forming::wanted;
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

impl Planner {
    /// Orders VMs to hold the models that their endpoints may need next.
    pub(super) fn stage(&mut self, field: &mut Field<'_>, effects: &mut Vec<Effect>) {
        let now = field.now;
        self.staged.retain(|_, at| now.since(*at) < STAGE_AGAIN);
        let forming = |name: &Name| self.tended.get(name).is_some_and(|tended| !tended.opened);
        let mut names = field.machine.groups.keys().map(|name| name.as_str().into());
        let none = field.machine.groups.is_empty();
        if !field.traffic && (none || names.any(|name| forming(&name))) {
            return;
        }
        let document = field.document;
        for service in document.services.values() {
            let Some(engine) = &service.engine else { continue };
            for (id, model) in self.lacking(field, service, engine) {
                self.stage_one(field, engine, &id, &model, effects);
            }
        }
    }

    /// Endpoints whose VM does not hold the model that they may need next: for a member of a group
    /// the most wanted other model, for a free endpoint the model of the largest groups.
    fn lacking(&self, field: &Field<'_>, service: &Service, engine: &Engine) -> Vec<(Name, Name)> {
        let mut models: Vec<&Model> = engine.models.iter().collect();
        models.sort_by(|a, b| {
            let wanted = |model: &Model| wanted(field, service, engine, model);
            b.size.cmp(&a.size).then(wanted(b).total_cmp(&wanted(a)))
        });
        let mut lacking = Vec::new();
        for (id, known) in field.endpoints.iter() {
            let usable = known.is_usable(field.now, self.times.lost());
            if *known.beat.service != *service.name || !usable {
                continue;
            }
            let own = field.machine.holder(id).map(|group| group.model.as_str());
            let next = models.iter().find(|model| Some(&*model.name) != own);
            let Some(next) = next else { continue };
            if !known.is_warm(&next.name) {
                lacking.push((id.clone(), next.name.clone()));
            }
        }
        lacking
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
        if field.traffic && !self.loads.take(field.now, engine.loads_per_s, RESERVE) {
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
