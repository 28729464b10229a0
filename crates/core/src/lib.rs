//! Decision logic of dotterelhoist, free of I/O.
//!
//! [`state::State`] is a deterministic reducer over the [`event::Event`]s of a daemon: each event
//! changes the state and yields [`effect::Effect`]s for the caller to carry out. It reads no clock,
//! opens no sockets or files, starts no threads and generates no random numbers. The daemon,
//! the property tests and the measuring examples all drive the same function.

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
pub mod ticket;
pub mod view;

pub use name::Name;
