//! The active configuration and the read position in the configuration stream.

use std::collections;

use crate::config;
use crate::ids;
use crate::time;

/// Configuration state of this instance.
#[derive(Debug, Default)]
pub struct Configuration {
    /// The accepted configuration; `None` until one has been accepted.
    pub accepted: Option<Accepted>,
    /// Next offset to read from the stream.
    pub cursor: ids::Offset,
    /// Whether a read is in progress.
    pub reading: bool,
    /// Whether the stream has been read to its end at least once.
    pub caught_up: bool,
    /// Nonces of the entries read so far, to skip duplicates.
    pub seen_nonces: collections::BTreeSet<ids::Nonce>,
    /// Nonce of a pending append that republishes the accepted configuration.
    pub republish_nonce: Option<ids::Nonce>,
}

/// An accepted configuration.
#[derive(Debug)]
pub struct Accepted {
    /// Its version.
    pub version: ids::ConfigVersion,
    /// The parsed and validated configuration.
    pub config: config::Config,
    /// Its source text.
    pub source: String,
    /// Whether it is only known from a publication whose base version was not seen in the stream.
    pub tentative: bool,
    /// When the log stored it, as far as known.
    pub logged_at: time::Timestamp,
}

impl Configuration {
    /// Returns the active configuration.
    pub fn config(&self) -> Option<&config::Config> {
        self.accepted.as_ref().map(|accepted| &accepted.config)
    }

    /// Returns the version of the active configuration; 0 if there is none.
    pub fn version(&self) -> ids::ConfigVersion {
        self.accepted.as_ref().map(|accepted| accepted.version).unwrap_or_default()
    }
}
