//! Tests of the gateway's decisions, with an in-memory log and a simulated clock.

mod budgets;
mod calls;
mod crashes;
mod engine_load;
mod engine_model;
mod engine_placement;
mod fixture;
mod fleet;
mod forgotten_programs;
mod forgotten_turns;
mod historyless;
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
mod resumption;
mod turns;
