//! Rate leases of workspaces: what this gateway may send, and what it has granted to others.

use std::time;

use flamingotrail_core::time as core_time;

use crate::input;
use crate::settings;

pub mod holder;
pub mod lists;
pub mod meters;
pub mod owner;

/// Time for which a lease is valid, from the sending of its request.
pub const LEASE_TIME: time::Duration = time::Duration::from_secs(12);
/// Lowest rate of a lease; a gateway with less lives on units.
pub const MIN_LEASE_PER_S: f64 = 2.0;
/// Part of the allowance above which a workspace is short.
pub const SHORT_SHARE: f64 = 0.8;
/// Calls that a lease accumulates, in seconds of its rate.
const LEASE_BURST_S: f64 = 0.25;
/// Shortest time for which units are valid: less would not outlast their way to another region.
const MIN_UNIT_TIME: time::Duration = time::Duration::from_millis(100);
/// Longest time for which units are valid.
const MAX_UNIT_TIME: time::Duration = time::Duration::from_secs(10);

/// Tables of both sides.
#[derive(Debug, Default)]
pub struct Allowances {
    /// What this gateway may send.
    pub holder: holder::Holder,
    /// What this gateway has granted, as the owner of workspaces.
    pub owner: owner::Owner,
    /// Lists of gateways, by which owners are determined.
    pub lists: lists::Lists,
    /// Whether the configuration has allowances.
    pub is_in_use: bool,
    /// When the tables were last worked on.
    pub run_at: core_time::Timestamp,
}

// Parts of the tolerance. What is left of it covers messages that are under way.

/// Part that the rate gains over a window, so that callers near their limit are served while the bound
/// holds.
const RATE_PART: f64 = 0.3;
/// Part that the pool holds beyond the burst.
const POOL_PART: f64 = 0.1;
/// Part that units may add by being spent later than granted.
const UNITS_PART: f64 = 0.25;
/// Part that leases may accumulate.
const LEASES_PART: f64 = 0.3;

/// An allowance with its tolerance, divided among the causes of an excess.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Calls per second, with the part of the tolerance that the rate gains.
    pub per_s: f64,
    /// Calls that may exceed the rate at once.
    pub burst: f64,
    /// Calls by which a window may exceed the allowance.
    pub tolerance: f64,
}

impl Terms {
    /// Returns the terms of `allowance`.
    pub fn new(allowance: input::RateAllowance, bound: &settings::AllowanceTolerance) -> Self {
        let input::RateAllowance { per_s, burst } = allowance;
        let window_s = bound.window.as_secs_f64();
        let tolerance = bound.overage * (per_s * window_s + burst) + bound.slack;
        let gained = if window_s > 0.0 { tolerance * RATE_PART / window_s } else { 0.0 };
        Terms { per_s: per_s + gained, burst, tolerance }
    }

    /// Returns the capacity of the pool. It has room for one call even if nothing else is allowed.
    pub fn pool_capacity(&self) -> f64 {
        (self.burst + self.tolerance * POOL_PART).max(1.0)
    }

    /// Returns the time for which units are valid.
    pub fn unit_time(&self) -> time::Duration {
        let seconds = self.tolerance * UNITS_PART / self.per_s;
        time::Duration::try_from_secs_f64(seconds)
            .unwrap_or(MAX_UNIT_TIME)
            .clamp(MIN_UNIT_TIME, MAX_UNIT_TIME)
    }

    /// Returns the number of calls that all leases together may accumulate.
    pub fn lease_bursts(&self) -> f64 {
        self.tolerance * LEASES_PART
    }
}

/// Returns the number of calls that a lease of `rate` accumulates.
pub fn lease_burst(rate: f64) -> f64 {
    if rate > 0.0 {
        (rate * LEASE_BURST_S).max(1.0)
    } else {
        0.0
    }
}
