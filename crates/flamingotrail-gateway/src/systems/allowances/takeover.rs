//! Follows the list of gateways: a gateway that becomes the owner of a workspace asks all others what
//! they hold of it, before it grants anything that may be leased.

use std::time;

use crate::ids;
use crate::leases;
use crate::output;
use crate::systems::allowances as system;
use crate::tables::timers;
use crate::world;

/// Interval between two checks of the pools, and of whether this process runs at all.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time between two checks after which this process has not run for so long that another gateway may
/// own its workspaces.
const FREEZE_TIME: time::Duration = time::Duration::from_secs(3);

/// Applies changes of the configuration and of the list, and the reports of other gateways.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    apply_configuration(world, tick);
    let has_list = std::mem::take(&mut world.tables.dirty.peer_list);
    answer_questions(world, tick);
    if !world.tables.allowances.is_in_use {
        world.tables.inbox.holdings_reports.clear();
        return;
    }
    check_freeze(world, tick);
    if has_list {
        apply_list(world, tick);
    }
    for (peer, report) in std::mem::take(&mut world.tables.inbox.holdings_reports) {
        apply_report(world, tick, &peer, report);
    }
    if world.tables.dirty.allowance_heartbeat {
        ask_unreported(world);
        check_ownership(world, tick);
    }
}

/// Applies the limits of a new configuration.
fn apply_configuration(world: &mut world::World, tick: &world::Tick) {
    let version = world.tables.routes.version();
    if world.tables.allowances.holder.version == version {
        return;
    }
    let was_in_use = world.tables.allowances.is_in_use;
    let configuration = world.tables.routes.current.as_ref();
    let workspaces = configuration.and_then(|current| current.workspaces.as_ref());
    let is_in_use = workspaces.is_some_and(|workspaces| {
        workspaces.rows.values().any(|workspace| workspace.allowance.is_some())
    });
    if !is_in_use {
        world.tables.allowances = Default::default();
    } else if !was_in_use {
        world.tables.dirty.peer_list = true;
        world.tables.allowances.run_at = tick.now;
        schedule_heartbeat(world, tick);
    }
    world.tables.allowances.is_in_use = is_in_use;
    world.tables.allowances.holder.version = version;
    let mut rows = std::mem::take(&mut world.tables.allowances.holder.rows);
    rows.retain(|workspace, row| match system::terms(world, workspace) {
        Some(terms) => {
            row.apply_limit(terms.per_s, tick.now);
            true
        }
        None => {
            // Its calls are not limited any more.
            world.tables.dirty.unplaced_calls.extend(row.waiting.keys());
            false
        }
    });
    world.tables.dirty.allowance_check |= !rows.is_empty();
    world.tables.allowances.holder.rows = rows;
}

fn schedule_heartbeat(world: &mut world::World, tick: &world::Tick) {
    let due = tick.now.after(HEARTBEAT_INTERVAL);
    world.tables.timers.set(timers::Timer::AllowanceHeartbeat, due);
}

/// Starts anew as an owner if this process has not run for a while.
fn check_freeze(world: &mut world::World, tick: &world::Tick) {
    let allowances = &mut world.tables.allowances;
    let gap = tick.now.since(allowances.run_at);
    allowances.run_at = tick.now;
    if gap >= FREEZE_TIME {
        allowances.lists.restart(tick.now);
        let count = allowances.owner.pools.len();
        allowances.owner.pools.clear();
        let gap_ms = gap.as_millis();
        let detail = format_args!("action=restarted workspaces={count} stopped_ms={gap_ms}");
        world.emit_event("allowance_owner", detail);
    }
    if world.tables.dirty.allowance_heartbeat {
        schedule_heartbeat(world, tick);
    }
}

fn apply_list(world: &mut world::World, tick: &world::Tick) {
    let own = &world.identity.instance;
    let peers = &world.tables.peers;
    let lists = &mut world.tables.allowances.lists;
    if lists.update(own, &peers.rows, peers.is_listed, tick.now) {
        apply_owners(world, tick);
    }
}

/// Applies a change of owners: forgets the pools of workspaces that others own, and asks new owners.
fn apply_owners(world: &mut world::World, tick: &world::Tick) {
    let own = &world.identity.instance;
    let tables = &mut world.tables;
    let allowances = &mut tables.allowances;
    let lists = &allowances.lists;
    let before = allowances.owner.pools.len();
    allowances.owner.pools.retain(|workspace, _| lists.owner(workspace) == Some(own));
    let lost = before - allowances.owner.pools.len();
    for (workspace, row) in &mut allowances.holder.rows {
        let owner = lists.owner(workspace);
        if row.owner.as_ref() != owner {
            row.owner = owner.cloned();
            row.renew_at = tick.now;
            tables.dirty.unplaced_calls.extend(row.waiting.keys());
        }
    }
    allowances.holder.asked.values_mut().for_each(|asked| asked.is_void = true);
    tables.dirty.allowance_check = true;
    if lost > 0 {
        world.emit_event("allowance_owner", format_args!("action=ceased workspaces={lost}"));
    }
}

