//! Results of probes, in which a control daemon asks an endpoint for its state.

use crate::endpoint::Heartbeat;

/// What a probe has shown.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The endpoint returned its state.
    Report(Box<Heartbeat>),
    /// The endpoint responded, but not with its state: it is alive.
    Answered,
    /// The endpoint is not at this address: the connection was refused, or another endpoint
    /// responded.
    Refused,
    /// There was no response in time.
    Unanswered,
}
