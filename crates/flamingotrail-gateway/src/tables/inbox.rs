//! Inputs by the system that processes them.

use std::time;

use crate::ids;
use crate::input;
use crate::journal;
use crate::leases;

/// Inputs that wait for their system within a tick.
#[derive(Debug, Default)]
pub struct Inbox {
    /// Requests of callers.
    pub arrivals: Vec<input::Arrival>,
    /// Notices of endpoints, with the call and the attempt's sequence number within the call.
    pub notices: Vec<(ids::CallId, u32, input::Notice)>,
    /// Loads that endpoints reported when their responses began, with the call and the attempt's
    /// sequence number within the call.
    pub beginnings: Vec<(ids::CallId, u32, Option<input::Load>)>,
    /// New connections to endpoints, with the time that each took.
    pub connections: Vec<(ids::EndpointId, time::Duration)>,
    /// Other gateways' requests for announcements, by ticket.
    pub notice_requests: Vec<u64>,
    /// Results of health checks of endpoints.
    pub endpoint_checks: Vec<(ids::EndpointId, Option<input::Notice>)>,
    /// Notices that other gateways have told.
    pub peer_notices: Vec<input::PeerNotice>,
    /// Crashes of endpoints that other gateways have told, by message.
    pub peer_crashes: Vec<Vec<input::PeerCrash>>,
    /// Crashes that other gateways know, by response.
    pub known_crashes: Vec<Vec<input::PeerCrash>>,
    /// What gateways have saved of crashes.
    pub saved_crashes: Vec<Vec<input::CrashRecord>>,
    /// Whether this gateway's own record of crashes is stored, by attempt.
    pub crash_saves: Vec<bool>,
    /// Requests that endpoints have survived, as other gateways tell.
    pub survivals: Vec<ids::Fingerprint>,
    /// Other gateways' requests for crashes, by ticket.
    pub crash_requests: Vec<u64>,
    /// Calls whose caller has disconnected.
    pub disconnected: Vec<ids::CallId>,
    /// Outcomes of attempts, with the attempt's sequence number within the call.
    pub outcomes: Vec<(ids::CallId, u32, input::Outcome)>,
    /// Calls whose response was delivered.
    pub delivered: Vec<ids::CallId>,
    /// Results of appends.
    pub append_results: Vec<(ids::Partition, Result<ids::Offset, input::LogError>)>,
    /// Results of reads.
    pub read_results: Vec<(ids::Partition, Result<input::Page, input::LogError>)>,
    /// Results of probes of other gateways: whether they responded.
    pub probe_results: Vec<(ids::InstanceName, bool)>,
    /// Other gateways' requests for leases and units, by ticket.
    pub allowance_requests: Vec<(u64, leases::Request)>,
    /// Owners' answers to this gateway's requests, by number; `None` if there was none.
    pub allowance_answers: Vec<(ids::InstanceName, u64, Option<leases::Answer>)>,
    /// Questions of other gateways what this one holds, by ticket.
    pub holdings_requests: Vec<(u64, ids::InstanceName, leases::Question)>,
    /// What other gateways hold.
    pub holdings_reports: Vec<(ids::InstanceName, leases::Report)>,
    /// Other gateways' requests to append records, by ticket.
    pub relay_requests: Vec<(u64, journal::Record)>,
    /// Results of this gateway's requests to append records; `None` if there was no response.
    pub relay_results: Vec<(ids::InstanceName, journal::Key, Option<input::RelayResponse>)>,
    /// Other gateways' requests to look up turns, by ticket.
    pub lookup_requests: Vec<(u64, ids::TurnId)>,
    /// Results of this gateway's requests to look up turns; `None` if there was no response.
    pub lookup_results: Vec<(ids::CallId, ids::InstanceName, Option<input::LookupResponse>)>,
    /// Published configurations.
    pub configurations: Vec<input::Configuration>,
    /// Snapshots of the endpoint list; `None` for a read that failed.
    pub memberships: Vec<Option<input::Membership>>,
}

impl Inbox {
    /// Whether no input waits.
    pub fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
            && self.notices.is_empty()
            && self.beginnings.is_empty()
            && self.connections.is_empty()
            && self.notice_requests.is_empty()
            && self.endpoint_checks.is_empty()
            && self.peer_notices.is_empty()
            && self.peer_crashes.is_empty()
            && self.known_crashes.is_empty()
            && self.saved_crashes.is_empty()
            && self.crash_saves.is_empty()
            && self.survivals.is_empty()
            && self.crash_requests.is_empty()
            && self.disconnected.is_empty()
            && self.outcomes.is_empty()
            && self.delivered.is_empty()
            && self.append_results.is_empty()
            && self.read_results.is_empty()
            && self.probe_results.is_empty()
            && self.allowance_requests.is_empty()
            && self.allowance_answers.is_empty()
            && self.holdings_requests.is_empty()
            && self.holdings_reports.is_empty()
            && self.relay_requests.is_empty()
            && self.relay_results.is_empty()
            && self.lookup_requests.is_empty()
            && self.lookup_results.is_empty()
            && self.configurations.is_empty()
            && self.memberships.is_empty()
    }
}
