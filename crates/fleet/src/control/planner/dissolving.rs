//! Dissolution of groups. The members become free for other groups once the head has closed and
//! left, or once the other members have left and the head must therefore be broken.

use std::time::Duration;

use crate::endpoint::Stage;
use crate::journal;
use crate::order::Task;
use crate::Name;

use super::super::state_machine::{Change, Group, Member};
use super::super::Effect;
use super::standby::standby_task;
use super::{
    Generation, Inputs, Planner, Purpose, GRACEFUL_CLOSE_TIMEOUT, HEAD_RELEASE_TIMEOUT,
    ORDER_RETRY_INTERVAL,
};

/// Time since a head has left for which it is ordered to join a later generation, which keeps earlier
/// orders from taking effect. After it, the members are free all the same.
const SEAL_TIMEOUT: Duration = Duration::from_secs(3);
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
        if !self.release_group(inputs, group, group.graceful, effects) {
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
            return self.seal_head(inputs, group, head, effects);
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
    fn responds(&self, inputs: &Inputs<'_>, head: &Member) -> bool {
        let progressed_at = inputs.progress.get(&*head.id).copied();
        inputs.endpoints.find(&head.id).is_some_and(|endpoint| {
            let silent_for = inputs.now.since(endpoint.last_seen);
            let seen = silent_for < self.times.loss_timeout() || endpoint.heartbeat.gone;
            let failed = endpoint.outage.is_some_and(|outage| outage.is_failure(progressed_at));
            endpoint.heartbeat.started_unix_ms == head.started_unix_ms && !failed && seen
        })
    }

    /// Orders the head to close if it may run requests, then to leave. If `cancel` is set, running
    /// requests are cancelled.
    fn release_head(
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
    fn forget_returned(&mut self, inputs: &Inputs<'_>, group: &Group) {
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

    /// Orders a head that has left to join a standby group, if orders of before may still be carried
    /// out: they name a generation that the head then no longer accepts. Returns true once that is
    /// not needed, done or no longer awaited.
    fn seal_head(
        &mut self,
        inputs: &Inputs<'_>,
        group: &Group,
        head: &Member,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let may_reopen = self.may_have_unanswered_orders(group);
        let state = self.state_of(inputs.now, group);
        let Some(left_at) = state.left_at.get(&*head.id) else { return true };
        if state.sealed || !may_reopen || has_terminated(inputs, head) {
            return true;
        }
        if inputs.now.since(*left_at) >= SEAL_TIMEOUT {
            state.sealed = true;
            let detail = format!("group={} epoch={}", group.name, group.epoch);
            let event = journal::Event::new(247, "head not sealed", &*head.id, detail);
            effects.push(Effect::Log(event));
            return true;
        }
        let endpoint = inputs.endpoints.find(&head.id);
        let last_served = endpoint.and_then(|endpoint| endpoint.last_served.clone());
        let of_group = Some(Name::from(&*group.model)).filter(|model| !model.is_empty());
        let Some(model) = last_served.or(of_group) else { return true };
        let task = standby_task(inputs, &head.id.as_str().into(), &model);
        self.order_member(inputs, group, head, Purpose::Seal, task, effects);
        false
    }
}

/// Whether the endpoint has terminated or restarted since it became this member, as it has shown itself or
/// as another endpoint at its address has.
fn has_terminated(inputs: &Inputs<'_>, member: &Member) -> bool {
    inputs.endpoints.find(&member.id).is_some_and(|endpoint| {
        let is_other = endpoint.heartbeat.started_unix_ms != member.started_unix_ms;
        is_other && endpoint.attested || endpoint.confirmed_dead
    })
}
