//! The decisions of dotterelhoist.
//!
//! [`state::State`] is one pure reducer over all [`event::Event`]s of a daemon: it changes its state
//! and returns [`effect::Effect`]s. It reads no clock, opens no socket or file, starts no thread and
//! draws no random number. The daemon, the property tests and the benches drive the same function.

pub mod admit;
pub mod clock;
pub mod control;
pub mod count;
pub mod effect;
pub mod event;
pub mod journal;
pub mod membership;
pub mod message;
mod name;
pub mod object;
pub mod placement;
pub mod policy;
pub mod repair;
pub mod replica;
pub mod request;
pub mod retry;
pub mod route;
pub mod selector;
pub mod state;
pub mod status;
pub mod view;

pub use name::Name;
