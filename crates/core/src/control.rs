//! The state machine that the replicated logs apply their entries to.
//!
//! Each log has its own [`StateMachine`]; each replica of the log applies the same
//! [`command::Command`]s to it in the same order. The machine is deterministic and reads no clock:
//! the proposer makes every decision that depends on time and writes the result into the command.

use serde::{Deserialize, Serialize};

pub mod claims;
pub mod command;
pub mod configuration;
pub mod placements;
pub mod usage;

use self::claims::Claims;
use self::command::{Body, Command, Outcome};
use self::configuration::Configuration;
use self::placements::Placements;
use self::usage::Usage;

/// State that results from the entries of one log. The log's [`Content`](crate::state::Content)
/// determines which fields its commands change; the others stay empty.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateMachine {
    /// Serving groups, services, workspaces and drains.
    pub configuration: Configuration,
    /// Claims on non-idempotent requests, and suspected requests.
    pub claims: Claims,
    /// VMs assigned to serving groups.
    pub placements: Placements,
    /// Usage lines, from which invoices are made.
    pub usage: Usage,
}

impl StateMachine {
    /// Applies a command that was committed at `index` and returns the outcome for its proposer.
    pub fn apply(&mut self, index: u64, command: Command) -> Outcome {
        match command.body {
            Some(Body::Change(change)) => self.configuration.apply(change),
            Some(Body::Claim(claim)) => self.claims.claim(claim),
            Some(Body::Settle(settle)) => self.claims.settle(settle),
            Some(Body::Place(place)) => self.placements.place(index, place),
            Some(Body::Release(release)) => self.placements.release(index, release),
            Some(Body::UsageBatch(batch)) => self.usage.add(batch),
            Some(Body::SuspectChange(change)) => self.claims.change_suspect(change),
            Some(Body::Explain(explain)) => self.usage.explain(&explain.request),
            None => Outcome::default(),
        }
    }

    /// Encodes the state machine as JSON for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("all map keys of a state machine serialize as JSON strings")
    }

    /// Decodes a state machine from a snapshot.
    ///
    /// # Errors
    ///
    /// Returns the JSON error if the bytes do not decode to a state machine.
    pub fn decode(bytes: &[u8]) -> Result<StateMachine, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
