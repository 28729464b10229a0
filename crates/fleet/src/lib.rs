//! Decision logic of control daemons and entry daemons.
//!
//! It consists of two pure reducers. [`control::State`] runs on the few VMs with a disk; it decides
//! about the configuration document and about serving groups. [`entry::State`] runs on each entry
//! VM; it decides about callers' requests. Neither reads a clock, a socket, a file or a random
//! source. The process around a reducer, called the shell, passes in events with the time at which
//! they happened and random numbers, and carries out the effects that the reducer returns as data.

pub mod control;
pub mod crash;
pub mod document;
pub mod endpoint;
pub mod entry;
pub mod journal;
pub mod limit;
pub mod message;
pub mod order;
pub mod patch;
pub mod probe;

pub use dotterelhoist_core::Name;
