//! A fake of the platform's instance list. Reads return the state as it was `lag` ago.

use std::collections;
use std::time as std_time;

use flamingotrail_core::time;

/// An instance list with rows of type `T`, keyed by name.
#[derive(Clone, Debug)]
pub struct FakeInstanceList<T> {
    /// Delay before a change becomes visible to readers.
    pub lag: std_time::Duration,
    /// Whether reads fail.
    pub unavailable: bool,
    snapshots: collections::VecDeque<(time::Timestamp, collections::BTreeMap<String, T>)>,
}

impl<T: Clone> FakeInstanceList<T> {
    /// Creates an empty list.
    pub fn new(lag: std_time::Duration) -> Self {
        let first = (time::Timestamp::ZERO, collections::BTreeMap::new());
        FakeInstanceList {
            lag,
            unavailable: false,
            snapshots: collections::VecDeque::from([first]),
        }
    }

    /// Applies `change` to the list at `now`.
    pub fn update(
        &mut self,
        now: time::Timestamp,
        change: impl FnOnce(&mut collections::BTreeMap<String, T>),
    ) {
        let mut rows = self.snapshots.back().map(|(_, rows)| rows.clone()).unwrap_or_default();
        change(&mut rows);
        self.snapshots.push_back((now, rows));
    }

    /// Returns the rows visible at `now`, or `None` during an outage.
    pub fn fetch(&mut self, now: time::Timestamp) -> Option<Vec<T>> {
        if self.unavailable {
            return None;
        }
        while self.snapshots.len() > 1 && now.since(self.snapshots[1].0) >= self.lag {
            self.snapshots.pop_front();
        }
        let (_, rows) = self.snapshots.front()?;
        Some(rows.values().cloned().collect())
    }
}
