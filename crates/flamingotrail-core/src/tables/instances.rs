//! Instances of the system as known to this instance.

use std::collections;

use crate::ids;
use crate::input;
use crate::time;

/// Known instances.
#[derive(Debug, Default)]
pub struct Instances {
    /// Instances by name.
    pub rows: collections::BTreeMap<ids::InstanceName, Instance>,
    /// Index: the instance that runs calls on each endpoint.
    pub by_endpoint: collections::BTreeMap<ids::EndpointName, ids::InstanceName>,
    /// Whether a fetch of the platform's instance list is in progress.
    pub fetching: bool,
    /// When the last probe was sent.
    pub last_probe_at: time::Timestamp,
}

/// An instance.
#[derive(Debug, Default)]
pub struct Instance {
    /// Its entry in the platform's instance list; `None` if it is only known from its messages.
    pub listed: Option<input::ListedInstance>,
    /// Its latest known incarnation.
    pub incarnation: Option<ids::Incarnation>,
    /// When a message from it last arrived.
    pub last_heard_at: Option<time::Timestamp>,
    /// Whether its latest known incarnation announced that it is leaving.
    pub announced_leaving: bool,
    /// When a connection to it failed, if no message has arrived since.
    pub connection_lost_at: Option<time::Timestamp>,
    /// Whether it is suspected to have failed because it has been silent for too long.
    pub suspected: bool,
    /// Number of open calls and requests that depend on it; it is probed while this is not 0.
    pub watch_count: u32,
    /// Numbers of the acknowledged messages received from its latest incarnation.
    pub dedup_window: DedupWindow,
}

/// Deduplication window for the message numbers of one incarnation of a peer. Numbers at or above
/// the floor are tracked one by one; numbers below it are always rejected.
#[derive(Debug, Default)]
pub struct DedupWindow {
    /// The peer's incarnation.
    pub incarnation: ids::Incarnation,
    /// Numbers below it are rejected.
    pub floor: u64,
    /// Received numbers at or above the floor.
    pub received: collections::BTreeSet<u64>,
}

/// Maximum count of numbers tracked above the floor.
const MAX_WINDOW_NUMBERS: usize = 4096;

impl DedupWindow {
    /// Registers `number` from `incarnation` and returns whether it is new.
    ///
    /// A number below the floor is rejected. Its sender resends a message only until it is
    /// acknowledged or expires, so a message that old was either acknowledged or is no longer
    /// resent.
    pub fn accept(&mut self, incarnation: ids::Incarnation, number: u64) -> bool {
        if self.incarnation != incarnation {
            *self = DedupWindow { incarnation, ..DedupWindow::default() };
        }
        if number < self.floor || !self.received.insert(number) {
            return false;
        }
        while self.received.len() > MAX_WINDOW_NUMBERS {
            if let Some(lowest) = self.received.pop_first() {
                self.floor = lowest + 1;
            }
        }
        true
    }
}

impl Instance {
    /// Returns whether the instance is leaving, according to its own announcement or to the
    /// platform's list, whichever came first.
    pub fn is_leaving(&self) -> bool {
        self.announced_leaving || self.listed.as_ref().is_some_and(|listed| listed.leaving)
    }
}

impl Instances {
    /// Returns the row of `instance`, inserting it if absent.
    pub fn get_or_insert(&mut self, instance: &ids::InstanceName) -> &mut Instance {
        if !self.rows.contains_key(instance) {
            self.rows.insert(instance.clone(), Instance::default());
        }
        self.rows.get_mut(instance).expect("the row was just inserted")
    }

    /// Applies the platform's instance list and rebuilds the index by endpoint.
    pub fn apply_list(&mut self, list: &[input::ListedInstance]) {
        for row in self.rows.values_mut() {
            row.listed = None;
        }
        for listed in list {
            let row = self.get_or_insert(&listed.instance);
            row.listed = Some(listed.clone());
        }
        self.rows.retain(|_, row| row.listed.is_some() || row.last_heard_at.is_some());
        self.by_endpoint.clear();
        for listed in list {
            if let Some(endpoint) = &listed.endpoint {
                self.by_endpoint.insert(endpoint.clone(), listed.instance.clone());
            }
        }
    }

    /// Returns whether new work may be sent to `instance`.
    pub fn accepts_work(&self, instance: &ids::InstanceName) -> bool {
        self.rows.get(instance).is_some_and(|row| !row.is_leaving() && !row.suspected)
    }

    /// Returns the latest known incarnation of `instance`.
    pub fn incarnation(&self, instance: &ids::InstanceName) -> Option<ids::Incarnation> {
        self.rows.get(instance).and_then(|row| row.incarnation)
    }
}
