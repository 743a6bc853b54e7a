//! Endpoints as this process knows them.

use std::collections;

use crate::ids;
use crate::messages;
use crate::time;

/// What is known of endpoints.
#[derive(Debug, Default)]
pub struct Endpoints {
    /// Rows by name.
    pub rows: collections::BTreeMap<ids::EndpointName, Endpoint>,
    /// Turn of the round-robin baseline.
    pub turn: u64,
    /// Fencing number of the own endpoint, once claimed.
    pub fence: Option<ids::FencingToken>,
    /// Append of the own claim that is under way.
    pub claiming: Option<ids::Nonce>,
    /// Latest report of the own endpoint.
    pub prefill_rate: f64,
    /// Share of the own endpoint's cache memory in use.
    pub pressure: f64,
    /// Whether the own endpoint answered its latest report.
    pub healthy: bool,
    /// Whether a report is under way.
    pub reporting: bool,
}

/// One endpoint.
#[derive(Debug, Default)]
pub struct Endpoint {
    /// Latest load that its process told.
    pub load: messages::Load,
    /// When it was told.
    pub told_at: Option<time::Timestamp>,
    /// Own attempts that run or wait there.
    pub outstanding: u32,
    /// Own attempts sent since the load was told.
    pub sent_since: u32,
    /// Not to be used before this time: it failed.
    pub closed_until: Option<time::Timestamp>,
    /// Mean length of a run there, in seconds, as this process saw it.
    pub mean_run_s: f64,
}

impl Endpoints {
    /// The row of `endpoint`, made when there is none.
    pub fn row(&mut self, endpoint: &ids::EndpointName) -> &mut Endpoint {
        if !self.rows.contains_key(endpoint) {
            self.rows.insert(endpoint.clone(), Endpoint::default());
        }
        self.rows.get_mut(endpoint).expect("the row was just made")
    }
}
