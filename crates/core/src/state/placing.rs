//! Runs the placement manager of a zone while this daemon leads the zone's placement log.

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

/// Time that a new leader waits before it plans. By then the endpoints have announced their state,
/// and announcements from before the election have expired, with the permissions to forward answers
/// that are based on them. Orders that the previous leader was still sending have timed out.
const LEADER_SETTLE_TIME: Duration = MEMBER_TTL;
/// Interval between two summaries of the zone.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

impl State {
    /// Creates the placement manager.
    pub(super) fn open_manager(&mut self, now: Instant) {
        let zone = self.setup.zone.clone();
        let zones = self.setup.zones.clone();
        self.manager = Some(Manager::new(zone, zones, self.setup.policy.clone(), now));
    }

    /// As leader of the zone's placement log, plans placements and carries the plan out.
    pub(super) fn tick_placing(&mut self, now: Instant, effects: &mut Effects) {
        if now < self.schedule.placement {
            return;
        }
        self.schedule.placement = now + PLACEMENT_INTERVAL;
        let Some(log) = self.placement_log().map(|log| log.name.clone()) else { return };
        let Some(plan) = self.make_plan(now, &log) else { return };
        self.execute_plan(now, &log, plan, effects);
        self.send_summary(now, &log, effects);
    }

    /// The manager's next plan; none unless this daemon may act as the leader.
    fn make_plan(&mut self, now: Instant, log: &Name) -> Option<Plan> {
        let hosted = self.logs.get(log)?;
        let leading = hosted.leading_since?;
        if !hosted.replica.can_serve_reads(now)
            || now.since(leading) < LEADER_SETTLE_TIME
            || !self.ready
        {
            return None;
        }
        let inputs = Inputs {
            now,
            term: hosted.replica.term(),
            applied: hosted.replica.applied(),
            view: &self.view,
            placements: &hosted.state_machine.placements,
            endpoint_table: self.endpoint_table.as_ref()?,
        };
        Some(self.manager.as_mut()?.plan(inputs))
    }

    /// Logs the chosen repairs, sends the orders and appends the commands of a plan.
    fn execute_plan(&mut self, now: Instant, log: &Name, plan: Plan, effects: &mut Effects) {
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
            effects.push(Effect::SendOrder(addressed));
        }
        for command in plan.commands {
            self.append_placement(now, log, command, effects);
        }
    }

    /// Appends a placement command and tells the manager its index, so that the manager waits for
    /// it before it plans for the same group again.
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
        self.process_outputs(now, log, outputs, effects);
    }

    /// Sends the summary of the zone to all linked daemons.
    fn send_summary(&mut self, now: Instant, log: &Name, effects: &mut Effects) {
        if now < self.schedule.summary {
            return;
        }
        self.schedule.summary = now + SUMMARY_INTERVAL;
        let Some(inputs) = self.placement_inputs(now, log) else { return };
        let Some(manager) = &self.manager else { return };
        let summary = manager.summary(&inputs);
        for peer in self.links.keys() {
            let body = Body::Summary(summary.clone());
            effects.push(Effect::Send { to: peer.clone(), body });
        }
        self.summaries.insert(self.setup.zone.clone(), summary);
    }

    /// Input of the placement manager; none if this daemon does not host the log.
    pub(super) fn placement_inputs(&self, now: Instant, log: &Name) -> Option<Inputs<'_>> {
        let hosted = self.logs.get(log)?;
        Some(Inputs {
            now,
            term: hosted.replica.term(),
            applied: hosted.replica.applied(),
            view: &self.view,
            placements: &hosted.state_machine.placements,
            endpoint_table: self.endpoint_table.as_ref()?,
        })
    }

    /// The placement manager and its input, if this daemon leads the zone's placement log.
    pub(super) fn leading_manager(&self, now: Instant) -> Option<(&Manager, Inputs<'_>)> {
        let log = self.placement_log()?.name.clone();
        if !self.leads_log(&log, now) {
            return None;
        }
        Some((self.manager.as_ref()?, self.placement_inputs(now, &log)?))
    }
}
