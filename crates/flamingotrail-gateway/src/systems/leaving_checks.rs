//! Asks endpoints that have announced their leaving, and are still listed as ready, whether they have
//! changed their minds: they get no requests whose responses would tell.

use std::time;

use crate::output;
use crate::tables::timers;
use crate::world;

/// Interval between two checks of an endpoint.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Schedules the next checks.
pub fn schedule(world: &mut world::World, tick: &world::Tick) {
    let due = tick.now.after(CHECK_INTERVAL);
    world.tables.timers.set_earlier(timers::Timer::LeavingChecks, due);
}

/// Checks the endpoints for which this gateway is the first in the order of gateways; it tells the
/// others.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    if !std::mem::take(&mut world.tables.dirty.leaving_checks) {
        return;
    }
    let tables = &mut world.tables;
    let mut checks = Vec::new();
    let mut has_leaving = false;
    for (id, leaving) in tables.notices.leaving() {
        has_leaving = true;
        let Some(row) = tables.endpoints.rows.get(id).filter(|row| !row.listed.draining) else {
            continue;
        };
        let service = tables.routes.service(&row.listed.service);
        let Some(path) = service.and_then(|service| service.health_path.clone()) else { continue };
        if tables.peers.place(&world.identity.instance, id.as_str()) != 0 {
            continue;
        }
        leaving.checked_at = Some(tick.now);
        let address = row.listed.address.clone();
        checks.push(output::Output::CheckEndpoint { endpoint: id.clone(), address, path });
    }
    world.outputs.extend(checks);
    if has_leaving {
        schedule(world, tick);
    }
}
