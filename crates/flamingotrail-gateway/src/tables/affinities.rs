//! Objects that an endpoint has lately handled for this gateway, and how much faster that makes it.

use std::collections;
use std::time;

use flamingotrail_core::time as core_time;

/// Maximum number of objects that are remembered for each endpoint.
const MAX_OBJECTS: usize = 1_024;
/// Time for which an object is remembered.
const RETENTION: time::Duration = time::Duration::from_secs(60);

/// Objects of one endpoint with the time of their last use.
#[derive(Clone, Debug, Default)]
pub struct Affinities {
    rows: collections::BTreeMap<u64, core_time::Timestamp>,
    /// Index of the objects by their last use.
    by_use: collections::BTreeSet<(core_time::Timestamp, u64)>,
}

impl Affinities {
    /// Records that the endpoint has handled `object` at `now`, and forgets old objects.
    pub fn record(&mut self, object: u64, now: core_time::Timestamp) {
        if let Some(before) = self.rows.insert(object, now) {
            self.by_use.remove(&(before, object));
        }
        self.by_use.insert((now, object));
        let is_old = |used: core_time::Timestamp| now.since(used) > RETENTION;
        while let Some((used, oldest)) = self.by_use.first().copied() {
            if self.rows.len() <= MAX_OBJECTS && !is_old(used) {
                return;
            }
            self.by_use.remove(&(used, oldest));
            self.rows.remove(&oldest);
        }
    }

    /// Whether the endpoint has lately handled `object`.
    pub fn contains(&self, object: u64, now: core_time::Timestamp) -> bool {
        self.rows.get(&object).is_some_and(|used| now.since(*used) <= RETENTION)
    }
}
