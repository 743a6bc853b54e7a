//! `[budget.NAME]`.

/// Limits of one program with all its sub-agents.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetConfig {
    /// Cost units that a program may spend.
    pub limit: u64,
    /// Cost units granted at a time; a tenth of the limit where it is left out.
    pub chunk: Option<u64>,
    /// Turns that a program may take.
    #[serde(default = "max_turns")]
    pub max_turns: u32,
}

fn max_turns() -> u32 {
    400
}
