//! Decides which configuration publications are accepted, by log order alone, so that all readers
//! resolve concurrent publications the same way.

use crate::ids;
use crate::journal;

/// Effect of an entry of the configuration stream on a reader with a given current version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublicationOutcome {
    /// The publication becomes the current version if its configuration is valid.
    Accept {
        /// Version of the publication.
        version: ids::ConfigVersion,
        /// Whether the publication's base is newer than the current version, so that versions in
        /// between are missing. Only a carried configuration or a later publication confirms a
        /// tentative version.
        tentative: bool,
    },
    /// An accepted configuration was appended again, to outlive the log's retention.
    Carry {
        /// Version of the configuration.
        version: ids::ConfigVersion,
    },
    /// An earlier entry was already accepted for the same base version.
    Conflict,
    /// The entry does not concern the configuration.
    Ignore,
}

/// Evaluates one entry for a reader whose current version is `current`.
pub fn evaluate(current: ids::ConfigVersion, body: &journal::Body) -> PublicationOutcome {
    match body {
        journal::Body::Publication { base, .. } if *base >= current => PublicationOutcome::Accept {
            version: ids::ConfigVersion(base.0 + 1),
            tentative: *base > current,
        },
        journal::Body::Publication { .. } => PublicationOutcome::Conflict,
        journal::Body::Carry { version, .. } => PublicationOutcome::Carry { version: *version },
        _ => PublicationOutcome::Ignore,
    }
}
