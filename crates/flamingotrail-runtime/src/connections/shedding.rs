//! Selects the connections that are closed to make room for others.
//!
//! The load that this answers is a crowd that holds memory or places without end: bodies that stop
//! just short of their end, heads that drip, responses that nobody reads, connections that say
//! nothing. What a connection costs is what it holds times how long it has held it, so an ordinary
//! request, which is small and complete within milliseconds, is never the first to go. Requests that
//! run are left alone: nobody can tell their callers that they have not. Only a client that sends much ahead
//! of a response may lose its connection meanwhile, which promises nothing.

use std::cmp;
use std::time;

use crate::connections::limits;
use crate::connections::table;

/// Part of a limit that is in use after connections were closed for it, in percent. Closing a little
/// more than needed spares a search for each of the next bytes.
const LOW_WATER_PERCENT: usize = 90;

/// Whether a connection may hold more of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may, and `closed` others are closed for it.
    Granted {
        /// Number of connections that were told to close.
        closed: u64,
    },
    /// It may as soon as connections that were told to close have dropped what they hold.
    Wait,
    /// It may not.
    Refused,
}

/// Lets connection `id` hold `bytes` of its request in all, and tells others to close if that is too
/// much.
pub fn hold_request(
    table: &mut table::Table,
    id: table::ConnectionId,
    bytes: usize,
    now: time::Instant,
) -> Decision {
    if table.rows.get(&id).is_none_or(|row| row.is_told_to_close()) {
        return Decision::Refused;
    }
    if !table.leaves_room_beside_running(bytes) {
        table.set_request_bytes(id, 0);
        return Decision::Refused;
    }
    let max = table.limits.request_bytes_beside(bytes);
    // An ordinary request is part of its connection's cost, and waits for nobody.
    let is_counted = bytes > limits::FREE_REQUEST_BYTES;
    if is_counted && table.is_dropping() && table.request_bytes_at_most() + bytes > max {
        return Decision::Wait;
    }
    table.set_request_bytes(id, bytes);
    if table.usage().request_bytes <= max {
        return Decision::Granted { closed: 0 };
    }
    let mut closed = 0;
    while table.usage().request_bytes > max / 100 * LOW_WATER_PERCENT {
        let costliest = costliest(table, |row| request_cost(row, now));
        match costliest {
            Some(other) if other != id => {
                table.tell_to_close(other);
                closed += 1;
            }
            // Nothing that can be closed costs more, so the memory is with running requests.
            _ if table.usage().request_bytes <= max => break,
            _ => {
                table.set_request_bytes(id, 0);
                return Decision::Refused;
            }
        }
    }
    Decision::Granted { closed }
}

/// Counts that the client of connection `id` has sent bytes ahead. Returns how many connections were told
/// to close for them, possibly this one.
pub fn hold_ahead(table: &mut table::Table, id: table::ConnectionId, now: time::Instant) -> u64 {
    let bytes = table.limits.ahead_bytes();
    let max = table.limits.request_bytes;
    if !table.begin_ahead(id, bytes, now) || table.usage().request_bytes <= max {
        return 0;
    }
    let mut closed = 0;
    while table.usage().request_bytes > max / 100 * LOW_WATER_PERCENT {
        let Some(other) = costliest(table, |row| request_cost(row, now)) else { break };
        table.tell_to_close(other);
        closed += 1;
    }
    closed
}

/// Lets connection `id` hold `bytes` more of its response. Returns how many connections were told to
/// close.
pub fn hold_response(
    table: &mut table::Table,
    id: table::ConnectionId,
    bytes: usize,
    now: time::Instant,
) -> u64 {
    table.add_response_bytes(id, bytes);
    let max = table.limits.response_bytes;
    if table.usage().response_bytes <= max {
        return 0;
    }
    let mut closed = 0;
    while table.usage().response_bytes > max / 100 * LOW_WATER_PERCENT {
        let Some(other) = costliest(table, |row| response_cost(row, now)) else { break };
        table.tell_to_close(other);
        closed += 1;
    }
    closed
}

/// Tells a connection of `listener` to close, so that a new one has a place. Returns how many were
/// told: 0 if all have running requests.
pub fn make_place(table: &mut table::Table, listener: limits::Listener, now: time::Instant) -> u64 {
    let Some(id) = costliest(table, |row| place_cost(row, listener, now)) else { return 0 };
    table.tell_to_close(id);
    1
}

fn costliest<C: Ord>(
    table: &table::Table,
    cost: impl Fn(&table::Row) -> Option<C>,
) -> Option<table::ConnectionId> {
    let rows = table.rows.iter().filter(|(_, row)| !row.is_told_to_close());
    let costs = rows.filter_map(|(id, row)| Some((cost(row)?, cmp::Reverse(*id))));
    costs.max().map(|(_, id)| id.0)
}

/// Byte-milliseconds of an unfinished request, or of what was sent ahead of a response.
fn request_cost(row: &table::Row, now: time::Instant) -> Option<u128> {
    let (bytes, since) = match row.phase {
        table::Phase::Receiving => (row.counted_request_bytes(), row.since),
        _ => (row.ahead_bytes, row.ahead_since),
    };
    (bytes > 0).then(|| bytes as u128 * (now.duration_since(since).as_millis() + 1))
}

/// Byte-milliseconds of a response, since its client last took some of it.
fn response_cost(row: &table::Row, now: time::Instant) -> Option<u128> {
    let bytes = row.response_bytes;
    (bytes > 0).then(|| bytes as u128 * (now.duration_since(row.taken_at).as_millis() + 1))
}

/// Cost of the place of a connection: those that close already go first, then those that have been
/// silent or incomplete for longest.
fn place_cost(
    row: &table::Row,
    listener: limits::Listener,
    now: time::Instant,
) -> Option<(bool, time::Duration)> {
    let is_running = row.phase == table::Phase::Running;
    let is_candidate = row.listener == listener && !row.is_surplus && !is_running;
    let age = now.duration_since(row.since);
    is_candidate.then_some((row.phase == table::Phase::Closing, age))
}
