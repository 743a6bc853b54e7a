//! How many requests an endpoint probably has.

use flamingotrail_core::time as core_time;

use crate::tables::endpoints;

/// Estimates the number of requests that run or wait at an endpoint: the load that it reported,
/// with exponentially decaying weight, plus the attempts sent since; at least this gateway's own
/// attempts. The requests of a report end as fast as calls do, `duration_ms` on average.
pub fn expected_load(
    row: &endpoints::Endpoint,
    duration_ms: f64,
    now: core_time::Timestamp,
) -> f64 {
    let in_flight = f64::from(row.in_flight);
    let Some((at, load)) = row.load else { return in_flight };
    let age_ms = now.since(at).as_secs_f64() * 1000.0;
    let weight = 0.5_f64.powf(age_ms / duration_ms);
    let requests = f64::from(load.running) + f64::from(load.waiting);
    let reported = requests * weight + f64::from(row.sent_since_load);
    reported.max(in_flight)
}
