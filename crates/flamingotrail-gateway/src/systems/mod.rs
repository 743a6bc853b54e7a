//! The systems: functions that run over the tables, each with one responsibility.

pub mod admission;
pub mod budgets;
pub mod completion;
pub mod configuration;
pub mod crashes;
pub mod deadlines;
pub mod expiry;
pub mod ingest;
pub mod journal;
pub mod leaving_checks;
pub mod log_io;
pub mod log_outage;
pub mod measurements;
pub mod membership;
pub mod notices;
pub mod peer_probes;
pub mod placement;
pub mod readiness;
pub mod rejections;
pub mod relay;
pub mod replay;
pub mod rewriting;
pub mod timers;
pub mod turn_records;
pub mod turn_search;
pub mod turns;
