//! The dotterelhoist daemon: sockets, files and clocks around the reducer.
//!
//! All decisions are taken by [`dotterelhoist_core::state::State`], which runs in one task, the
//! [`reactor`]. Everything else is a shell around it: listeners turn what they hear into events, and
//! the reactor hands each effect to the part that carries it out. Tokens never pass through the
//! reactor: the task of a request copies them from endpoint to caller and only reports the end.

pub mod clock;
pub mod command;
pub mod config;
pub mod reactor;

mod callers;
mod endpoints;
mod files;
mod http;
mod journal;
mod links;
mod metrics;
mod operators;
mod prompt;
mod relay;
mod upstream;

pub use self::command::run;
pub use self::config::{Config, Error, Handle};
