//! Orders of the leading control daemon to endpoints, and their outcomes.

use smallvec::SmallVec;

use crate::Name;

/// What an endpoint is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// Become a member of a group.
    Join {
        /// Name of the group.
        group: Name,
        /// Generation of the group.
        epoch: u64,
        /// Model to load.
        model: Name,
        /// All members, the head first.
        members: SmallVec<[Name; 8]>,
    },
    /// Accept requests as the head of a group whose members are all ready.
    Open {
        /// Name of the group.
        group: Name,
        /// Generation of the group.
        epoch: u64,
    },
    /// Accept no more requests as the head.
    Close {
        /// Name of the group.
        group: Name,
        /// Generation of the group.
        epoch: u64,
        /// Whether requests in flight are cancelled; otherwise they run to their end.
        cancel: bool,
    },
    /// Leave a group at once.
    Leave {
        /// Name of the group.
        group: Name,
        /// Generation of the group.
        epoch: u64,
    },
    /// Copy the weights of a model from the weight store to the VM without joining a group.
    Stage {
        /// Model to copy.
        model: Name,
    },
}

/// A task for one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Correlation number that matches the outcome to the order.
    pub ticket: u64,
    /// Identity of the endpoint; another endpoint at the same address rejects the order.
    pub endpoint: Name,
    /// IP address and port of the endpoint.
    pub address: Name,
    /// Fencing number: the term of the leader that gives the order. Endpoints reject orders with a
    /// lower number than they have seen.
    pub fencing: u64,
    /// Number of orders that the endpoint must have accepted before; it rejects this one as unfit if it has
    /// accepted another since. None if any number will do.
    pub expected: Option<u64>,
    /// What the endpoint is to do.
    pub task: Task,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The endpoint has accepted it and is carrying it out.
    Taken,
    /// The endpoint has carried it out, or was already in the requested state.
    Done,
    /// The endpoint rejected it because its current state does not permit it.
    Unfit,
    /// The endpoint rejected it because it has seen a newer fencing number or epoch.
    Outdated,
    /// Another endpoint listens at the address.
    Misdirected,
    /// The connection was refused: nothing listens at the address.
    Refused,
    /// No conclusive answer came in time; the order may still be carried out later.
    Unanswered,
}
