//! Asks the owners of workspaces for leases and units, and applies their answers.

use std::collections;
use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::leases;
use crate::output;
use crate::systems::allowances as system;
use crate::systems::allowances::granting;
use crate::tables;
use crate::tables::allowances;
use crate::tables::allowances::holder;
use crate::tables::timers;
use crate::world;

/// Renewals that are due within this time go along with a request.
const BATCH_TIME: time::Duration = time::Duration::from_millis(500);
/// Shortest time between two checks of rows that wait for nothing else.
const MIN_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Factor by which the rate of a lease has to change for a log line.
const LOGGED_CHANGE: f64 = 1.5;

/// Applies answers, and sends the requests that are due.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    for (peer, number, answer) in std::mem::take(&mut world.tables.inbox.allowance_answers) {
        apply_answer(world, tick, &peer, number, answer);
    }
    if std::mem::take(&mut world.tables.dirty.allowance_check) {
        check_rows(world, tick);
    }
}

/// Returns the row of a workspace; creates it if it does not exist.
pub fn row<'a>(
    tables: &'a mut tables::Tables,
    workspace: &ids::WorkspaceName,
    terms: &allowances::Terms,
    now: core_time::Timestamp,
) -> &'a mut holder::Row {
    let allowances = &mut tables.allowances;
    if !allowances.holder.rows.contains_key(workspace) {
        let owner = allowances.lists.owner(workspace).cloned();
        let row = holder::Row::new(owner, terms.per_s, now);
        tables.timers.set_earlier(timers::Timer::AllowanceCheck, row.renew_at);
        allowances.holder.rows.insert(workspace.clone(), row);
    }
    allowances.holder.rows.entry(workspace.clone()).or_default()
}

/// Sends the requests that are due, removes idle rows, and sets the timer for the next check.
fn check_rows(world: &mut world::World, tick: &world::Tick) {
    let own = world.identity.instance.clone();
    for owner in due_owners(world, tick) {
        let request = build_request(world, tick, &owner);
        if owner == own {
            let answer = granting::answer(world, tick, &request);
            apply_answer(world, tick, &owner, request.number, Some(answer));
        } else if let Some(address) = world.tables.allowances.lists.address(&owner) {
            let address = address.to_owned();
            let request = Box::new(request);
            world.emit(output::Output::AskAllowances { peer: owner, address, request });
        } else {
            apply_answer(world, tick, &owner, request.number, None);
        }
    }
    let tables = &mut world.tables;
    tables.allowances.holder.rows.retain(|_, row| !row.is_spent(tick.now));
    let holder = &tables.allowances.holder;
    let next = holder.rows.values().filter_map(|row| {
        let is_asked = row.owner.as_ref().is_some_and(|owner| holder.asked.contains_key(owner));
        (!is_asked).then(|| row.check_at(tick.now))
    });
    if let Some(at) = next.min() {
        // A row whose owner is not known is checked again when the list of gateways changes.
        tables
            .timers
            .set(timers::Timer::AllowanceCheck, at.max(tick.now.after(MIN_CHECK_INTERVAL)));
    }
}

/// Returns the owners to which a request is due and none is under way.
fn due_owners(
    world: &mut world::World,
    tick: &world::Tick,
) -> collections::BTreeSet<ids::InstanceName> {
    let tables = &mut world.tables;
    let holder = &mut tables.allowances.holder;
    let mut owners = collections::BTreeSet::new();
    for row in holder.rows.values_mut() {
        row.retain_calls(|id| system::is_unsent(&tables.calls, *id));
        row.refresh(tick.now);
        let Some(owner) = row.owner.as_ref() else { continue };
        if row.is_due(tick.now, tick.now) && !holder.asked.contains_key(owner) {
            owners.insert(owner.clone());
        }
    }
    owners
}

/// Builds a request for all workspaces of `owner` that need one now or soon.
fn build_request(
    world: &mut world::World,
    tick: &world::Tick,
    owner: &ids::InstanceName,
) -> leases::Request {
    let holder = &mut world.tables.allowances.holder;
    holder.number += 1;
    let soon = tick.now.after(BATCH_TIME);
    let rows = holder.rows.iter_mut();
    let demands: Vec<leases::Demand> = rows
        .filter(|(_, row)| row.owner.as_ref() == Some(owner) && row.is_due(soon, tick.now))
        .map(|(workspace, row)| row.demand(workspace, owner, tick.now))
        .collect();
    let workspaces = demands.iter().map(|demand| demand.workspace.clone()).collect();
    let (number, sent_at) = (holder.number, tick.now);
    let asked = holder::Asked { number, sent_at, is_void: false, workspaces };
    holder.asked.insert(owner.clone(), asked);
    let instance = world.identity.instance.clone();
    leases::Request { holder: instance, boot: world.boot, number, demands }
}

/// Applies the answer of `peer` to the request with this number, and places the calls that wait for it.
fn apply_answer(
    world: &mut world::World,
    tick: &world::Tick,
    peer: &ids::InstanceName,
    number: u64,
    answer: Option<leases::Answer>,
) {
    let holder = &mut world.tables.allowances.holder;
    if holder.asked.get(peer).is_none_or(|asked| asked.number != number) {
        return;
    }
    let Some(asked) = holder.asked.remove(peer) else { return };
    world.tables.dirty.allowance_check = true;
    let grants = answer.map(|answer| answer.grants).unwrap_or_default();
    let grants: collections::BTreeMap<_, _> =
        grants.iter().map(|grant| (&grant.workspace, grant)).collect();
    for workspace in &asked.workspaces {
        match grants.get(workspace) {
            _ if asked.is_void => {}
            Some(grant) => apply_grant(world, tick, peer, grant, asked.sent_at),
            None => {
                let rows = &mut world.tables.allowances.holder.rows;
                rows.get_mut(workspace).into_iter().for_each(|row| row.record_silence(tick.now));
            }
        }
        let tables = &mut world.tables;
        let row = tables.allowances.holder.rows.get(workspace);
        tables.dirty.unplaced_calls.extend(row.into_iter().flat_map(|row| row.waiting.keys()));
    }
}

fn apply_grant(
    world: &mut world::World,
    tick: &world::Tick,
    owner: &ids::InstanceName,
    grant: &leases::Grant,
    sent_at: core_time::Timestamp,
) {
    let workspace = &grant.workspace;
    let Some(terms) = system::terms(world, workspace) else { return };
    let Some(row) = world.tables.allowances.holder.rows.get_mut(workspace) else { return };
    let before = row.rate(tick.now);
    row.apply(owner, grant, &terms, sent_at, tick.now);
    let rate = row.rate(tick.now);
    let (lower, higher) = (before.min(rate), before.max(rate));
    if higher > lower * LOGGED_CHANGE {
        let detail = format_args!(
            "workspace={workspace} rate={rate:.2} before={before:.2} total_per_s={:.2} owner={owner}",
            grant.total_per_s
        );
        world.emit_event("allowance_lease", detail);
    }
}
