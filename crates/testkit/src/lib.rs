//! Development-only stand-ins for what surrounds dotterelhoist: model engines, plain services,
//! callers, proxies that interrupt links, and small deployments on one machine.
//!
//! Nothing here is part of the two programs. The stand-ins speak the published protocols and record
//! what they ran, which the tests compare with what the callers were told.

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
