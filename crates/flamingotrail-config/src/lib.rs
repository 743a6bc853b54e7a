//! The operators' objects: their file format, checks over the whole set, and differences between
//! sets.
//!
//! A set is one or more TOML files. [`read`] turns a set into the objects that the decisions use,
//! or reports every mistake at once with file, line and remedy.

pub mod check;
pub mod configs;
pub mod diff;
pub mod mistake;
pub mod set;

use flamingotrail_core::config;
use flamingotrail_core::world;

/// Reads and checks a set.
///
/// # Errors
///
/// Every mistake of the set.
pub fn read(set: &set::Set) -> Result<config::Config, Vec<mistake::Mistake>> {
    check::check(set)
}

/// Reads the published form of a set for a world.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reader;

impl Reader {
    /// A reader.
    pub fn new() -> Self {
        Reader
    }
}

impl world::ConfigParser for Reader {
    fn parse(&self, source: &str) -> Result<config::Config, String> {
        let set = set::Set::from_published(source).map_err(|error| error.to_string())?;
        read(&set).map_err(|mistakes| {
            let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
            lines.join("; ")
        })
    }
}
