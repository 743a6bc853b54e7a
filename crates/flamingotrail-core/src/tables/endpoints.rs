//! Endpoints as known to this instance.

use std::collections;

use crate::ids;
use crate::messages;
use crate::time;

/// Known state of endpoints, with the state of the local endpoint.
#[derive(Debug, Default)]
pub struct Endpoints {
    /// Endpoints by name.
    pub rows: collections::BTreeMap<ids::EndpointName, Endpoint>,
    /// Number of placements so far, used by the round-robin policy.
    pub placement_count: u64,
    /// Fencing token of the local endpoint, once claimed.
    pub fencing_token: Option<ids::FencingToken>,
    /// Nonce of the pending append that claims the local endpoint.
    pub claim_nonce: Option<ids::Nonce>,
    /// Prefill rate in the local endpoint's latest report, in prompt tokens per second.
    pub prefill_rate: f64,
    /// Fraction of the local endpoint's cache memory in use, from 0 to 1.
    pub pressure: f64,
    /// Whether the local endpoint responded to the latest report request.
    pub healthy: bool,
    /// Whether a report request is in progress.
    pub fetching_report: bool,
}

/// An endpoint.
#[derive(Debug, Default)]
pub struct Endpoint {
    /// Latest load reported by its instance.
    pub load: messages::Load,
    /// When that load was received.
    pub load_reported_at: Option<time::Timestamp>,
    /// Attempts of this instance that are queued or running on it.
    pub outstanding: u32,
    /// Attempts that this instance sent to it since the last load report.
    pub sent_since_report: u32,
    /// Not used for placement before this time because an attempt on it failed.
    pub unavailable_until: Option<time::Timestamp>,
    /// Mean run time on it as observed by this instance, in seconds.
    pub mean_run_s: f64,
}

impl Endpoints {
    /// Returns the row of `endpoint`, inserting it if absent.
    pub fn get_or_insert(&mut self, endpoint: &ids::EndpointName) -> &mut Endpoint {
        if !self.rows.contains_key(endpoint) {
            self.rows.insert(endpoint.clone(), Endpoint::default());
        }
        self.rows.get_mut(endpoint).expect("the row was just inserted")
    }
}
