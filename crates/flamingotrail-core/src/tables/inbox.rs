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
    pub callers: Vec<input::CallerRequest>,
    /// Requests whose caller went away.
    pub gone: Vec<ids::RequestId>,
    /// Texts that callers have.
    pub delivered: Vec<(ids::RequestId, String)>,
    /// Acceptances, with their sender, sending and partition.
    pub accepted: Vec<(ids::InstanceName, ids::RequestId, u32, ids::Partition)>,
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
    pub ended: Vec<(ids::InstanceName, ids::AttemptId, work::AttemptOutcome, messages::Load)>,
    /// Attempts to stop.
    pub aborts: Vec<ids::AttemptId>,
    /// Attempts that ended on the own endpoint.
    pub own_ended: Vec<(ids::AttemptId, work::AttemptOutcome)>,
    /// Texts of lost attempts.
    pub partials: Vec<(ids::AttemptId, String)>,
    /// Holds to let go of.
    pub releases: Vec<ids::HoldId>,
    /// Orders that ended.
    pub orders: Vec<(ids::HoldId, bool)>,
    /// Reports of the own endpoint.
    pub reports: Vec<Option<input::EndpointReport>>,
    /// Lists of instances.
    pub lists: Vec<Option<Vec<input::ListedInstance>>>,
    /// Connections that failed.
    pub lost: Vec<ids::InstanceName>,
    /// Probes and their answers and words of leaving, with their sender.
    pub probes: Vec<(ids::InstanceName, messages::Message)>,
    /// Hand-overs, with their partition.
    pub hand_overs: Vec<ids::Partition>,
    /// Configurations asked for and offered, with their sender.
    pub configs: Vec<(ids::InstanceName, messages::Message)>,
    /// Notices on suspects.
    pub notices: Vec<journal::SuspectNotice>,
    /// Appends that ended.
    pub appended: Vec<(ids::StreamName, ids::Nonce, input::AppendResult)>,
    /// Reads that ended.
    pub reads: Vec<(ids::StreamName, Option<input::StreamPage>)>,
    /// Rows that are due.
    pub due: collections::BTreeSet<super::timers::Timer>,
    /// Whether to stop.
    pub drain: bool,
}

impl Inbox {
    /// Whether nothing is left for a system that ran before the input came: a message of this
    /// process to itself, say.
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
            && self.gone.is_empty()
            && self.delivered.is_empty()
            && self.accepted.is_empty()
            && self.redirects.is_empty()
            && self.replies.is_empty()
            && self.submits.is_empty()
            && self.cancels.is_empty()
            && self.dispatches.is_empty()
            && self.ended.is_empty()
            && self.aborts.is_empty()
            && self.own_ended.is_empty()
            && self.partials.is_empty()
            && self.releases.is_empty()
            && self.orders.is_empty()
            && self.reports.is_empty()
            && self.lists.is_empty()
            && self.lost.is_empty()
            && self.probes.is_empty()
            && self.hand_overs.is_empty()
            && self.configs.is_empty()
            && self.notices.is_empty()
            && self.appended.is_empty()
            && self.reads.is_empty()
    }
}
