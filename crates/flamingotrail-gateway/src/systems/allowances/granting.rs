//! Grants leases and units of the workspaces that this gateway owns.

use crate::leases;
use crate::output;
use crate::systems::allowances as system;
use crate::systems::allowances::takeover;
use crate::tables::allowances::owner;
use crate::world;

/// Answers the requests of other gateways, and refreshes the pools when the timer has fired.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for (ticket, request) in std::mem::take(&mut world.tables.inbox.allowance_requests) {
        let answer = answer(world, tick, &request);
        world.emit(output::Output::RespondToAllowances(ticket, answer));
    }
    if std::mem::take(&mut world.tables.dirty.allowance_heartbeat) {
        refresh_pools(world, tick);
    }
}

/// Answers a request. Workspaces that this gateway does not own, and requests that it must not grant,
/// get no answer.
pub fn answer(
    world: &mut world::World,
    tick: &world::Tick,
    request: &leases::Request,
) -> leases::Answer {
    let mut answer = leases::Answer { boot: world.boot, grants: Vec::new() };
    let allowances = &mut world.tables.allowances;
    // What other gateways than those listed hold is not asked for by the next owner.
    let is_known = allowances.lists.contains(&request.holder);
    let is_new = allowances.owner.accept(&request.holder, request.boot, request.number);
    if !is_known || !is_new {
        return answer;
    }
    allowances.lists.record_contact(&request.holder, tick.now);
    if !allowances.lists.may_grant(tick.now) {
        return answer;
    }
    for demand in &request.demands {
        answer.grants.extend(grant(world, tick, request, demand));
    }
    answer
}

fn grant(
    world: &mut world::World,
    tick: &world::Tick,
    request: &leases::Request,
    demand: &leases::Demand,
) -> Option<leases::Grant> {
    let own = &world.identity.instance;
    let terms = system::terms(world, &demand.workspace)?;
    let lists = &world.tables.allowances.lists;
    if lists.owner(&demand.workspace) != Some(own) {
        return None;
    }
    if lists.settled_at(own, &demand.workspace, tick.now).is_none() {
        takeover::ask_holdings(world, tick);
    }
    let allowances = &mut world.tables.allowances;
    let own = &world.identity.instance;
    let settled_at = allowances.lists.settled_at(own, &demand.workspace, tick.now);
    let grant = allowances.owner.grant(&terms, &request.holder, demand, settled_at, tick.now);
    if grant.units < demand.units {
        log_shortage(world, tick, request, demand, &grant);
    }
    Some(grant)
}

fn log_shortage(
    world: &mut world::World,
    tick: &world::Tick,
    request: &leases::Request,
    demand: &leases::Demand,
    grant: &leases::Grant,
) {
    let workspace = &demand.workspace;
    let Some(pool) = world.tables.allowances.owner.pools.get(workspace) else { return };
    let (holders, leased) = pool.leases(tick.now);
    world.emit_event(
        "allowance_short",
        format_args!(
            "workspace={workspace} holder={} asked={} granted={} pool={:.2} leases={holders} \
             leased_per_s={leased:.2} total_per_s={:.2} settled={}",
            request.holder,
            demand.units,
            grant.units,
            pool.units(),
            grant.total_per_s,
            grant.is_settled,
        ),
    );
}

/// Refills the pools, and removes those that are full and not in use.
fn refresh_pools(world: &mut world::World, tick: &world::Tick) {
    let own = world.identity.instance.clone();
    let mut pools = std::mem::take(&mut world.tables.allowances.owner.pools);
    pools.retain(|workspace, pool| {
        let Some(terms) = system::terms(world, workspace) else { return false };
        let lists = &world.tables.allowances.lists;
        let is_settled = lists.settled_at(&own, workspace, tick.now).is_some();
        owner::Owner::refresh(pool, &terms, is_settled, tick.now)
    });
    world.tables.allowances.owner.pools = pools;
}
