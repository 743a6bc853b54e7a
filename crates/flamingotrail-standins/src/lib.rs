//! Development only: in-memory fakes of the external systems, a simulator that runs worlds and
//! fakes on a virtual clock, the scenario format, and the benchmark.
//!
//! A fake is plain state that takes the current time as an argument, so the simulator and the HTTP
//! servers share one implementation.

pub mod bench;
pub mod deployment;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod instance_list;
pub mod local;
pub mod log;
pub mod plot;
pub mod prefix_cache;
pub mod scenario;
pub mod service;
pub mod simulation;
pub mod soak;
pub mod workload;
pub mod world_harness;
