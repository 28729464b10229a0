//! Orders to endpoints.

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
    /// Take requests as the head of a group whose members are all ready.
    Open {
        /// Name of the group.
        group: Name,
        /// Generation of the group.
        epoch: u64,
    },
    /// Take no more requests as the head.
    Close {
        /// Name of the group.
        group: Name,
        /// Generation of the group.
        epoch: u64,
        /// Whether running requests are cut off.
        cancel: bool,
    },
    /// Leave a group at once.
    Leave {
        /// Name of the group.
        group: Name,
        /// Generation of the group.
        epoch: u64,
    },
    /// Load a model onto the VM without joining a group.
    Stage {
        /// Model to load.
        model: Name,
    },
}

/// An order with its addressee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Number that the outcome carries.
    pub ticket: u64,
    /// Identity of the endpoint.
    pub endpoint: Name,
    /// IP address and port of the endpoint.
    pub address: Name,
    /// Fencing number: the term of the leader that gives the order.
    pub fencing: u64,
    /// What is to be done.
    pub task: Task,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// It has begun.
    Taken,
    /// It is done, or its state already holds.
    Done,
    /// It does not fit the state of the endpoint.
    Unfit,
    /// The endpoint has seen a newer fencing number or epoch.
    Outdated,
    /// Another endpoint has the address.
    Misdirected,
    /// Nothing listens at the address.
    Refused,
    /// There was no answer; it may still be carried out later.
    Unanswered,
}
