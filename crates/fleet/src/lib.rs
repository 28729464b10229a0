//! Decisions of the daemons that serve one configuration document.
//!
//! Two pure reducers: [`control::State`] runs on the few VMs with a disk and decides about the
//! configuration and about serving groups; [`entry::State`] runs on each entry VM and decides about
//! requests. Neither reads a clock, a socket, a file or a random source: events carry the moment at
//! which they happened, and effects are returned as data for the shell to carry out.

pub mod control;
pub mod crash;
pub mod document;
pub mod endpoint;
pub mod entry;
pub mod journal;
pub mod message;
pub mod order;

pub use dotterelhoist_core::Name;
