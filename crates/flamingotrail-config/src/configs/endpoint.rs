//! `[endpoint.NAME]` sections.

/// An endpoint: an engine, or a runner of a plain service.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointConfig {
    /// Names of the models that an engine serves.
    #[serde(default)]
    pub models: Vec<String>,
    /// Names of the plain services that a runner serves. An endpoint has either `models` or
    /// `services`.
    #[serde(default)]
    pub services: Vec<String>,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Whether the endpoint rejects requests with an outdated fencing token.
    #[serde(default)]
    pub fenced: bool,
    /// Capacity of the endpoint's context cache in tokens; 0 if it has none.
    #[serde(default)]
    pub cache_tokens: u64,
}
