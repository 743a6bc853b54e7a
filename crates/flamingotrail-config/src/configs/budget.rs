//! `[budget.NAME]` sections.

/// Limits of one program including all its sub-agents.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetConfig {
    /// Maximum cost of a program, in cost units.
    pub limit: u64,
    /// Cost units granted at a time; defaults to a tenth of the limit.
    pub chunk: Option<u64>,
    /// Maximum number of turns of a program.
    #[serde(default = "max_turns")]
    pub max_turns: u32,
}

fn max_turns() -> u32 {
    400
}
