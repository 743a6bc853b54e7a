//! The schedule: every system, in the order in which one pass runs them.

use crate::systems;
use crate::world;

/// A system: its name and its function over the world's tables.
pub struct System {
    /// Name, for the state dump and benchmarks.
    pub name: &'static str,
    /// The function.
    pub run: fn(&mut world::World, &world::Tick),
}

/// One pass.
pub const SYSTEMS: &[System] = &[
    System { name: "ingest", run: systems::ingest::run },
    System { name: "timers", run: systems::timers::run },
    System { name: "configuration", run: systems::configuration::run },
    System { name: "membership", run: systems::membership::run },
    System { name: "journal", run: systems::journal::run },
    System { name: "relay", run: systems::relay::run },
    System { name: "completion", run: systems::completion::run },
    System { name: "admission", run: systems::admission::run },
    System { name: "deadlines", run: systems::deadlines::run },
    System { name: "turns", run: systems::turns::run },
    System { name: "budgets", run: systems::budgets::run },
    System { name: "placement", run: systems::placement::run },
    System { name: "expiry", run: systems::expiry::run },
    System { name: "log_io", run: systems::log_io::run },
    System { name: "readiness", run: systems::readiness::run },
];
