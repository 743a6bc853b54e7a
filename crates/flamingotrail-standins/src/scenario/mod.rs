//! Scenarios: TOML files with a setup, programs, fault steps and expectations. docs/SCENARIOS.md
//! describes the format.

pub mod random;
pub mod run;
pub mod schema;
