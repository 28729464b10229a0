//! Dissolution of groups. The members become free for other groups once the head has closed and
//! left, or once the other members have left and the head must therefore be broken.

use std::time::Duration;

use crate::endpoint::Stage;
use crate::order::Task;
use crate::Name;

use super::super::state_machine::{Change, Group, Member};
use super::super::Effect;
use super::{
    GroupState, Inputs, Planner, Purpose, GRACEFUL_CLOSE_TIMEOUT, HEAD_RELEASE_TIMEOUT,
    ORDER_RETRY_INTERVAL,
};

impl Planner {
    /// Orders the members of a dissolving group to close and leave, and proposes to remove the
    /// group once its head can no longer run requests.
    pub(super) fn dissolve_group(
        &mut self,
        inputs: &mut Inputs<'_>,
        group: &Group,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let now = inputs.now;
        let name: Name = group.name.as_str().into();
        let state = self.groups.entry(name.clone()).or_insert_with(|| GroupState::new(now));
        let dissolving_since = *state.dissolving_since.get_or_insert(now);
        let Some(head) = group.head() else {
            changes.push(Change::RemoveGroup(group.name.clone()));
            return;
        };
        if self.is_released(inputs, group, head) {
            let Some(state) = self.groups.get_mut(&name) else { return };
            if state.proposed_at.is_some_and(|at| now.since(at) < ORDER_RETRY_INTERVAL)
                && state.closed
            {
                return;
            }
            state.closed = true;
            state.proposed_at = Some(now);
            changes.push(Change::RemoveGroup(group.name.clone()));
            return;
        }
        let graceful = group.graceful && now.since(dissolving_since) < GRACEFUL_CLOSE_TIMEOUT;
        let progressed_at = inputs.progress.get(&*head.id).copied();
        let head_responds = inputs.endpoints.find(&head.id).is_some_and(|endpoint| {
            let recently_seen = now.since(endpoint.last_seen) < self.times.loss_timeout()
                || endpoint.heartbeat.gone;
            let failed = endpoint.outage.is_some_and(|outage| outage.is_failure(progressed_at));
            endpoint.heartbeat.started_unix_ms == head.started_unix_ms && !failed && recently_seen
        });
        let head_timeout = if group.graceful {
            GRACEFUL_CLOSE_TIMEOUT + HEAD_RELEASE_TIMEOUT
        } else {
            HEAD_RELEASE_TIMEOUT
        };
        if head_responds {
            self.release_head(inputs, group, head, !graceful, effects);
        }
        if head_responds && now.since(dissolving_since) < head_timeout {
            return;
        }
        for member in group.members.iter().skip(1) {
            self.order_leave(inputs, group, member, effects);
        }
    }

    /// Orders the head to close if it may run requests, then to leave. If `cancel` is set, running
    /// requests are cancelled.
    fn release_head(
        &mut self,
        inputs: &mut Inputs<'_>,
        group: &Group,
        head: &Member,
        cancel: bool,
        effects: &mut Vec<Effect>,
    ) {
        let name: Name = group.name.as_str().into();
        let stage = inputs
            .endpoints
            .find(&head.id)
            .and_then(|endpoint| endpoint.heartbeat.stage_in(&group.name, group.epoch));
        let closed = self.groups.get(&name).is_some_and(|state| state.closed);
        let may_run_requests = matches!(stage, Some(Stage::Open | Stage::Closing));
        if may_run_requests && !closed {
            let task = Task::Close { group: name.clone(), epoch: group.epoch, cancel };
            self.order_member(inputs, &name, head, Purpose::Close, task, effects);
            return;
        }
        self.order_leave(inputs, group, head, effects);
    }

    /// Orders a member to leave the group, unless it has confirmed that it left.
    fn order_leave(
        &mut self,
        inputs: &mut Inputs<'_>,
        group: &Group,
        member: &Member,
        effects: &mut Vec<Effect>,
    ) {
        let name: Name = group.name.as_str().into();
        let left =
            self.groups.get(&name).is_some_and(|state| state.left_at.contains_key(&*member.id));
        if left {
            return;
        }
        let task = Task::Leave { group: name.clone(), epoch: group.epoch };
        self.order_member(inputs, &name, member, Purpose::Leave, task, effects);
    }

    /// Whether the head can no longer run a request of this group: it has left, terminated or
    /// restarted, or another member left so long ago that the head must be broken. A new leader may
    /// not know the head: one that has terminated sends no heartbeats.
    fn is_released(&self, inputs: &Inputs<'_>, group: &Group, head: &Member) -> bool {
        let Some(state) = self.groups.get(&*group.name) else { return false };
        if state.left_at.contains_key(&*head.id) {
            return true;
        }
        let has_terminated = inputs.endpoints.find(&head.id).is_some_and(|endpoint| {
            endpoint.heartbeat.started_unix_ms != head.started_unix_ms || endpoint.confirmed_dead
        });
        if has_terminated {
            return true;
        }
        let broken_after = self.times.stall_timeout + Duration::from_millis(500);
        let mut others = group.members.iter().skip(1);
        others.any(|member| {
            let left = state.left_at.get(&*member.id);
            left.is_some_and(|at| inputs.now.since(*at) > broken_after)
        })
    }
}
