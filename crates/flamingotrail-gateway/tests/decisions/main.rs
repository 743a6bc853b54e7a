//! Tests of the gateway's decisions, with an in-memory log and a simulated clock.

mod allowance_faults;
mod allowance_fleet;
mod allowances;
mod budgets;
mod calls;
mod crashes;
mod fixture;
mod fleet;
mod forgotten_programs;
mod forgotten_turns;
mod historyless;
mod identity;
mod learning;
mod leaving;
mod limits;
mod log_index;
mod long_turns;
mod notices;
mod outages;
mod peers;
mod placement;
mod reconfiguration;
mod removed_keys;
mod resumption;
mod turns;
