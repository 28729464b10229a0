//! The state machine behind the replicated logs.
//!
//! Each log applies [`command::Command`]s to a [`Machine`] of its own, in the same order on each of
//! its replicas. The machine is deterministic: it knows no clock, and whatever depends on time is
//! decided by the proposer and stands in the command.

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

/// State of one log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Serving groups, services and workspaces.
    pub configuration: Configuration,
    /// Claims on non-idempotent requests.
    pub claims: Claims,
    /// VMs in serving groups.
    pub placements: Placements,
    /// Lines that bills are made of.
    pub usage: Usage,
}

impl Machine {
    /// Applies a committed command and returns what its proposer is told.
    pub fn apply(&mut self, index: u64, command: Command) -> Outcome {
        match command.body {
            Some(Body::Change(change)) => self.configuration.apply(change),
            Some(Body::Claim(claim)) => self.claims.claim(claim),
            Some(Body::Settle(settle)) => self.claims.settle(settle),
            Some(Body::Place(place)) => self.placements.place(index, place),
            Some(Body::Release(release)) => self.placements.release(index, release),
            Some(Body::Bill(bill)) => self.usage.add(bill),
            Some(Body::Crash(crash)) => self.claims.crashed(crash),
            Some(Body::Explain(explain)) => self.usage.explain(&explain.request),
            None => Outcome::default(),
        }
    }

    /// Encodes the machine for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a machine has string keys only")
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the bytes are not a machine.
    pub fn decode(bytes: &[u8]) -> Result<Machine, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
