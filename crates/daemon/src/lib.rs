//! The dotterelhoist daemon: the I/O layer around the reducer.
//!
//! All decisions are made by the reducer, [`dotterelhoist_core::state::State`]: a state machine
//! without I/O that takes events and returns effects. It runs in a single task, the [`reactor`].
//! The rest of this crate does the I/O: listeners and links turn requests and messages into events,
//! and the reactor passes each effect to the module that carries it out. Answers don't pass through
//! the reactor: the task of a request copies them from the endpoint to the caller and reports only
//! how the attempt ended.

pub mod clock;
pub mod command;
pub mod config;
pub mod reactor;

mod callers;
mod endpoints;
mod http;
mod journal;
mod links;
mod log_writer;
mod memory;
mod metrics;
mod operators;
mod prompt;
mod relay;
mod upstream;

pub use self::command::run;
pub use self::config::{Config, Daemon, Error};
