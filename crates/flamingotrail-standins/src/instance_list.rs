//! A stand-in of the platform's list of instances: what it tells lags.

use std::collections;
use std::time as std_time;

use flamingotrail_core::time;

/// A list of rows of type `T` by name.
#[derive(Clone, Debug)]
pub struct FakeInstanceList<T> {
    /// How old the list is that it tells.
    pub lag: std_time::Duration,
    /// Whether it is out.
    pub unavailable: bool,
    versions: collections::VecDeque<(time::Timestamp, collections::BTreeMap<String, T>)>,
}

impl<T: Clone> FakeInstanceList<T> {
    /// An empty list.
    pub fn new(lag: std_time::Duration) -> Self {
        let first = (time::Timestamp::ZERO, collections::BTreeMap::new());
        FakeInstanceList { lag, unavailable: false, versions: collections::VecDeque::from([first]) }
    }

    /// Changes the list at `now`.
    pub fn update(
        &mut self,
        now: time::Timestamp,
        change: impl FnOnce(&mut collections::BTreeMap<String, T>),
    ) {
        let mut rows = self.versions.back().map(|(_, rows)| rows.clone()).unwrap_or_default();
        change(&mut rows);
        self.versions.push_back((now, rows));
    }

    /// What it tells at `now`. None while it is out.
    pub fn fetch(&mut self, now: time::Timestamp) -> Option<Vec<T>> {
        if self.unavailable {
            return None;
        }
        while self.versions.len() > 1 && now.since(self.versions[1].0) >= self.lag {
            self.versions.pop_front();
        }
        let (_, rows) = self.versions.front()?;
        Some(rows.values().cloned().collect())
    }
}
