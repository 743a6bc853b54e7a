//! The tables of a gateway: rows of plain data, keyed by typed ids.

use flamingotrail_core::tables::timers as core_timers;
use flamingotrail_core::time;

use crate::ids;

pub mod affinities;
pub mod allowances;
pub mod append_rate;
pub mod cached_parts;
pub mod calls;
pub mod crashes;
pub mod dirty;
pub mod endpoints;
pub mod inbox;
pub mod limits;
pub mod log_index;
pub mod lookups;
pub mod notices;
pub mod own_attempts;
pub mod partitions;
pub mod peers;
pub mod priority_classes;
pub mod programs;
pub mod relay;
pub mod returns;
pub mod routes;
pub mod service_profiles;
pub mod shares;
pub mod slot_times;
pub mod slowdowns;
pub mod timers;
pub mod turns;
pub mod unknown_callers;
pub mod ways;

/// All tables of one gateway.
#[derive(Debug, Default)]
pub struct Tables {
    /// Active configuration of routes and services.
    pub routes: routes::Routes,
    /// Endpoints of all services.
    pub endpoints: endpoints::Endpoints,
    /// Measured performance of each service's endpoints.
    pub profiles: service_profiles::ServiceProfiles,
    /// How long calls occupy a slot of each service's endpoints.
    pub slot_times: slot_times::SlotTimes,
    /// Measured round-trip times to failure domains.
    pub ways: ways::Ways,
    /// What endpoints announce of themselves.
    pub notices: notices::Notices,
    /// Requests that endpoints did not survive.
    pub crashes: crashes::Crashes,
    /// Refusals of callers whose workspace is not known.
    pub unknown_callers: unknown_callers::UnknownCallers,
    /// Engine time that workspaces have used lately.
    pub shares: shares::Shares,
    /// When callers are asked to return.
    pub returns: returns::Returns,
    /// Rate leases of workspaces.
    pub allowances: allowances::Allowances,
    /// Active calls.
    pub calls: calls::Calls,
    /// Budgets of programs.
    pub programs: programs::Programs,
    /// Completed turns that are stored in the log.
    pub turns: turns::Turns,
    /// Offsets of the log's records that were read.
    pub log_index: log_index::LogIndex,
    /// Other gateways.
    pub peers: peers::Peers,
    /// This gateway's look-ups at other gateways.
    pub lookups: lookups::Lookups,
    /// Records and lookups that are relayed between gateways.
    pub relay: relay::Relay,
    /// Partitions of the log.
    pub partitions: partitions::Partitions,
    /// Rate limiter of this gateway's appends.
    pub append_rate: append_rate::AppendRateLimiter,
    /// Timers of all systems.
    pub timers: core_timers::Timers<timers::Timer>,
    /// Rows that a system has to process.
    pub dirty: dirty::Dirty,
    /// Inputs by the system that processes them.
    pub inbox: inbox::Inbox,
}

impl Tables {
    /// Returns the row of `program` and marks it as used at `now`; creates it if it does not exist.
    pub fn touch_program(
        &mut self,
        program: &ids::ProgramId,
        now: time::Timestamp,
    ) -> &mut programs::Program {
        self.programs.touch(program, &self.log_index, now)
    }

    /// Whether a record or a request of `program` was processed here.
    pub fn knows_program(&self, program: &ids::ProgramId, now: time::Timestamp) -> bool {
        self.programs.rows.contains_key(program)
            || self.log_index.program_offset(program, now).is_some()
    }
}
