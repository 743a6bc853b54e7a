//! What endpoints announce of themselves in their responses, apart from the platform's list: an
//! announcement outlives the endpoint's entry, which comes and goes with the platform's store.

use std::collections;

use flamingotrail_core::time;

use crate::ids;
use crate::input;

/// The limit that an endpoint has named.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Maximum number of requests per second from all gateways together.
    pub max_requests_per_s: f64,
    /// When this value was learned.
    pub learned_at: time::Timestamp,
}

/// Table of announcements.
#[derive(Debug, Default)]
pub struct Notices {
    /// Limits by endpoint.
    pub limits: collections::BTreeMap<ids::EndpointId, Limit>,
}

impl Notices {
    /// Applies what the response to a request sent at `sent_at` says of the limit of `endpoint`.
    /// Returns whether the limit has changed.
    ///
    /// Responses may overtake each other. One to a request sent before the current limit was learned
    /// may be older than the limit, so it can only make the limit stricter.
    pub fn update_limit(
        &mut self,
        endpoint: &ids::EndpointId,
        notice: input::Notice,
        sent_at: time::Timestamp,
        now: time::Timestamp,
    ) -> bool {
        let Some(current) = self.limits.get(endpoint) else {
            let Some(max_requests_per_s) = notice.max_requests_per_s else { return false };
            let limit = Limit { max_requests_per_s, learned_at: now };
            self.limits.insert(endpoint.clone(), limit);
            return true;
        };
        let is_newer = sent_at >= current.learned_at;
        match notice.max_requests_per_s {
            Some(named) if named == current.max_requests_per_s => false,
            Some(named) if is_newer || named < current.max_requests_per_s => {
                let limit = Limit { max_requests_per_s: named, learned_at: now };
                self.limits.insert(endpoint.clone(), limit);
                true
            }
            None if is_newer => self.limits.remove(endpoint).is_some(),
            _ => false,
        }
    }
}
