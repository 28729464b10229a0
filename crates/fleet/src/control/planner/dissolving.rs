//! The end of a group: its head lets go, or its members leave, before they are free for others.

use std::time::Duration;

use crate::endpoint::Stage;
use crate::order::Task;
use crate::Name;

use super::super::machine::{Change, Group, Member};
use super::super::Effect;
use super::{Field, Planner, Purpose, Tended, GRACEFUL_CLOSE, HEAD_PATIENCE, ORDER_AGAIN};

impl Planner {
    /// Closes the head of a doomed group and frees its members once that is safe.
    pub(super) fn dissolve(
        &mut self,
        field: &mut Field<'_>,
        group: &Group,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let now = field.now;
        let name: Name = group.name.as_str().into();
        let tended = self.tended.entry(name.clone()).or_insert_with(|| Tended::new(now));
        let began = *tended.dissolving.get_or_insert(now);
        let Some(head) = group.head() else {
            changes.push(Change::RemoveGroup(group.name.clone()));
            return;
        };
        if self.is_released(field, group, head) {
            let Some(tended) = self.tended.get_mut(&name) else { return };
            if tended.proposed.is_some_and(|at| now.since(at) < ORDER_AGAIN) && tended.closed {
                return;
            }
            tended.closed = true;
            tended.proposed = Some(now);
            changes.push(Change::RemoveGroup(group.name.clone()));
            return;
        }
        let graceful = group.graceful && now.since(began) < GRACEFUL_CLOSE;
        let answers = field.endpoints.find(&head.id).is_some_and(|endpoint| {
            let seen = now.since(endpoint.last_seen) < self.times.lost() || endpoint.heartbeat.gone;
            endpoint.heartbeat.born == head.started_unix_ms
                && endpoint.unreachable_at.is_none()
                && seen
        });
        let patience = if group.graceful { GRACEFUL_CLOSE + HEAD_PATIENCE } else { HEAD_PATIENCE };
        if answers {
            self.release_head(field, group, head, !graceful, effects);
        }
        if answers && now.since(began) < patience {
            return;
        }
        for member in group.members.iter().skip(1) {
            self.leave(field, group, member, effects);
        }
    }

    fn release_head(
        &mut self,
        field: &mut Field<'_>,
        group: &Group,
        head: &Member,
        cancel: bool,
        effects: &mut Vec<Effect>,
    ) {
        let name: Name = group.name.as_str().into();
        let stage = field
            .endpoints
            .find(&head.id)
            .and_then(|endpoint| endpoint.heartbeat.stage_in(&group.name, group.epoch));
        let closed = self.tended.get(&name).is_some_and(|tended| tended.closed);
        let working = matches!(stage, Some(Stage::Open | Stage::Closing));
        if working && !closed {
            let task = Task::Close { group: name.clone(), epoch: group.epoch, cancel };
            self.order(field, &name, head, Purpose::Close, task, effects);
            return;
        }
        self.leave(field, group, head, effects);
    }

    fn leave(
        &mut self,
        field: &mut Field<'_>,
        group: &Group,
        member: &Member,
        effects: &mut Vec<Effect>,
    ) {
        let name: Name = group.name.as_str().into();
        let left =
            self.tended.get(&name).is_some_and(|tended| tended.left.contains_key(&*member.id));
        if left {
            return;
        }
        let task = Task::Leave { group: name.clone(), epoch: group.epoch };
        self.order(field, &name, member, Purpose::Leave, task, effects);
    }

    /// Whether no head can run a request of this group any more.
    fn is_released(&self, field: &Field<'_>, group: &Group, head: &Member) -> bool {
        let Some(tended) = self.tended.get(&*group.name) else { return false };
        if tended.left.contains_key(&*head.id) {
            return true;
        }
        let Some(endpoint) = field.endpoints.find(&head.id) else { return false };
        if endpoint.heartbeat.born != head.started_unix_ms || endpoint.confirmed_dead {
            return true;
        }
        let stalled = self.times.stall + Duration::from_millis(500);
        let mut others = group.members.iter().skip(1);
        others.any(|member| {
            let left = tended.left.get(&*member.id);
            left.is_some_and(|at| field.now.since(*at) > stalled)
        })
    }
}
