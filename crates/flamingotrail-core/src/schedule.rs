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
