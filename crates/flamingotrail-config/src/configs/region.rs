//! `[region.NAME]`.

/// A region.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionConfig {
    /// Failure domains of the region.
    pub domains: Vec<String>,
    /// Partitions of the region's programs, 1 to 4096; keep it once programs run.
    #[serde(default = "partitions")]
    pub partitions: u16,
    /// One-way delay to other regions, in milliseconds.
    #[serde(default = "remote_delay_ms")]
    pub remote_delay_ms: u64,
}

fn partitions() -> u16 {
    8
}

fn remote_delay_ms() -> u64 {
    30
}
