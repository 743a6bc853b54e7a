//! The schedule: all systems in the order in which a pass runs them.

use crate::systems;
use crate::world;

/// A system: a function that runs over the world's tables.
pub struct System {
    /// Name of the system, which is that of its module.
    pub name: &'static str,
    /// Runs the system once.
    pub run: fn(&mut world::World, &world::Tick),
}

/// Systems of one pass, in order.
pub const SYSTEMS: &[System] = &[
    System { name: "ingest", run: systems::ingest::run },
    System { name: "timers", run: systems::timers::run },
    System { name: "configuration", run: systems::configuration::run },
    System { name: "identity", run: systems::identity::run },
    System { name: "membership", run: systems::membership::run },
    System { name: "crashes", run: systems::crashes::run },
    System { name: "measurements", run: systems::measurements::run },
    System { name: "peer_probes", run: systems::peer_probes::run },
    System { name: "journal", run: systems::journal::run },
    System { name: "relay", run: systems::relay::run },
    System { name: "leaving_checks", run: systems::leaving_checks::run },
    System { name: "notices", run: systems::notices::run },
    System { name: "completion", run: systems::completion::run },
    System { name: "admission", run: systems::admission::run },
    System { name: "allowances", run: systems::allowances::run },
    System { name: "deadlines", run: systems::deadlines::run },
    System { name: "turns", run: systems::turns::run },
    System { name: "budgets", run: systems::budgets::run },
    System { name: "placement", run: systems::placement::run },
    System { name: "expiry", run: systems::expiry::run },
    System { name: "log_io", run: systems::log_io::run },
    System { name: "readiness", run: systems::readiness::run },
];
