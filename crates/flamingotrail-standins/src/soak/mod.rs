//! A randomized fault soak: real gateways as separate processes on loopback, between callers that keep
//! their connections and runners, over the stand-in of the platform's store. Faults come from outside the
//! processes, by a seeded plan; the promises are checked from what callers and runners have seen.
//!
//! Gateways use steady clocks only and have no disk, so that neither is harmed here.

pub mod callers;
pub mod connection;
pub mod directory;
pub mod observations;
pub mod plan;
pub mod proxy;
pub mod run;
