//! Headers and reports of engines and plain services, in addition to chat completions.

use flamingotrail_core::ids;
use flamingotrail_core::input;

/// Header that tells an engine to keep the context of a call under this hold id.
pub const HOLD_ID: &str = "x-hold-id";
/// Header with the duration of the hold's lease, in milliseconds.
pub const HOLD_LEASE_MS: &str = "x-hold-lease-ms";
/// Header with the idempotency key of a service call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Status report of an engine.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Number of running calls.
    pub running: u32,
    /// Prompt tokens computed per second.
    pub prefill_rate: f64,
    /// Fraction of cache memory in use, from 0 to 1.
    pub pressure: f64,
    /// Ids of the holds whose context is kept.
    #[serde(default)]
    pub holds: Vec<u64>,
}

impl From<Report> for input::EndpointReport {
    fn from(report: Report) -> Self {
        input::EndpointReport {
            running: report.running,
            prefill_rate: report.prefill_rate,
            pressure: report.pressure,
            holds: report.holds.into_iter().map(ids::HoldId).collect(),
        }
    }
}
