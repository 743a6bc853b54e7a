//! Round-trip times to the failure domains of endpoints, from the times that connections take.

use std::collections;
use std::time;

use crate::ids;

/// Typical round-trip time to another region, in milliseconds, before any was measured.
const TYPICAL_OTHER_REGION_MS: f64 = 50.0;
/// Typical round-trip time to another failure domain of the region, in milliseconds, before any was
/// measured.
const TYPICAL_OTHER_DOMAIN_MS: f64 = 2.0;
/// Weight of a connection that took longer than expected: most of these waited for the endpoint.
const SLOW_SMOOTHING: f64 = 0.05;
/// Factor by which a connection may exceed the expected time; longer ones are cut.
const MAX_EXCESS: f64 = 4.0;
/// Shortest round-trip time that is told apart, in milliseconds.
const MIN_MS: f64 = 0.1;

/// Table of ways.
#[derive(Debug, Default)]
pub struct Ways {
    rows: collections::BTreeMap<ids::DomainName, f64>,
}

impl Ways {
    /// Records that a connection to an endpoint in `domain` took `took`.
    pub fn record(&mut self, domain: &ids::DomainName, took: time::Duration) {
        let ms = (took.as_secs_f64() * 1000.0).max(MIN_MS);
        let Some(way) = self.rows.get_mut(domain) else {
            self.rows.insert(domain.clone(), ms);
            return;
        };
        if ms < *way {
            *way = ms;
        } else {
            *way += (ms.min(*way * MAX_EXCESS) - *way) * SLOW_SMOOTHING;
        }
    }

    /// Returns the expected round-trip time to `domain` in milliseconds. Before one was measured, it
    /// follows from whether the domain and its region are this gateway's own.
    pub fn expected_ms(
        &self,
        domain: &ids::DomainName,
        is_own_domain: bool,
        is_own_region: bool,
    ) -> f64 {
        let typical = match (is_own_domain, is_own_region) {
            (true, _) => 0.0,
            (false, true) => TYPICAL_OTHER_DOMAIN_MS,
            (false, false) => TYPICAL_OTHER_REGION_MS,
        };
        self.rows.get(domain).copied().unwrap_or(typical)
    }
}
