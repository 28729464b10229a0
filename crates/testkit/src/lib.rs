//! Development-only stand-ins for what surrounds dotterelhoist: model engines, plain services,
//! callers, proxies that interrupt links, and small deployments on one machine.
//!
//! Neither `dotterelhoistd` nor `dotterelhoist` contains any of this code. The stand-ins use the
//! published protocols and record which requests they ran, and the tests compare these records with
//! the responses that the callers got.

pub mod client;
pub mod deployment;
pub mod engine;
pub mod load;
pub mod plain;
pub mod ports;
pub mod process;
pub mod proxy;
pub mod role;
pub mod scenario;
mod server;
