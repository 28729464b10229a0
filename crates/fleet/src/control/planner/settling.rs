//! Which orders to a group may still be carried out, as the log knows it.
//!
//! An order that was not answered may be carried out seconds later, when another daemon leads. The leader
//! therefore records in the log that all orders to join and to open a group were answered, once they
//! were, and takes that back before it sends another one. A group without that record may come back after
//! its removal, unless its head is sealed. The log records that orders were answered, not that one was
//! unanswered, because a leader may end before it could write the latter.

use dotterelhoist_core::clock::Instant;

use super::super::state_machine::{Change, Group, GroupSettlement};
use super::{Generation, Planner, Purpose, ORDER_RETRY_INTERVAL};

impl Planner {
    /// Proposes to record that all orders to an open group were answered, if they were.
    pub(super) fn settle(&mut self, now: Instant, group: &Group, changes: &mut Vec<Change>) {
        if !group.settled && !self.may_have_unanswered_orders(group) {
            self.propose_settlement(now, group, true, changes);
        }
    }

    /// Whether orders may be sent to a group. If the log says that none is outstanding, or soon may, that
    /// is taken back first.
    pub(super) fn unsettle(
        &mut self,
        now: Instant,
        group: &Group,
        changes: &mut Vec<Change>,
    ) -> bool {
        let proposed = self.state_of(now, group).settlement.map_or(0, |(number, _)| number);
        let is_current = proposed <= group.settlement;
        if is_current && !group.settled {
            return true;
        }
        self.propose_settlement(now, group, false, changes);
        false
    }

    /// Whether an order to join or to open a group may still be carried out.
    pub(super) fn may_have_unanswered_orders(&self, group: &Group) -> bool {
        let generation = Generation::of(group);
        let outstanding = self.pending_orders.values().any(|pending| {
            matches!(pending.purpose, Purpose::Join | Purpose::Open)
                && pending.group.as_ref() == Some(&generation)
        });
        let state = self.groups.get(&generation);
        outstanding || state.is_none_or(|state| state.may_reopen || state.inherits_orders)
    }

    /// Proposes a settlement, unless one was proposed less than [`ORDER_RETRY_INTERVAL`] ago that is not
    /// applied.
    fn propose_settlement(
        &mut self,
        now: Instant,
        group: &Group,
        settled: bool,
        changes: &mut Vec<Change>,
    ) {
        let state = self.state_of(now, group);
        let last = state.settlement.filter(|(number, _)| *number > group.settlement);
        if last.is_some_and(|(_, at)| now.since(at) < ORDER_RETRY_INTERVAL) {
            return;
        }
        let number = last.map_or(group.settlement, |(number, _)| number) + 1;
        state.settlement = Some((number, now));
        changes.push(Change::SettleGroup(GroupSettlement {
            group: group.name.clone(),
            epoch: group.epoch,
            settled,
            number,
        }));
    }
}
