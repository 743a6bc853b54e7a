//! The scenario language: TOML files that name a set-up, programs, steps and expectations.
//! docs/SCENARIOS.md describes it.

pub mod random;
pub mod run;
pub mod schema;
