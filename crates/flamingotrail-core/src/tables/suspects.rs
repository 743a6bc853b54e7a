//! Content that was in flight when an endpoint crashed.

use std::collections;

use crate::digest;
use crate::ids;
use crate::journal;

/// Suspects by fingerprint.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Rows; cleared content has none.
    pub rows: collections::BTreeMap<digest::Digest, journal::Verdict>,
    /// Next offset of the region's stream.
    pub cursor: ids::Offset,
    /// Whether a read is under way.
    pub reading: bool,
    /// Notices to append.
    pub pending_notices: Vec<journal::SuspectNotice>,
    /// The append under way.
    pub in_flight: Option<(ids::Nonce, Vec<journal::SuspectNotice>)>,
}

impl Suspects {
    /// Takes a notice: a conviction stands, and only a crash alone convicts.
    pub fn apply(&mut self, notice: &journal::SuspectNotice) {
        let known = self.rows.get(&notice.fingerprint).copied();
        match (known, notice.verdict) {
            (Some(journal::Verdict::Convicted), _) => {}
            (_, journal::Verdict::Cleared) => {
                self.rows.remove(&notice.fingerprint);
            }
            (_, verdict) => {
                self.rows.insert(notice.fingerprint, verdict);
            }
        }
    }
}
