//! Content that was in flight when an endpoint crashed.

use std::collections;

use crate::digest;
use crate::ids;
use crate::journal;

/// Verdicts by content fingerprint.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Verdicts; cleared content has no row.
    pub rows: collections::BTreeMap<digest::Digest, journal::Verdict>,
    /// Next offset to read from the region's stream.
    pub cursor: ids::Offset,
    /// Whether a read is in progress.
    pub reading: bool,
    /// Notices to append to the stream.
    pub pending_notices: Vec<journal::SuspectNotice>,
    /// The append in progress: its nonce and notices.
    pub in_flight: Option<(ids::Nonce, Vec<journal::SuspectNotice>)>,
}

impl Suspects {
    /// Applies a notice. `Convicted` is final: no later notice replaces it.
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
