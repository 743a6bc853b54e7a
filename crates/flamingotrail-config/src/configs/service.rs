//! `[service.NAME]`.

/// A plain service.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Whether its calls may be repeated. There is no default: a wrong one books twice.
    pub repeatable: bool,
    /// Cost units for each call.
    #[serde(default)]
    pub price: u64,
    /// Longest run of one call, in milliseconds.
    #[serde(default = "timeout_ms")]
    pub timeout_ms: u64,
}

fn timeout_ms() -> u64 {
    30_000
}
