//! Runs the placement manager while this daemon leads its zone's placement log.

use std::time::Duration;

use crate::clock::Instant;
use crate::control::command::{Body as CommandBody, Command};
use crate::count::Counter;
use crate::effect::{Effect, Effects};
use crate::journal;
use crate::message::Body;
use crate::placement::{Inputs, Manager, Plan};
use crate::policy::{MEMBER_TTL, PLACEMENT_INTERVAL};
use crate::replica::Output;
use crate::Name;

use super::State;

use prost::Message;

/// Time for which a new leader only listens, so that endpoints have announced what they do and the
/// orders of the leader before have run out.
const SETTLING: Duration = MEMBER_TTL;
/// Time between two summaries.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

impl State {
    pub(super) fn open_manager(&mut self, now: Instant) {
        let zone = self.setup.zone.clone();
        let zones = self.setup.zones.clone();
        self.manager = Some(Manager::new(zone, zones, self.setup.policy.clone(), now));
    }

    pub(super) fn tick_placing(&mut self, now: Instant, effects: &mut Effects) {
        if now < self.due.placement {
            return;
        }
        self.due.placement = now + PLACEMENT_INTERVAL;
        let Some(log) = self.zone_log().map(|log| log.name.clone()) else { return };
        let Some(plan) = self.make_plan(now, &log) else { return };
        self.follow_plan(now, &log, plan, effects);
        self.send_summary(now, &log, effects);
    }

    fn make_plan(&mut self, now: Instant, log: &Name) -> Option<Plan> {
        let hosted = self.logs.get(log)?;
        let leading = hosted.leading?;
        if !hosted.replica.reads(now) || now.since(leading) < SETTLING || !self.ready {
            return None;
        }
        let scene = Inputs {
            now,
            term: hosted.replica.term(),
            applied: hosted.replica.applied(),
            view: &self.view,
            placements: &hosted.machine.placements,
            members: self.members.as_ref()?,
        };
        Some(self.manager.as_mut()?.plan(scene))
    }

    fn follow_plan(&mut self, now: Instant, log: &Name, plan: Plan, effects: &mut Effects) {
        for chosen in plan.repairs {
            let (group, action) = (chosen.group, chosen.action);
            effects.push(Effect::Log(journal::Event::Repair { group, action }));
        }
        for addressed in plan.orders {
            self.count(Counter::Ordered, effects);
            effects.push(Effect::Log(journal::Event::Ordered {
                vm: addressed.order.vm.as_str().into(),
                group: addressed.order.group.as_str().into(),
                generation: addressed.order.generation,
            }));
            effects.push(Effect::Order(addressed));
        }
        for command in plan.commands {
            self.append_placement(now, log, command, effects);
        }
    }

    fn append_placement(
        &mut self,
        now: Instant,
        log: &Name,
        command: CommandBody,
        effects: &mut Effects,
    ) {
        let group = match &command {
            CommandBody::Place(place) => place.group.clone(),
            CommandBody::Release(release) => release.group.clone(),
            _ => return,
        };
        let Some(hosted) = self.logs.get_mut(log) else { return };
        let mut outputs: Vec<Output> = Vec::new();
        let command = Command::new(command).encode_to_vec();
        let index = hosted.replica.propose(now, command, &mut outputs);
        if let (Some(index), Some(manager)) = (index, &mut self.manager) {
            manager.record_proposal(&group, index);
        }
        self.carry_out(now, log, outputs, effects);
    }

    fn send_summary(&mut self, now: Instant, log: &Name, effects: &mut Effects) {
        if now < self.due.summary {
            return;
        }
        self.due.summary = now + SUMMARY_INTERVAL;
        let Some(scene) = self.scene(now, log) else { return };
        let Some(manager) = &self.manager else { return };
        let summary = manager.summary(&scene);
        for peer in self.links.keys() {
            let body = Body::Summary(summary.clone());
            effects.push(Effect::Send { to: peer.clone(), body });
        }
        self.summaries.insert(self.setup.zone.clone(), summary);
    }

    /// What the manager looks at, if this daemon hosts the log.
    pub(super) fn scene(&self, now: Instant, log: &Name) -> Option<Inputs<'_>> {
        let hosted = self.logs.get(log)?;
        Some(Inputs {
            now,
            term: hosted.replica.term(),
            applied: hosted.replica.applied(),
            view: &self.view,
            placements: &hosted.machine.placements,
            members: self.members.as_ref()?,
        })
    }

    /// The manager, if this daemon leads its zone's placement log.
    pub(super) fn leading_manager(&self, now: Instant) -> Option<(&Manager, Inputs<'_>)> {
        let log = self.zone_log()?.name.clone();
        if !self.leads_log(&log, now) {
            return None;
        }
        Some((self.manager.as_ref()?, self.scene(now, &log)?))
    }
}
