//! The configuration that operators publish: file format, validation, and differences between two
//! configurations.
//!
//! A configuration set consists of one or more TOML files. [`parse`] converts a set into the
//! configuration that the decision logic uses, or reports all of its errors at once, each with
//! file, line and a suggested fix.

pub mod check;
pub mod config_set;
pub mod configs;
pub mod diagnostic;
pub mod diff;

use flamingotrail_core::config;
use flamingotrail_core::world;

/// Parses and validates a configuration set.
///
/// # Errors
///
/// Returns one diagnostic for each error in the set, ordered by file and line.
pub fn parse(set: &config_set::ConfigSet) -> Result<config::Config, Vec<diagnostic::Diagnostic>> {
    check::check(set)
}

/// Parses published configurations for the decision logic.
#[derive(Clone, Copy, Debug, Default)]
pub struct TomlConfigParser;

impl TomlConfigParser {
    /// Creates a parser.
    pub fn new() -> Self {
        TomlConfigParser
    }
}

impl world::ConfigParser for TomlConfigParser {
    fn parse(&self, source: &str) -> Result<config::Config, String> {
        let set = config_set::ConfigSet::from_toml(source).map_err(|error| error.to_string())?;
        parse(&set).map_err(|diagnostics| {
            let lines: Vec<String> = diagnostics.iter().map(ToString::to_string).collect();
            lines.join("; ")
        })
    }
}
