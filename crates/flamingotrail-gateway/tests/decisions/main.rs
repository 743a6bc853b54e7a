//! Tests of the gateway's decisions, with an in-memory log and a simulated clock.

mod admission_control;
mod budgets;
mod calls;
mod crashes;
mod engines;
mod fixture;
mod fleet;
mod forgotten_programs;
mod forgotten_turns;
mod historyless;
mod identity;
mod learning;
mod leaving;
mod limits;
mod load_patterns;
mod log_index;
mod long_turns;
mod notices;
mod order;
mod outages;
mod peers;
mod placement;
mod reconfiguration;
mod removed_keys;
mod resumption;
mod turns;
