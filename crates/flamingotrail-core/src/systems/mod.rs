//! The systems: each a function over the tables that its module names.

pub mod budgets;
pub mod completion;
pub mod configuration;
pub mod deadlines;
pub mod drain;
pub mod effects;
pub mod entry;
pub mod execution;
pub mod fencing;
pub mod finish;
pub mod history;
pub mod holds;
pub mod ingest;
pub mod intake;
pub mod journal;
pub mod membership;
pub mod ordering;
pub mod outbox;
pub mod ownership;
pub mod placement;
pub mod programs;
pub mod recovery;
pub mod replay;
pub mod suspects;
pub mod timers;
