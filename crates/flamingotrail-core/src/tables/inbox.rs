//! Inputs sorted by the system that takes them.

use std::collections;

use crate::ids;
use crate::input;
use crate::journal;
use crate::messages;
use crate::work;

/// One queue for each kind of input.
#[derive(Debug, Default)]
pub struct Inbox {
    /// Callers' requests.
    pub caller_requests: Vec<input::CallerRequest>,
    /// Requests whose caller went away.
    pub disconnected_callers: Vec<ids::RequestId>,
    /// Texts that callers have.
    pub delivered_texts: Vec<(ids::RequestId, String)>,
    /// Acceptances, with their sender, sending and partition.
    pub acceptances: Vec<(ids::InstanceName, ids::RequestId, u32, ids::Partition)>,
    /// Redirects, with their sender, sending and the owner told.
    pub redirects: Vec<(ids::InstanceName, ids::RequestId, u32, Option<ids::InstanceName>)>,
    /// Replies, with their sender.
    pub replies: Vec<(ids::InstanceName, messages::Reply)>,
    /// Calls sent in, with their sender.
    pub submits: Vec<(ids::InstanceName, Box<messages::Submit>)>,
    /// Cancelled requests.
    pub cancels: Vec<ids::RequestId>,
    /// Attempts sent in, with their sender.
    pub dispatches: Vec<(ids::InstanceName, Box<messages::Dispatch>)>,
    /// Attempts that ended elsewhere, with their sender.
    pub remote_attempt_ends:
        Vec<(ids::InstanceName, ids::AttemptId, work::AttemptEnd, messages::Load)>,
    /// Attempts to stop.
    pub aborts: Vec<ids::AttemptId>,
    /// Attempts that ended on the own endpoint.
    pub local_attempt_ends: Vec<(ids::AttemptId, work::AttemptEnd)>,
    /// Texts of lost attempts.
    pub partial_texts: Vec<(ids::AttemptId, String)>,
    /// Holds to let go of.
    pub releases: Vec<ids::HoldId>,
    /// Orders that ended.
    pub release_results: Vec<(ids::HoldId, bool)>,
    /// Reports of the own endpoint.
    pub endpoint_reports: Vec<Option<input::EndpointReport>>,
    /// Lists of instances.
    pub instance_lists: Vec<Option<Vec<input::Listed>>>,
    /// Connections that failed.
    pub lost_connections: Vec<ids::InstanceName>,
    /// Probes and their answers and words of leaving, with their sender.
    pub probe_messages: Vec<(ids::InstanceName, messages::Message)>,
    /// Hand-overs, with their partition.
    pub hand_overs: Vec<ids::Partition>,
    /// Configurations asked for and offered, with their sender.
    pub config_messages: Vec<(ids::InstanceName, messages::Message)>,
    /// Notices on suspects.
    pub suspect_notices: Vec<journal::SuspectNotice>,
    /// Appends that ended.
    pub append_results: Vec<(ids::StreamName, ids::Nonce, input::AppendResult)>,
    /// Reads that ended.
    pub read_results: Vec<(ids::StreamName, Option<input::Page>)>,
    /// Rows that are due.
    pub due_timers: collections::BTreeSet<super::timers::Timer>,
    /// Whether to stop.
    pub drain_requested: bool,
}

impl Inbox {
    /// Whether nothing is left for a system that ran before the input came: a message of this
    /// process to itself, say.
    pub fn is_empty(&self) -> bool {
        self.caller_requests.is_empty()
            && self.disconnected_callers.is_empty()
            && self.delivered_texts.is_empty()
            && self.acceptances.is_empty()
            && self.redirects.is_empty()
            && self.replies.is_empty()
            && self.submits.is_empty()
            && self.cancels.is_empty()
            && self.dispatches.is_empty()
            && self.remote_attempt_ends.is_empty()
            && self.aborts.is_empty()
            && self.local_attempt_ends.is_empty()
            && self.partial_texts.is_empty()
            && self.releases.is_empty()
            && self.release_results.is_empty()
            && self.endpoint_reports.is_empty()
            && self.instance_lists.is_empty()
            && self.lost_connections.is_empty()
            && self.probe_messages.is_empty()
            && self.hand_overs.is_empty()
            && self.config_messages.is_empty()
            && self.suspect_notices.is_empty()
            && self.append_results.is_empty()
            && self.read_results.is_empty()
    }
}
