//! Decision logic of a gateway: a proxy between callers and endpoints that stores the turns of
//! agent programs in an append-only log.
//!
//! Every gateway serves every program. Gateways share state through the log: the records of a
//! partition have a single order, from which each gateway derives the same turns and budgets. This
//! crate performs no I/O, reads no clock and starts no threads.

pub mod ids;
pub mod input;
pub mod journal;
pub mod leases;
pub mod output;
pub mod policy;
pub mod schedule;
pub mod settings;
pub mod systems;
pub mod tables;
pub mod world;
