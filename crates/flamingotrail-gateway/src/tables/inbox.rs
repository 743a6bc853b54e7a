//! Inputs sorted by the system that takes them.

use crate::ids;
use crate::input;
use crate::journal;

/// Inputs that wait for their system within a tick.
#[derive(Debug, Default)]
pub struct Inbox {
    /// Requests.
    pub arrivals: Vec<input::Arrival>,
    /// Callers that left.
    pub disconnected: Vec<ids::CallId>,
    /// Outcomes of attempts.
    pub outcomes: Vec<(ids::CallId, u32, input::Outcome)>,
    /// Calls whose answer is out.
    pub delivered: Vec<ids::CallId>,
    /// Results of appends.
    pub append_results: Vec<(ids::Partition, Result<ids::Offset, input::LogError>)>,
    /// Results of reads.
    pub read_results: Vec<(ids::Partition, Result<input::Page, input::LogError>)>,
    /// Records that other gateways entrust.
    pub relay_requests: Vec<(u64, journal::Record)>,
    /// Answers of gateways to which records were entrusted.
    pub relay_answers: Vec<(ids::InstanceName, journal::Key, Option<input::RelayAnswer>)>,
    /// Turns that other gateways look for.
    pub lookup_requests: Vec<(u64, ids::TurnId)>,
    /// Answers of gateways that were asked for turns.
    pub lookup_answers: Vec<(ids::CallId, ids::InstanceName, Option<input::LookupAnswer>)>,
    /// Configurations.
    pub configurations: Vec<input::Configuration>,
    /// Readings of the list; none where one failed.
    pub memberships: Vec<Option<input::Membership>>,
}

impl Inbox {
    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
            && self.disconnected.is_empty()
            && self.outcomes.is_empty()
            && self.delivered.is_empty()
            && self.append_results.is_empty()
            && self.read_results.is_empty()
            && self.relay_requests.is_empty()
            && self.relay_answers.is_empty()
            && self.lookup_requests.is_empty()
            && self.lookup_answers.is_empty()
            && self.configurations.is_empty()
            && self.memberships.is_empty()
    }
}
