//! Inputs, queued by the system that processes them.

use std::collections;

use crate::ids;
use crate::input;
use crate::journal;
use crate::messages;
use crate::work;

/// One queue for each kind of input.
#[derive(Debug, Default)]
pub struct Inbox {
    /// New requests from callers.
    pub caller_requests: Vec<input::CallerRequest>,
    /// Requests whose caller disconnected.
    pub disconnected_callers: Vec<ids::RequestId>,
    /// Response text that callers have received so far, by request.
    pub delivered_texts: Vec<(ids::RequestId, String)>,
    /// Accepted submissions: sender, request, hop and partition.
    pub acceptances: Vec<(ids::InstanceName, ids::RequestId, u32, ids::Partition)>,
    /// Redirected submissions: sender, request, hop and the owner that the sender named.
    pub redirects: Vec<(ids::InstanceName, ids::RequestId, u32, Option<ids::InstanceName>)>,
    /// Replies, with their sender.
    pub replies: Vec<(ids::InstanceName, messages::Reply)>,
    /// Submitted calls, with their sender.
    pub submits: Vec<(ids::InstanceName, Box<messages::Submit>)>,
    /// Cancelled requests.
    pub cancels: Vec<ids::RequestId>,
    /// Dispatched attempts, with their sender.
    pub dispatches: Vec<(ids::InstanceName, Box<messages::Dispatch>)>,
    /// Outcomes of attempts on other instances, with their sender and its load.
    pub remote_attempt_outcomes:
        Vec<(ids::InstanceName, ids::AttemptId, work::AttemptOutcome, messages::Load)>,
    /// Attempts to abort.
    pub aborts: Vec<ids::AttemptId>,
    /// Outcomes of attempts on the local endpoint.
    pub local_attempt_outcomes: Vec<(ids::AttemptId, work::AttemptOutcome)>,
    /// Text that lost attempts had produced so far.
    pub partial_texts: Vec<(ids::AttemptId, String)>,
    /// Holds to release.
    pub releases: Vec<ids::HoldId>,
    /// Completed release commands, and whether the endpoint confirmed them.
    pub release_results: Vec<(ids::HoldId, bool)>,
    /// Reports of the local endpoint; `None` where it did not respond.
    pub endpoint_reports: Vec<Option<input::EndpointReport>>,
    /// Instance lists of the platform; `None` where it did not respond.
    pub instance_lists: Vec<Option<Vec<input::ListedInstance>>>,
    /// Instances to which a connection failed.
    pub lost_connections: Vec<ids::InstanceName>,
    /// Ping, pong and leaving messages, with their sender.
    pub probe_messages: Vec<(ids::InstanceName, messages::Message)>,
    /// Partitions that this instance is asked to take over.
    pub handovers: Vec<ids::Partition>,
    /// Configuration requests and offers, with their sender.
    pub config_messages: Vec<(ids::InstanceName, messages::Message)>,
    /// Verdicts on suspected content, from peers.
    pub suspect_notices: Vec<journal::SuspectNotice>,
    /// Results of appends.
    pub append_results: Vec<(ids::StreamName, ids::Nonce, input::AppendResult)>,
    /// Results of reads; `None` where the log did not respond.
    pub read_results: Vec<(ids::StreamName, Option<input::StreamPage>)>,
    /// Due timers that a system has not processed yet.
    pub due_timers: collections::BTreeSet<super::timers::Timer>,
    /// Whether a graceful shutdown was requested.
    pub drain_requested: bool,
}

impl Inbox {
    /// Returns whether all queues are empty; due timers and the drain request don't count. A queue
    /// can fill after its system has run in this pass, for example with a message that the instance
    /// sends to itself.
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
            && self.remote_attempt_outcomes.is_empty()
            && self.aborts.is_empty()
            && self.local_attempt_outcomes.is_empty()
            && self.partial_texts.is_empty()
            && self.releases.is_empty()
            && self.release_results.is_empty()
            && self.endpoint_reports.is_empty()
            && self.instance_lists.is_empty()
            && self.lost_connections.is_empty()
            && self.probe_messages.is_empty()
            && self.handovers.is_empty()
            && self.config_messages.is_empty()
            && self.suspect_notices.is_empty()
            && self.append_results.is_empty()
            && self.read_results.is_empty()
    }
}
