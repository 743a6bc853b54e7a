//! `[model.NAME]` sections.

/// Prices and limits of a model.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// Cost units per prompt token.
    #[serde(default = "price")]
    pub prompt_price: u64,
    /// Cost units per generated token.
    #[serde(default = "price")]
    pub completion_price: u64,
    /// Maximum number of generated tokens for a call that sets no limit.
    #[serde(default = "default_max_tokens")]
    pub default_max_tokens: u32,
}

fn price() -> u64 {
    1
}

fn default_max_tokens() -> u32 {
    512
}
