//! Processes of the system as this one knows them.

use std::collections;

use crate::ids;
use crate::input;
use crate::time;

/// Known instances.
#[derive(Debug, Default)]
pub struct Instances {
    /// Rows by name.
    pub rows: collections::BTreeMap<ids::InstanceName, Instance>,
    /// Index: which instance stands beside an endpoint.
    pub by_endpoint: collections::BTreeMap<ids::EndpointName, ids::InstanceName>,
    /// Whether a fetch of the list is under way.
    pub fetching: bool,
    /// Time of the last probe sent.
    pub probed_at: time::Timestamp,
}

/// One instance.
#[derive(Debug, Default)]
pub struct Instance {
    /// Its row in the platform's list; none where only a message told of it.
    pub listed: Option<input::ListedInstance>,
    /// Its latest known start.
    pub incarnation: Option<ids::Incarnation>,
    /// When it was last heard of directly.
    pub heard_at: Option<time::Timestamp>,
    /// Whether its latest known start said that it is leaving.
    pub told_leaving: bool,
    /// When a connection to it failed with nothing heard since.
    pub broken_at: Option<time::Timestamp>,
    /// Whether it has been silent for too long.
    pub suspected: bool,
    /// Pieces of business that are open with it.
    pub watches: u32,
    /// Confirmed messages taken from its latest start.
    pub window: Window,
}

/// Which numbers were taken from one start of a peer: exact above a floor, closed below it.
#[derive(Debug, Default)]
pub struct Window {
    /// The start.
    pub incarnation: ids::Incarnation,
    /// Numbers below it are closed.
    pub floor: u64,
    /// Numbers taken at or above the floor.
    pub taken: collections::BTreeSet<u64>,
}

/// Numbers kept above the floor of a window.
const WINDOW_NUMBERS: usize = 4096;

impl Window {
    /// Takes `number` from the start `incarnation`: whether this is the first time.
    ///
    /// A number so old that it fell below the floor is not taken: its sender sends it again only
    /// until it is confirmed, and it was confirmed or the sender is long gone.
    pub fn take(&mut self, incarnation: ids::Incarnation, number: u64) -> bool {
        if self.incarnation != incarnation {
            *self = Window { incarnation, ..Window::default() };
        }
        if number < self.floor || !self.taken.insert(number) {
            return false;
        }
        while self.taken.len() > WINDOW_NUMBERS {
            if let Some(lowest) = self.taken.pop_first() {
                self.floor = lowest + 1;
            }
        }
        true
    }
}

impl Instance {
    /// Whether it is leaving, by its own word or by the list, whichever came first.
    pub fn is_leaving(&self) -> bool {
        self.told_leaving || self.listed.as_ref().is_some_and(|listed| listed.leaving)
    }
}

impl Instances {
    /// The row of `instance`, made when there is none.
    pub fn row(&mut self, instance: &ids::InstanceName) -> &mut Instance {
        if !self.rows.contains_key(instance) {
            self.rows.insert(instance.clone(), Instance::default());
        }
        self.rows.get_mut(instance).expect("the row was just made")
    }

    /// Takes over the platform's list and rebuilds the index by endpoint.
    pub fn take_list(&mut self, list: &[input::ListedInstance]) {
        for row in self.rows.values_mut() {
            row.listed = None;
        }
        for listed in list {
            let row = self.row(&listed.instance);
            row.listed = Some(listed.clone());
        }
        self.rows.retain(|_, row| row.listed.is_some() || row.heard_at.is_some());
        self.by_endpoint.clear();
        for listed in list {
            if let Some(endpoint) = &listed.endpoint {
                self.by_endpoint.insert(endpoint.clone(), listed.instance.clone());
            }
        }
    }

    /// Whether new work may go to `instance`.
    pub fn is_open(&self, instance: &ids::InstanceName) -> bool {
        self.rows.get(instance).is_some_and(|row| !row.is_leaving() && !row.suspected)
    }

    /// Latest known start of `instance`.
    pub fn incarnation(&self, instance: &ids::InstanceName) -> Option<ids::Incarnation> {
        self.rows.get(instance).and_then(|row| row.incarnation)
    }
}
