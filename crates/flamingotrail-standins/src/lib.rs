//! Development only: small stand-ins for the outside systems, the rig that drives worlds and
//! stand-ins on a virtual clock, the scenario language, and the load and experiment tool.
//!
//! A stand-in is plain state that is handed the time, so that the rig and the HTTP servers use the
//! same one.

pub mod bench;
pub mod deployment;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod list;
pub mod local;
pub mod log;
pub mod plot;
pub mod prefix_cache;
pub mod scenario;
pub mod simulation;
pub mod soak;
pub mod solo;
pub mod tools;
pub mod workload;
