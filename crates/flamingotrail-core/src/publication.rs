//! Which publications count, by log order alone: every reader decides a race the same way.

use crate::ids;
use crate::journal;

/// What an entry of the configuration stream does to a reader that runs `current`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublicationOutcome {
    /// It becomes the version in force, if its set is valid. A tentative one stands behind a gap:
    /// only a carried set or a successor settles it.
    Accept {
        /// Its version.
        version: ids::ConfigVersion,
        /// Whether its predecessors are forgotten.
        tentative: bool,
    },
    /// An accepted set carried forward.
    Carry {
        /// Its version.
        version: ids::ConfigVersion,
    },
    /// Another publication on the same base came first.
    Conflict,
    /// Not about the configuration.
    Ignore,
}

/// Judges one entry.
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
