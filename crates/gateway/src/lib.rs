//! Entry daemons and control daemons: the sockets, files and clocks around the reducers of
//! `dotterelhoist-fleet`, which are state machines without I/O.
//!
//! [`entry`] runs on entry VMs and proxies callers' requests; [`control`] runs on the few VMs with
//! a disk and serves endpoints and operators. In each, a `Shell` does the I/O: it passes
//! events to the reducer and carries out the effects that the reducer returns. Both are generic
//! over a [`Protocol`], which translates calls, headers and orders of a platform and decides
//! nothing. A process uses one thread, apart from the threads that write the replicated log and the
//! log lines.

pub mod clock;
pub mod control;
pub mod entry;
pub mod events;
pub mod http;
pub mod journal;
pub mod links;
pub mod memory;
pub mod metrics;
pub mod protocol;
pub mod settings;
pub mod signals;

mod departures;
mod exchange;
mod orders;
mod response;
mod upstream;
mod writer;

pub use self::protocol::Protocol;
