//! What a control daemon does with the outputs of its replica of the log: messages, writes, committed
//! entries and snapshots.

use std::sync::Arc;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_core::replica::message::{Entry, Snapshot};
use dotterelhoist_core::replica::Output;
use prost::Message;

use crate::document::{Document, Finding};
use crate::journal;
use crate::message::{Body, Replication};
use crate::patch::Original;

use super::state_machine::{Command, StateMachine};
use super::{Effect, Reader, State};

/// Bytes of commands applied since the last snapshot at which a new snapshot replaces them.
const COMPACTION_BYTES: usize = 8 << 20;
/// Number of log entries since the last snapshot at which a new snapshot replaces them.
const COMPACTION_ENTRIES: u64 = 400;

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Processes the outputs of the replica until there are no more, and compacts the log if it is
    /// due.
    pub(super) fn process_outputs(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while !self.outputs.is_empty() {
            for output in std::mem::take(&mut self.outputs) {
                self.process_output(output, effects);
            }
            self.compact();
        }
        if self.state_machine.version() > self.activated {
            self.activate_document(now, effects);
        }
        if self.known_voters != self.replica.voters() {
            self.update_voters(effects);
        }
    }

    /// Connects to the voters of the log, and logs them.
    fn update_voters(&mut self, effects: &mut Vec<Effect>) {
        let voters = self.replica.voters().to_vec();
        for voter in &voters {
            self.add_control_daemon(&voter.daemon.as_str().into(), effects);
        }
        let replicas: Vec<&str> = voters.iter().map(|voter| voter.replica.as_str()).collect();
        let detail = format!("voters={}", replicas.join(","));
        effects.push(Effect::Log(journal::Event::new(208, "voters", &*self.setup.daemon, detail)));
        self.known_voters = voters;
    }

    /// Turns one output of the replica into effects, or applies it to the replicated state.
    fn process_output(&mut self, output: Output, effects: &mut Vec<Effect>) {
        match output {
            Output::Persist(sequence, write) => effects.push(Effect::Persist(sequence, write)),
            Output::Send(to, payload) => {
                self.add_control_daemon(&to, effects);
                let from = self.setup.daemon.to_string();
                let payload = Some(payload);
                effects.push(Effect::Send(to, Body::Replication(Replication { from, payload })));
            }
            Output::Apply(entry) => self.apply_entry(entry, effects),
            Output::Restore(snapshot) => self.restore_snapshot(snapshot, effects),
        }
    }

    /// Applies a committed log entry, and answers the call that proposed it.
    fn apply_entry(&mut self, entry: Entry, effects: &mut Vec<Effect>) {
        self.log_bytes += entry.command.len();
        let command = Command::decode(entry.command.as_slice()).unwrap_or_default();
        if let Some(change) = command.change {
            self.state_machine.apply(entry.index, change);
        }
        self.complete_write(entry.index, entry.term, effects);
    }

    /// Replaces the replicated state by a snapshot.
    fn restore_snapshot(&mut self, snapshot: Snapshot, effects: &mut Vec<Effect>) {
        let Ok(state_machine) = StateMachine::decode(snapshot.state_machine.as_slice()) else {
            let event =
                journal::Event::new(202, "snapshot does not decode", &*self.setup.daemon, "");
            effects.push(Effect::Log(event));
            return;
        };
        self.state_machine = state_machine;
    }

    /// Decodes the replicated document and puts it into force; keeps the decoded form of the
    /// previous one if it is invalid.
    fn activate_document(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Some(patch) = self.state_machine.document.clone() else { return };
        self.activated = patch.version;
        let original = match patch.apply(&Original::default()) {
            Ok(original) => original,
            Err(error) => {
                log_invalid_document(error.to_string(), effects);
                return;
            }
        };
        match self.decode_document(&original) {
            Ok(document) => self.document = document,
            Err(findings) => {
                let detail = findings.first().map(ToString::to_string).unwrap_or_default();
                log_invalid_document(detail, effects);
            }
        }
        self.distributor.set_document(now, original.clone());
        let detail = format!("version={} stored_bytes={}", original.version, patch.encoded_len());
        self.original = original;
        let event = journal::Event::new(222, "document in force", &*self.setup.daemon, detail);
        effects.push(Effect::Log(event));
    }

    /// Decodes a document, unless that was done when an operator sent it to this daemon.
    fn decode_document(&mut self, original: &Original) -> Result<Arc<Document>, Vec<Finding>> {
        match self.validated.take() {
            Some((validated, document)) if validated == *original => Ok(document),
            other => {
                self.validated = other;
                self.reader.read(&original.body).map(Arc::new)
            }
        }
    }

    /// Replaces the applied log entries by a snapshot once they exceed [`COMPACTION_ENTRIES`] or
    /// [`COMPACTION_BYTES`].
    fn compact(&mut self) {
        if self.replica.tail_len() < COMPACTION_ENTRIES && self.log_bytes < COMPACTION_BYTES {
            return;
        }
        self.log_bytes = 0;
        let state_machine = self.state_machine.encode_to_vec();
        self.replica.compact(state_machine, &mut self.outputs);
    }
}

/// Logs that the document of the log can't be put into force.
fn log_invalid_document(detail: String, effects: &mut Vec<Effect>) {
    let event = journal::Event::new(203, "stored document invalid", "log", detail);
    effects.push(Effect::Log(event));
}
