//! `[model.NAME]`.

/// A model.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// Cost units for each prompt token.
    #[serde(default = "price")]
    pub prompt_price: u64,
    /// Cost units for each generated token.
    #[serde(default = "price")]
    pub completion_price: u64,
    /// Tokens generated at most when a call names no limit.
    #[serde(default = "default_max_tokens")]
    pub default_max_tokens: u32,
}

fn price() -> u64 {
    1
}

fn default_max_tokens() -> u32 {
    512
}
