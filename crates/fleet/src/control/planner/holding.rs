//! Heads that are held: their group is removed, so that its other members are free, but they may open it again.
//!
//! The log names them, so that each leader knows. A held head joins no group until it is sealed
//! ([`super::sealing`]) or has terminated; it is asked and ordered until then. A member that reports the group
//! again has joined it late, and has to leave it first.

use std::time::Duration;

use crate::journal;

use super::super::endpoints::RETENTION;
use super::super::state_machine::{Change, Group, HeadRelease, HeldHead, Member};
use super::super::Effect;
use super::{Generation, Inputs, Planner, ORDER_RETRY_INTERVAL};

impl HeldHead {
    /// The generation that it may open again.
    pub(super) fn generation(&self) -> Generation {
        Generation { group: self.group.as_str().into(), epoch: self.epoch }
    }
}

impl Planner {
    /// Proposes to hold the head of a group, unless it is held. Returns whether it is.
    pub(super) fn hold_head(
        &mut self,
        inputs: &Inputs<'_>,
        group: &Group,
        head: &Member,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if inputs.state_machine.holds(head, group.epoch) {
            return true;
        }
        if self.may_propose(inputs, head) {
            let detail = format!("group={} epoch={}", group.name, group.epoch);
            let event = journal::Event::new(247, "head held", &*head.id, detail);
            effects.push(Effect::Log(event));
            changes.push(Change::HoldHead(HeldHead {
                member: Some(head.clone()),
                group: group.name.clone(),
                epoch: group.epoch,
                model: group.model.clone(),
            }));
        }
        false
    }

    /// Seals the held heads, and proposes to release those that are sealed or have terminated.
    pub(super) fn release_held(
        &mut self,
        inputs: &Inputs<'_>,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        for held in inputs.state_machine.held_heads.values() {
            let Some(head) = &held.member else { continue };
            if self.is_forgotten(inputs, head) || self.is_sealed(inputs, head, held.epoch) {
                if self.may_propose(inputs, head) {
                    let detail = format!("group={} epoch={}", held.group, held.epoch);
                    let event = journal::Event::new(249, "head released", &*head.id, detail);
                    effects.push(Effect::Log(event));
                    let release = HeadRelease { id: head.id.clone(), epoch: held.epoch };
                    changes.push(Change::ReleaseHead(release));
                }
                continue;
            }
            if inputs.state_machine.groups.contains_key(&held.group) {
                continue;
            }
            self.release_returned(inputs, held, effects);
            self.attempt_seal(inputs, head, &held.generation(), &held.model, effects);
        }
    }

    /// Orders the endpoints that report the group of a held head to leave it, and binds them until then: its head,
    /// which has opened it again or has never left, and members that have joined it late.
    fn release_returned(
        &mut self,
        inputs: &Inputs<'_>,
        held: &HeldHead,
        effects: &mut Vec<Effect>,
    ) {
        let mut group = Group { name: held.group.clone(), epoch: held.epoch, ..Group::default() };
        for (id, endpoint) in inputs.endpoints.iter() {
            if endpoint.heartbeat.stage_in(&held.group, held.epoch).is_none() {
                continue;
            }
            self.strays.bind_endpoint(id.clone());
            let member = Member {
                id: id.to_string(),
                started_unix_ms: endpoint.heartbeat.started_unix_ms,
                address: endpoint.heartbeat.address.clone(),
            };
            group.members = vec![member];
            self.forget_returned(inputs, &group);
            self.release_head(inputs, &group, &group.members[0], true, effects);
        }
    }

    /// Whether nothing has been heard of an endpoint for so long that this daemon has removed it from its table.
    fn is_forgotten(&self, inputs: &Inputs<'_>, head: &Member) -> bool {
        let has_waited = inputs.now.since(self.leading_since) >= RETENTION;
        has_waited && inputs.endpoints.find(&head.id).is_none()
    }

    /// Whether a change may be proposed for a head: none was within [`ORDER_RETRY_INTERVAL`].
    fn may_propose(&mut self, inputs: &Inputs<'_>, head: &Member) -> bool {
        let proposed_at = &mut self.sealing_of(inputs.now, head).proposed_at;
        let passed: Option<Duration> = proposed_at.map(|at| inputs.now.since(at));
        let may = passed.is_none_or(|passed| passed >= ORDER_RETRY_INTERVAL);
        if may {
            *proposed_at = Some(inputs.now);
        }
        may
    }
}
