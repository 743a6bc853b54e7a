//! Stand-ins of the users' platform for tests of gateways: its store, its runners, and callers, by
//! their published protocol, on plain threads.

pub mod caller;
pub mod gateways;
pub mod platform;
pub mod runner;
pub mod server;
pub mod store;
