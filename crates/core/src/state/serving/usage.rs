//! Recording of usage lines in the claim log.

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Instant;
use crate::control::command::{Body as CommandBody, UsageBatch, UsageLine};
use crate::count::Counter;
use crate::effect::{Effect, Effects};
use crate::journal;
use crate::policy::USAGE_BATCH_INTERVAL;

use super::super::logs::Purpose;
use super::super::State;
use super::{USAGE_BATCH_LINES, USAGE_BATCH_TIMEOUT};

impl State {
    /// Proposes the next batch of usage lines once the previous one is recorded. Without a claim
    /// log the lines are dropped.
    pub(super) fn propose_usage(&mut self, now: Instant, effects: &mut Effects) {
        if self.queued_usage.is_empty()
            || !self.proposed_usage.is_empty()
            || now < self.schedule.usage
        {
            return;
        }
        self.schedule.usage = now + USAGE_BATCH_INTERVAL;
        let daemon = self.setup.daemon.clone();
        let Some(log) = self.claim_log(xxh3_64(daemon.as_bytes())) else {
            self.queued_usage.clear();
            return;
        };
        let count = self.queued_usage.len().min(USAGE_BATCH_LINES);
        let lines: Vec<UsageLine> = self.queued_usage.drain(..count).collect();
        self.last_batch += 1;
        self.proposed_usage = lines.clone();
        let batch = CommandBody::UsageBatch(UsageBatch {
            daemon: format!("{daemon}.{:x}", self.setup.incarnation),
            number: self.last_batch,
            lines,
        });
        let ticket =
            self.propose(now, log, batch, Purpose::UsageBatch, USAGE_BATCH_TIMEOUT, effects);
        if !self.proposals.contains_key(&ticket) {
            self.proposed_usage.clear();
        }
    }

    /// Drops the proposed usage lines when their proposal has ended: they are recorded, or no
    /// outcome was known within [`USAGE_BATCH_TIMEOUT`].
    pub(in crate::state) fn clear_proposed_usage(&mut self) {
        self.proposed_usage.clear();
    }

    /// Whether all usage lines are recorded.
    pub(in crate::state) fn is_usage_recorded(&self) -> bool {
        self.queued_usage.is_empty() && self.proposed_usage.is_empty()
    }

    /// Writes the usage lines that are not known to be recorded to the daemon's log, so that an
    /// invoice can still be checked against them.
    pub(in crate::state) fn log_unrecorded_usage(&mut self, effects: &mut Effects) {
        let mut lines = std::mem::take(&mut self.proposed_usage);
        lines.append(&mut self.queued_usage);
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
