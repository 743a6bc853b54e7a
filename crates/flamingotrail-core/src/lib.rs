//! The decisions of flamingotrail: tables, systems that run over them, and the tick.
//!
//! [`world::World::tick`] is a pure function of the world's tables, the time handed in, the inputs
//! and a seeded generator. This crate does no I/O, reads no clock, starts no thread and holds no
//! global state, so every front end drives the same decisions.

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
pub mod systems;
pub mod tables;
pub mod time;
pub mod view;
pub mod work;
pub mod world;
