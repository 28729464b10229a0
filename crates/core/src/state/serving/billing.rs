//! Usage lines on their way to the claim log.

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Instant;
use crate::control::command::{Bill, Body as CommandBody, Line};
use crate::count::Counter;
use crate::effect::{Effect, Effects};
use crate::journal;
use crate::policy::USAGE_BATCH_INTERVAL;

use super::super::logs::Purpose;
use super::super::State;
use super::{BILL_LINES, BILL_PATIENCE};

impl State {
    /// Proposes the next batch of usage lines once the last one is recorded.
    pub(super) fn send_bill(&mut self, now: Instant, effects: &mut Effects) {
        if self.lines.is_empty() || !self.billing.is_empty() || now < self.due.bill {
            return;
        }
        self.due.bill = now + USAGE_BATCH_INTERVAL;
        let daemon = self.setup.daemon.clone();
        let Some(log) = self.claim_log(xxh3_64(daemon.as_bytes())) else {
            self.lines.clear();
            return;
        };
        let count = self.lines.len().min(BILL_LINES);
        let lines: Vec<Line> = self.lines.drain(..count).collect();
        self.batch += 1;
        self.billing = lines.clone();
        let bill = CommandBody::Bill(Bill {
            daemon: format!("{daemon}.{:x}", self.setup.incarnation),
            batch: self.batch,
            lines,
        });
        let ticket = self.propose(now, log, bill, Purpose::Bill, BILL_PATIENCE, effects);
        if !self.pending.contains_key(&ticket) {
            self.billing.clear();
        }
    }

    pub(in crate::state) fn billed(&mut self) {
        self.billing.clear();
    }

    /// Whether all usage lines are recorded.
    pub(in crate::state) fn is_billed(&self) -> bool {
        self.lines.is_empty() && self.billing.is_empty()
    }

    /// Writes the usage lines that no log has acknowledged to the journal, so that an invoice can
    /// still be checked against them.
    pub(in crate::state) fn give_up_lines(&mut self, effects: &mut Effects) {
        let mut lines = std::mem::take(&mut self.billing);
        lines.append(&mut self.lines);
        for line in lines {
            self.count(Counter::Unrecorded, effects);
            effects.push(Effect::Log(journal::Event::Unrecorded {
                request: line.request.into(),
                workspace: line.workspace.into(),
                service: line.service.into(),
                tokens: line.tokens,
                told: line.told.into(),
            }));
        }
    }
}
