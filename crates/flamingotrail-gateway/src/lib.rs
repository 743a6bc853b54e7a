//! The decisions of a gateway: a process that stands between callers and endpoints and keeps the
//! turns of agent programs in an append-only log.
//!
//! Every gateway serves every program. What they share is the log: a partition holds the records of
//! its programs in one order, and each gateway derives the same turns and budgets from that order.
//! Nothing here does I/O, reads a clock or starts a thread.

pub mod ids;
pub mod input;
pub mod journal;
pub mod output;
pub mod policy;
pub mod schedule;
pub mod settings;
pub mod systems;
pub mod tables;
pub mod world;
