//! The decision logic of flamingotrail: tables, the systems that run over them, and the tick.
//!
//! [`world::World::tick`] is deterministic: its result depends only on the tables, the given time,
//! the inputs and a seeded random generator. The crate does no I/O, reads no clock, starts no
//! threads and has no global state, so every front end can drive the same logic.

pub mod config;
pub mod digest;
pub mod errors;
pub mod history;
pub mod ids;
pub mod input;
pub mod journal;
pub mod messages;
pub mod output;
pub mod policy;
pub mod publication;
pub mod relay;
pub mod rng;
pub mod schedule;
pub mod settings;
pub mod share;
pub mod systems;
pub mod tables;
pub mod time;
pub mod view;
pub mod work;
pub mod world;
