//! Dissolution of groups. The members become free for other groups once the head has closed and
//! left, or once the other members have left and the head must therefore be broken.

use std::time::Duration;

use crate::endpoint::Stage;
use crate::order::Task;
use crate::Name;

use super::super::state_machine::{Change, Group, Member};
use super::super::Effect;
use super::{
    Generation, Inputs, Planner, Purpose, GRACEFUL_CLOSE_TIMEOUT, HEAD_RELEASE_TIMEOUT,
    ORDER_RETRY_INTERVAL,
};

/// Time since a head has left after which it is held if it is not sealed, so that the other members are free.
const SEAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time since a head has left from which on its reports show that.
const REPORT_SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time since a dissolution began for which a head that responds is ordered to leave although another
/// member has left long ago, if orders of before may make it serve again. After it, the head counts as
/// broken.
const RETURN_TIMEOUT: Duration = Duration::from_secs(20);

impl Planner {
    /// Orders the members of a dissolving group to close and leave, and proposes to remove the
    /// group once its head can no longer run requests.
    pub(super) fn dissolve_group(
        &mut self,
        inputs: &Inputs<'_>,
        group: &Group,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let now = inputs.now;
        if !self.release_group(inputs, group, group.graceful, changes, effects) {
            return;
        }
        let state = self.state_of(now, group);
        if state.proposed_at.is_some_and(|at| now.since(at) < ORDER_RETRY_INTERVAL) && state.closed
        {
            return;
        }
        state.closed = true;
        state.proposed_at = Some(now);
        changes.push(Change::RemoveGroup(group.name.clone()));
    }

    /// Orders the members of a group to close and leave. If `graceful` is set, running requests may
    /// finish. Returns true once its head can no longer run requests, so that the members are free.
    pub(super) fn release_group(
        &mut self,
        inputs: &Inputs<'_>,
        group: &Group,
        graceful: bool,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let now = inputs.now;
        let Some(head) = group.head() else { return true };
        let dissolving_since = *self.state_of(now, group).dissolving_since.get_or_insert(now);
        self.forget_returned(inputs, group);
        let head_responds = self.responds(inputs, head);
        let may_return = head_responds
            && now.since(dissolving_since) < RETURN_TIMEOUT
            && self.may_have_unanswered_orders(group);
        if self.is_released(inputs, group, head, may_return) {
            return self.seal_head(inputs, group, head, changes, effects);
        }
        let cancel = !graceful || now.since(dissolving_since) >= GRACEFUL_CLOSE_TIMEOUT;
        let head_timeout = match graceful {
            true => GRACEFUL_CLOSE_TIMEOUT + HEAD_RELEASE_TIMEOUT,
            false => HEAD_RELEASE_TIMEOUT,
        };
        if head_responds {
            self.release_head(inputs, group, head, cancel, effects);
        }
        if head_responds && now.since(dissolving_since) < head_timeout {
            return false;
        }
        for member in group.members.iter().skip(1) {
            self.order_leave(inputs, group, member, effects);
        }
        false
    }

    /// Whether a head is known to respond to orders.
    pub(super) fn responds(&self, inputs: &Inputs<'_>, head: &Member) -> bool {
        let progressed_at = inputs.progress.get(&*head.id).copied();
        inputs.endpoints.find(&head.id).is_some_and(|endpoint| {
            let silent_for = inputs.now.since(endpoint.last_seen);
            let seen = silent_for < self.times.loss_timeout() || endpoint.heartbeat.gone;
            let failed = endpoint.outage.is_some_and(|outage| outage.is_failure(progressed_at));
            endpoint.heartbeat.started_unix_ms == head.started_unix_ms && !failed && seen
        })
    }

    /// Orders the head, or another member, to close if it may run requests, then to leave. If `cancel` is set, running
    /// requests are cancelled.
    pub(super) fn release_head(
        &mut self,
        inputs: &Inputs<'_>,
        group: &Group,
        head: &Member,
        cancel: bool,
        effects: &mut Vec<Effect>,
    ) {
        let stage = inputs
            .endpoints
            .find(&head.id)
            .and_then(|endpoint| endpoint.heartbeat.stage_in(&group.name, group.epoch));
        let closed = self.state_of(inputs.now, group).closed;
        let may_run_requests = matches!(stage, Some(Stage::Open | Stage::Closing));
        if may_run_requests && !closed {
            let name: Name = group.name.as_str().into();
            let task = Task::Close { group: name, epoch: group.epoch, cancel };
            self.order_member(inputs, group, head, Purpose::Close, task, effects);
            return;
        }
        self.order_leave(inputs, group, head, effects);
    }

