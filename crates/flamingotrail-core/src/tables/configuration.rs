//! The configuration in force and the position in its stream.

use std::collections;

use crate::config;
use crate::ids;
use crate::time;

/// The configuration in force at this process.
#[derive(Debug, Default)]
pub struct Configuration {
    /// The accepted set; none before the first.
    pub accepted: Option<Accepted>,
    /// Next offset of the stream to read.
    pub cursor: ids::Offset,
    /// Whether a read is under way.
    pub reading: bool,
    /// Whether the stream was read to its end once.
    pub caught_up: bool,
    /// Nonces of the entries that were read.
    pub nonces: collections::BTreeSet<ids::Nonce>,
    /// An append of the accepted set that is under way.
    pub carrying: Option<ids::Nonce>,
}

/// An accepted set.
#[derive(Debug)]
pub struct Accepted {
    /// Its version.
    pub version: ids::ConfigVersion,
    /// The objects.
    pub objects: config::Config,
    /// Its text.
    pub source: String,
    /// Whether only a first, unconnected publication speaks for it.
    pub tentative: bool,
    /// When the log took it, as far as known.
    pub logged_at: time::Timestamp,
}

impl Configuration {
    /// The objects in force.
    pub fn objects(&self) -> Option<&config::Config> {
        self.accepted.as_ref().map(|accepted| &accepted.objects)
    }

    /// Version in force; 0 before the first.
    pub fn version(&self) -> ids::ConfigVersion {
        self.accepted.as_ref().map(|accepted| accepted.version).unwrap_or_default()
    }
}
