//! Reports whether this gateway accepts new calls, and advances a graceful shutdown.

use crate::output;
use crate::systems::log_outage;
use crate::systems::shutdown;
use crate::world;

/// Updates the readiness and advances a shutdown.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    let ready = is_ready(world);
    if ready != world.ready {
        world.ready = ready;
        let detail = format_args!(
            "ready={ready} draining={} configured={} listed={}",
            world.draining_since.is_some(),
            world.tables.routes.current.is_some(),
            world.tables.endpoints.is_loaded
        );
        world.outputs.push(output::Output::Event(output::Event::new("readiness", detail)));
        world.emit(output::Output::Ready(ready));
    }
    if std::mem::take(&mut world.tables.dirty.drain) {
        shutdown::advance(world, tick);
    }
}

fn is_ready(world: &world::World) -> bool {
    let is_isolated = !world.tables.peers.rows.is_empty() && log_outage::is_log_unreachable(world);
    world.draining_since.is_none()
        && !is_isolated
        && world.tables.routes.current.is_some()
        && world.tables.endpoints.is_loaded
}