    /// Orders a member to leave the group, unless it has confirmed that it left.
    fn order_leave(
        &mut self,
        inputs: &Inputs<'_>,
        group: &Group,
        member: &Member,
        effects: &mut Vec<Effect>,
    ) {
        if self.state_of(inputs.now, group).left_at.contains_key(&*member.id) {
            return;
        }
        let task = Task::Leave { group: group.name.as_str().into(), epoch: group.epoch };
        self.order_member(inputs, group, member, Purpose::Leave, task, effects);
    }

    /// Forgets that members have left which report the group again, because an earlier order was
    /// carried out since. A head among them may have opened again.
    pub(super) fn forget_returned(&mut self, inputs: &Inputs<'_>, group: &Group) {
        let state = self.state_of(inputs.now, group);
        for member in &group.members {
            let returned = inputs.endpoints.find(&member.id).is_some_and(|endpoint| {
                endpoint.heartbeat.stage_in(&group.name, group.epoch).is_some()
            });
            if returned && state.left_at.remove(&*member.id).is_some() {
                state.closed = false;
                state.sealed = false;
                state.may_reopen = true;
            }
        }
    }

    /// Whether the head can no longer run a request of this group: it has left, terminated or
    /// restarted, or another member left so long ago that the head must be broken, unless it may have
    /// joined again since. A new leader may not know the head: one that has terminated sends no heartbeats.
    fn is_released(
        &self,
        inputs: &Inputs<'_>,
        group: &Group,
        head: &Member,
        may_return: bool,
    ) -> bool {
        let Some(state) = self.groups.get(&Generation::of(group)) else { return false };
        if state.left_at.contains_key(&*head.id) || has_terminated(inputs, head) {
            return true;
        }
        let broken_after = self.times.stall_timeout + Duration::from_millis(500);
        !may_return && state.left_at.values().any(|at| inputs.now.since(*at) > broken_after)
    }

    /// Seals a head that can no longer run requests, if orders of before may still be carried out. If that
    /// doesn't succeed in time, the head is held, and the other members are free once they have left. Returns true
    /// once they are.
    fn seal_head(
        &mut self,
        inputs: &Inputs<'_>,
        group: &Group,
        head: &Member,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let settled = !self.may_have_unanswered_orders(group);
        if settled || self.state_of(inputs.now, group).sealed {
            return true;
        }
        if self.is_sealed(inputs, head, group.epoch) {
            return true;
        }
        let left_at = self.state_of(inputs.now, group).left_at.get(&*head.id).copied();
        let since_left = left_at.map(|at| inputs.now.since(at));
        let is_held = inputs.state_machine.holds(head, group.epoch);
        if since_left.is_some_and(|since| since < SEAL_TIMEOUT) && !is_held {
            if since_left.is_some_and(|since| since >= REPORT_SETTLE_TIME) {
                let generation = Generation::of(group);
                self.attempt_seal(inputs, head, &generation, &group.model, effects);
            }
            return false;
        }
        let is_held = self.hold_head(inputs, group, head, changes, effects);
        self.have_others_left(inputs, group, effects) && is_held
    }

    /// Orders the members other than the head to leave. Returns true once those have that respond and may join
    /// another group.
    fn have_others_left(
        &mut self,
        inputs: &Inputs<'_>,
        group: &Group,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let mut have_left = true;
        for member in group.members.iter().skip(1) {
            let left = self.state_of(inputs.now, group).left_at.contains_key(&*member.id);
            let endpoint = inputs.endpoints.find(&member.id);
            let ends = endpoint.is_none_or(|endpoint| endpoint.leaves());
            if left || ends || has_terminated(inputs, member) || !self.responds(inputs, member) {
                continue;
            }
            self.order_leave(inputs, group, member, effects);
            have_left = false;
        }
        have_left
    }
}

/// Whether the endpoint has terminated or restarted since it became this member, as it has shown itself or
/// as another endpoint at its address has.
pub(super) fn has_terminated(inputs: &Inputs<'_>, member: &Member) -> bool {
    inputs.endpoints.find(&member.id).is_some_and(|endpoint| {
        let is_other = endpoint.heartbeat.started_unix_ms != member.started_unix_ms;
        is_other && endpoint.attested || endpoint.confirmed_dead
    })
}
