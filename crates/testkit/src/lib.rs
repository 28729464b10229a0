//! Development-only stand-ins for what surrounds dotterelhoist: model engines, plain services,
//! callers, links that can be cut, and small deployments on one machine.
//!
//! Nothing here is part of the two programs. The stand-ins speak the published protocols and keep a
//! history of what they ran, which the tests hold against what the callers were told.

pub mod client;
pub mod deployment;
pub mod engine;
pub mod load;
pub mod plain;
pub mod process;
pub mod proxy;
pub mod role;
pub mod scenario;
mod server;
