//! Results of probes, in which a control daemon asks an endpoint for its state.

use crate::endpoint::Heartbeat;

/// What a probe has shown.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The endpoint returned its state.
    Report(Box<Heartbeat>),
    /// The endpoint responded, but not with its state: it is alive.
    Answered,
    /// The connection was refused: nobody listens at this address, or a network partition resets
    /// connections.
    Refused,
    /// Another endpoint responded at this address, which proves that this one has terminated.
    Replaced,
    /// There was no response in time.
    Unanswered,
}
