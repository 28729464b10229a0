//! Usage lines by request id.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::command::{NewBar, Outcome, UsageBatch, UsageLine};

/// Usage lines that are kept; beyond this the oldest ones are dropped.
const LINES_KEPT: usize = 200_000;
/// Daemon incarnations whose last batch number is kept; beyond this the oldest is dropped, and a
/// batch that it resends is recorded again.
const DAEMONS_KEPT: usize = 10_000;

/// Recent usage lines, and up to which batch each daemon's lines are recorded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Lines by request id.
    lines: BTreeMap<String, UsageLine>,
    /// Request ids of the lines in the order of arrival.
    order: VecDeque<String>,
    /// Number of the last recorded batch by daemon incarnation.
    batches: BTreeMap<String, u64>,
    /// Daemon incarnations in the order of their first batch.
    daemons: VecDeque<String>,
}

impl Usage {
    /// Usage line of a request.
    pub fn line(&self, request: &str) -> Option<&UsageLine> {
        self.lines.get(request)
    }

    /// Looks up the usage line of a request for an operator.
    pub(super) fn explain(&self, request: &str) -> Outcome {
        match self.line(request) {
            Some(line) => Outcome { line: Some(line.clone()), ..Outcome::default() },
            None => Outcome::of(NewBar::Missing),
        }
    }

    /// Number of lines kept.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether no lines are kept.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Lines of a workspace, ordered by request id.
    pub fn lines_of_workspace<'a>(
        &'a self,
        workspace: &'a str,
    ) -> impl Iterator<Item = &'a UsageLine> {
        self.lines.values().filter(move |line| line.workspace == workspace)
    }

    /// Records a batch unless this batch or a later one of the same daemon incarnation is recorded.
    pub(super) fn add(&mut self, batch: UsageBatch) -> Outcome {
        let last = self.batches.get(&batch.daemon).copied();
        if last.is_some_and(|last| batch.number <= last) {
            return Outcome::of(NewBar::Recorded);
        }
        if last.is_none() {
            self.daemons.push_back(batch.daemon.clone());
        }
        self.batches.insert(batch.daemon, batch.number);
        for line in batch.lines {
            self.order.push_back(line.request.clone());
            self.lines.insert(line.request.clone(), line);
        }
        while self.order.len() > LINES_KEPT {
            if let Some(oldest) = self.order.pop_front() {
                self.lines.remove(&oldest);
            }
        }
        if self.daemons.len() > DAEMONS_KEPT {
            if let Some(oldest) = self.daemons.pop_front() {
                self.batches.remove(&oldest);
            }
        }
        Outcome::of(NewBar::Accepted)
    }
}
