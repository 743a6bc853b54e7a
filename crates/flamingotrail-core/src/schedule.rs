//! The schedule: all systems in the order in which a pass runs them.

use crate::systems;
use crate::world;

/// A system: a function that runs over the world's tables.
pub struct System {
    /// Name shown in the state dump and in benchmarks.
    pub name: &'static str,
    /// Runs the system once.
    pub run: fn(&mut world::World, &world::Tick),
}

/// The systems of one pass, in order.
pub const SYSTEMS: &[System] = &[
    System { name: "ingest", run: systems::ingest::run },
    System { name: "timers", run: systems::due_timers::run },
    System { name: "outbox", run: systems::outbox::run },
    System { name: "membership", run: systems::membership::run },
    System { name: "configuration", run: systems::configuration::run },
    System { name: "fencing", run: systems::fencing::run },
    System { name: "ownership", run: systems::ownership::run },
    System { name: "journal", run: systems::journal_writer::run },
    System { name: "entry", run: systems::entry::run },
    System { name: "intake", run: systems::intake::run },
    System { name: "suspects", run: systems::suspects::run },
    System { name: "completion", run: systems::completion::run },
    System { name: "recovery", run: systems::recovery::run },
    System { name: "deadlines", run: systems::deadlines::run },
    System { name: "ordering", run: systems::ordering::run },
    System { name: "budgets", run: systems::budgets::run },
    System { name: "effects", run: systems::effects::run },
    System { name: "placement", run: systems::placement::run },
    System { name: "execution", run: systems::execution::run },
    System { name: "holds", run: systems::holds::run },
    System { name: "drain", run: systems::drain::run },
];
