//! The scenario language: TOML files that name a set-up, programs, steps and expectations.
//! docs/SCENARIOS.md describes it.

pub mod file;
pub mod random;
pub mod run;
