//! The operators' objects: their file format, checks over the whole set, and differences between
//! sets.
//!
//! A set is one or more TOML files. [`read`] turns a set into the objects that the decisions use,
//! or reports every mistake at once with file, line and remedy.

pub mod check;
pub mod config_set;
pub mod configs;
pub mod diagnostic;
pub mod diff;

use flamingotrail_core::objects;
use flamingotrail_core::world;

/// Reads and checks a set.
///
/// # Errors
///
/// Every mistake of the set.
pub fn parse(set: &config_set::ConfigSet) -> Result<objects::Objects, Vec<diagnostic::Diagnostic>> {
    check::check(set)
}

/// Reads the published form of a set for a world.
#[derive(Clone, Copy, Debug, Default)]
pub struct TomlConfigParser;

impl TomlConfigParser {
    /// A reader.
    pub fn new() -> Self {
        TomlConfigParser
    }
}

impl world::ObjectsReader for TomlConfigParser {
    fn read(&self, source: &str) -> Result<objects::Objects, String> {
        let set = config_set::ConfigSet::from_toml(source).map_err(|error| error.to_string())?;
        parse(&set).map_err(|mistakes| {
            let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
            lines.join("; ")
        })
    }
}
