//! `[endpoint.NAME]`.

/// An endpoint: one engine or one runner of a plain service.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointConfig {
    /// Names of the models that it serves.
    #[serde(default)]
    pub models: Vec<String>,
    /// Names of the plain services that it runs; exactly one of `models` and `services` is given.
    #[serde(default)]
    pub services: Vec<String>,
    /// Calls that run on it at the same time.
    pub slots: u32,
    /// Whether it refuses orders that carry an old fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// Cached context that it holds, in tokens.
    #[serde(default)]
    pub cache_tokens: u64,
}
