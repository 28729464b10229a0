//! Events that the reducer of a daemon, [`State`](crate::state::State), handles.

use crate::control::command::Change;
use crate::message::{Announcement, Body, Hello};
use crate::object::Kind;
use crate::request::{End, Request};
use crate::Name;

/// A query or change that an operator has sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Change the configuration.
    Change(Change),
    /// Return configuration objects, filtered by kind and name where these are given.
    Get {
        /// Kind of the objects; any if none.
        kind: Option<Kind>,
        /// Name of the objects; any if none.
        name: Option<Name>,
    },
    /// Return the usage line of the request with this id.
    Explain(Name),
    /// Return the status of the system as this daemon sees it.
    Status,
}

/// An event for the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic tick, on which timeouts and periodic work are checked.
    Tick {
        /// Random number for jittered timeouts; the reducer has no random source of its own.
        random: u64,
    },
    /// A link to another daemon has come up.
    LinkUp(Hello),
    /// The link to another daemon has gone down.
    LinkDown(Name),
    /// A message has arrived from another daemon.
    MessageReceived {
        /// Name of the sending daemon.
        from: Name,
        /// Moment on this daemon's clock, in milliseconds, before which the message was certainly
        /// not sent; 0 if unknown.
        echo: u64,
        /// The message.
        body: Body,
        /// Random number for jittered timeouts.
        random: u64,
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
        /// The announcement.
        announcement: Box<Announcement>,
        /// Reading of this daemon's clock, in milliseconds, that the endpoint echoed; the
        /// announcement was made after it. None if the endpoint has not received one.
        stamp: Option<u64>,
    },
    /// A request of a caller has been read in full.
    RequestArrived(Box<Request>),
    /// An attempt to run a request on an endpoint has ended.
    AttemptEnded {
        /// Number of the request.
        request: u64,
        /// How it ended.
        end: End,
    },
    /// The caller of the request with this number has disconnected before the request was
    /// dispatched.
    CallerGone(u64),
    /// An operator has sent a query or a change.
    OperationRequested {
        /// Number that identifies the operation in its answer.
        ticket: u64,
        /// The query or change.
        operation: Operation,
    },
    /// A request was refused before it reached the reducer; it is only counted.
    RequestRefused(crate::request::Reason),
    /// A graceful shutdown was requested.
    Stop,
}
