//! The decisions of gateways, over a log in memory and a clock that tests move.

mod budgets;
mod calls;
mod fixture;
mod placement;
mod turns;
