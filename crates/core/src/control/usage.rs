//! Usage lines, keyed by request id.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::command::{Bill, Line, Outcome, Verdict};

/// Lines kept in memory; older ones are dropped.
const LINES_KEPT: usize = 200_000;
/// Daemon incarnations whose last batch number is kept.
const DAEMONS_KEPT: usize = 10_000;

/// All usage lines that are kept.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    lines: BTreeMap<String, Line>,
    order: VecDeque<String>,
    batches: BTreeMap<String, u64>,
    daemons: VecDeque<String>,
}

impl Usage {
    /// Line of a request.
    pub fn line(&self, request: &str) -> Option<&Line> {
        self.lines.get(request)
    }

    pub(super) fn explain(&self, request: &str) -> Outcome {
        match self.line(request) {
            Some(line) => Outcome { line: Some(line.clone()), ..Outcome::default() },
            None => Outcome::of(Verdict::Missing),
        }
    }

    /// Number of lines kept.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether there is no line.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Lines of a workspace, oldest request id first.
    pub fn of_workspace<'a>(&'a self, workspace: &'a str) -> impl Iterator<Item = &'a Line> {
        self.lines.values().filter(move |line| line.workspace == workspace)
    }

    /// Adds a batch unless it, or a later one of the same daemon, is there already.
    pub(super) fn add(&mut self, bill: Bill) -> Outcome {
        let last = self.batches.get(&bill.daemon).copied();
        if last.is_some_and(|last| bill.batch <= last) {
            return Outcome::of(Verdict::Recorded);
        }
        if last.is_none() {
            self.daemons.push_back(bill.daemon.clone());
        }
        self.batches.insert(bill.daemon, bill.batch);
        for line in bill.lines {
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
        Outcome::of(Verdict::Accepted)
    }
}
