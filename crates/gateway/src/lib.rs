//! The daemons that serve one configuration document: sockets, files and clocks around the reducers
//! of `dotterelhoist-fleet`.
//!
//! Everything runs on one thread but the writer of the log and the writer of log lines. [`entry`] runs
//! on entry VMs, [`control`] on the few VMs with a disk. Both are generic over a [`Protocol`], which
//! translates calls, headers and orders of a platform and decides nothing.

pub mod clock;
pub mod control;
pub mod entry;
pub mod http;
pub mod journal;
pub mod links;
pub mod metrics;
pub mod protocol;
pub mod signals;

mod answer;
mod events;
mod orders;
mod upstream;
mod writer;

pub use self::protocol::Protocol;
