//! The active configuration and the read position in the configuration stream.

use std::collections;

use crate::config;
use crate::ids;
use crate::time;

/// Configuration state of this process.
#[derive(Debug, Default)]
pub struct Configuration {
    /// The accepted configuration set; `None` until one has been accepted.
    pub accepted: Option<Accepted>,
    /// Next offset to read from the stream.
    pub cursor: ids::Offset,
    /// Whether a read is in progress.
    pub reading: bool,
    /// Whether the stream has been read to its end at least once.
    pub caught_up: bool,
    /// Nonces of the entries read so far, to skip duplicates.
    pub seen_nonces: collections::BTreeSet<ids::Nonce>,
    /// Nonce of a pending append that republishes the accepted set.
    pub republish_nonce: Option<ids::Nonce>,
}

/// An accepted configuration set.
#[derive(Debug)]
pub struct Accepted {
    /// Version of the set.
    pub version: ids::ConfigVersion,
    /// The parsed and checked objects.
    pub config: config::Config,
    /// Source text of the set.
    pub source: String,
    /// Whether the set rests only on a publication whose base version was not seen in the stream.
    pub tentative: bool,
    /// When the log stored the set, as far as known.
    pub logged_at: time::Timestamp,
}

impl Configuration {
    /// Objects of the active configuration.
    pub fn config(&self) -> Option<&config::Config> {
        self.accepted.as_ref().map(|accepted| &accepted.config)
    }

    /// Version of the active configuration; 0 if there is none.
    pub fn version(&self) -> ids::ConfigVersion {
        self.accepted.as_ref().map(|accepted| accepted.version).unwrap_or_default()
    }
}