/// Reports this gateway's leases to gateways that have become owners.
fn answer_questions(world: &mut world::World, tick: &world::Tick) {
    for (ticket, claimant, question) in std::mem::take(&mut world.tables.inbox.holdings_requests) {
        let own = &world.identity.instance;
        let allowances = &mut world.tables.allowances;
        let rates = allowances.holder.rates(tick.now);
        let lists_owner = allowances.lists.lists(&claimant);
        if question != leases::Question::Check && allowances.is_in_use {
            allowances.holder.void_requests(&claimant);
            let has_own = question == leases::Question::Listed;
            if allowances.lists.record_claim(own, &claimant, has_own, tick.now) {
                apply_owners(world, tick);
            }
        }
        let departed = world.tables.allowances.lists.departed(tick.now);
        let holdings = leases::Holdings { boot: world.boot, lists_owner, rates, departed };
        world.emit(output::Output::RespondToHoldings(ticket, holdings));
    }
}

/// Asks all gateways for their leases, unless they were asked under the present list.
pub fn ask_holdings(world: &mut world::World, tick: &world::Tick) {
    let own = world.identity.instance.clone();
    let rates = world.tables.allowances.holder.rates(tick.now);
    record_holdings(world, tick, &own, &rates);
    let asks = world.tables.allowances.lists.start_asking();
    emit_asks(world, asks);
    settle(world, tick);
}

/// Asks those gateways again that did not answer.
fn ask_unreported(world: &mut world::World) {
    let asks = world.tables.allowances.lists.unreported();
    emit_asks(world, asks);
}

fn emit_asks(world: &mut world::World, asks: Vec<(ids::InstanceName, String, bool)>) {
    let own = &world.identity.instance;
    let outputs = asks.into_iter().map(|(peer, address, is_listed)| {
        let question = match is_listed {
            true => leases::Question::Listed,
            false => leases::Question::Unlisted,
        };
        output::Output::AskHoldings { peer, address, owner: own.clone(), question }
    });
    world.outputs.extend(outputs);
}

/// Asks other gateways whether this one still is an owner, if it can't read the list and grants.
pub fn check_ownership(world: &mut world::World, tick: &world::Tick) {
    let allowances = &mut world.tables.allowances;
    if allowances.owner.pools.is_empty() {
        return;
    }
    let question = leases::Question::Check;
    let own = &world.identity.instance;
    let checks = allowances.lists.start_check(tick.now).into_iter();
    let outputs = checks.map(|(peer, address)| output::Output::AskHoldings {
        peer,
        address,
        owner: own.clone(),
        question,
    });
    world.outputs.extend(outputs);
}

fn apply_report(
    world: &mut world::World,
    tick: &world::Tick,
    peer: &ids::InstanceName,
    report: leases::Report,
) {
    match report {
        leases::Report::Holdings(holdings) => {
            let allowances = &mut world.tables.allowances;
            allowances.owner.accept(peer, holdings.boot, 0);
            if holdings.lists_owner {
                allowances.lists.record_contact(peer, tick.now);
            }
            record_holdings(world, tick, peer, &holdings.rates);
            let own = &world.identity.instance;
            let lists = &mut world.tables.allowances.lists;
            let asks = lists.add_departed(own, &holdings.departed, tick.now);
            emit_asks(world, asks);
        }
        leases::Report::Ended => {}
        leases::Report::Unknown => return,
    }
    world.tables.allowances.lists.record_report(peer, tick.now);
    settle(world, tick);
}

/// Records the leases that a gateway holds of the workspaces which this gateway has taken over.
fn record_holdings(
    world: &mut world::World,
    tick: &world::Tick,
    peer: &ids::InstanceName,
    rates: &[(ids::WorkspaceName, f64)],
) {
    let own = world.identity.instance.clone();
    for (workspace, rate) in rates {
        let Some(terms) = system::terms(world, workspace) else { continue };
        let allowances = &mut world.tables.allowances;
        if allowances.lists.owner(workspace) == Some(&own)
            && allowances.lists.settled_at(&own, workspace, tick.now).is_none()
        {
            allowances.owner.record_holding(&terms, peer, workspace, *rate, tick.now);
        }
    }
}

/// Marks the workspaces as taken over once all gateways have reported.
fn settle(world: &mut world::World, tick: &world::Tick) {
    let allowances = &mut world.tables.allowances;
    if allowances.lists.settle(tick.now) {
        let count = allowances.owner.pools.len();
        world.emit_event("allowance_owner", format_args!("action=became workspaces={count}"));
    }
}
