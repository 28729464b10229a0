//! What happens to a daemon.

use crate::control::command::Change;
use crate::message::{Announcement, Body, Hello};
use crate::object::Kind;
use crate::request::{End, Request};
use crate::Name;

/// A question or order of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Change the configuration.
    Change(Change),
    /// Show objects; all of a kind if there is no name, all if there is no kind.
    Get {
        /// Kind to show.
        kind: Option<Kind>,
        /// Name to show.
        name: Option<Name>,
    },
    /// Show the usage line of a request.
    Explain(Name),
    /// Show how the system stands.
    Status,
}

/// An event for the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick {
        /// Random number.
        draw: u64,
    },
    /// A link to another daemon has come up.
    LinkUp(Hello),
    /// The link to another daemon has gone down.
    LinkDown(Name),
    /// A daemon has sent something.
    Received {
        /// Name of the daemon.
        from: Name,
        /// Milliseconds on this daemon's clock before which it was certainly not sent; 0 if unknown.
        echo: u64,
        /// What it sent.
        body: Body,
        /// Random number.
        draw: u64,
    },
    /// Writes of a log up to a sequence number are on stable storage.
    Synced {
        /// Name of the log.
        log: Name,
        /// Sequence number of the last write.
        sequence: u64,
    },
    /// An endpoint has announced itself.
    Announced {
        /// What it said.
        announcement: Box<Announcement>,
        /// Stamp of this daemon's clock that the endpoint echoed, in milliseconds.
        stamp: Option<u64>,
    },
    /// A caller has sent a request.
    Arrived(Box<Request>),
    /// An attempt has ended.
    Ended {
        /// Number of the request.
        request: u64,
        /// How it ended.
        end: End,
    },
    /// The caller of a request that was not yet dispatched has gone.
    CallerGone(u64),
    /// An operator asks for something.
    Operated {
        /// Number that the answer carries.
        ticket: u64,
        /// What is asked.
        operation: Operation,
    },
    /// The shell has given a final answer without the reducer.
    Rejected(crate::request::Reason),
    /// A graceful shutdown is asked for.
    Stop,
}
