//! What engines and tool services say besides chat completions.

use flamingotrail_core::ids;
use flamingotrail_core::input;

/// Header by which an engine is told to keep the context of a call under an id.
pub const HOLD_ID: &str = "x-hold-id";
/// Header with the lease of a hold, in milliseconds.
pub const HOLD_LEASE_MS: &str = "x-hold-lease-ms";
/// Header with the idempotency key of a service call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// An engine's report of itself.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Calls that run.
    pub running: u32,
    /// Prompt tokens computed a second.
    pub prefill_rate: f64,
    /// Share of cache memory in use, 0 to 1.
    pub pressure: f64,
    /// Holds that it keeps.
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
