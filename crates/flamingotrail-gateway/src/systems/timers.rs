//! Marks the rows whose timers have expired, for the systems that handle them.

use crate::tables::timers;
use crate::world;

/// Handles all expired timers.
pub fn run(world: &mut world::World, tick: &world::Tick) {
    while let Some(timer) = world.tables.timers.pop_due(tick.now) {
        let dirty = &mut world.tables.dirty;
        match timer {
            timers::Timer::CallDeadline(call) => {
                dirty.overdue_calls.insert(call);
            }
            timers::Timer::CallRetry(call) => {
                dirty.unplaced_calls.insert(call);
                dirty.calls.insert(call);
            }
            timers::Timer::AttemptSlow(call, attempt) => {
                dirty.slow_attempts.insert((call, attempt));
            }
            timers::Timer::RelayRetry(key) => {
                dirty.unrelayed_records.insert(key);
            }
            timers::Timer::PeerRequestTimeout(ticket) => {
                dirty.timed_out_peer_requests.insert(ticket);
            }
            timers::Timer::PartitionRetry(partition) => {
                dirty.partitions.insert(partition);
            }
            timers::Timer::Settlement(program) => {
                dirty.unsettled_programs.insert(program);
            }
            timers::Timer::AppendRate => dirty.append_rate = true,
            timers::Timer::Expiry => dirty.expiry = true,
            timers::Timer::LapsedEndpoints => dirty.lapsed_endpoints = true,
            timers::Timer::LeavingChecks => dirty.leaving_checks = true,
            timers::Timer::TellNotices => dirty.untold_notices = true,
            timers::Timer::PublishCrashes => dirty.unpublished_crashes = true,
            timers::Timer::UnknownCallers => dirty.unknown_callers = true,
            timers::Timer::PeerProbes => dirty.peer_probes = true,
            timers::Timer::AllowanceCheck => dirty.allowance_check = true,
            timers::Timer::AllowanceHeartbeat => dirty.allowance_heartbeat = true,
            timers::Timer::Drain => dirty.drain = true,
        }
    }
}
