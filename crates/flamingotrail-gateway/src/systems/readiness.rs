//! Tells whether this process takes new callers, and ends a graceful shutdown.

use std::time;

use crate::output;
use crate::systems::admission;
use crate::tables::timers;
use crate::world;

/// Time after the order to stop for which callers are still let in: the balancer asks once a second
/// and takes a process out after two misses.
const LINGER: time::Duration = time::Duration::from_millis(3_000);
/// Part of the grace period after which the process ends whatever is left, in hundredths.
const GRACE_USED: u32 = 95;

/// Updates the readiness, and moves a shutdown on.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    let ready = is_ready(world);
    if ready != world.ready {
        world.ready = ready;
        let detail = format_args!(
            "ready={ready} draining={} configured={} listed={}",
            world.draining_since.is_some(),
            world.tables.routes.current.is_some(),
            world.tables.endpoints.listed
        );
        world.out.push(output::Output::Event(output::Event::new("readiness", detail)));
        world.emit(output::Output::Ready(ready));
    }
    if std::mem::take(&mut world.tables.dirty.drain) {
        drain(world, tick);
    }
}

fn is_ready(world: &world::World) -> bool {
    let alone = !world.tables.peers.rows.is_empty() && admission::is_log_unreachable(world);
    world.draining_since.is_none()
        && !alone
        && world.tables.routes.current.is_some()
        && world.tables.endpoints.listed
}

fn drain(world: &mut world::World, tick: &world::Tick) {
    let Some(since) = world.draining_since else { return };
    let linger_end = since.after(LINGER);
    let grace_end = since.after(world.settings.grace * GRACE_USED / 100);
    let idle = world.tables.calls.rows.is_empty() && !has_records(world);
    if tick.now >= grace_end || (idle && tick.now >= linger_end) {
        if !world.stopped {
            world.stopped = true;
            let calls = world.tables.calls.rows.len();
            world.event("drained", format_args!("calls={calls}"));
            world.emit(output::Output::Stopped);
        }
        return;
    }
    let next = if tick.now < linger_end { linger_end } else { grace_end };
    world.tables.timers.set(timers::Timer::Drain, next);
}

fn has_records(world: &world::World) -> bool {
    let rows = &world.tables.partitions.rows;
    rows.values().any(|row| !row.queue.is_empty() || !row.appending.is_empty())
}
