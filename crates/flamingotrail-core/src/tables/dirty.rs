//! Rows that changed and that systems still have to process, so that the work of a tick follows the
//! number of changes, not the number of stored rows.

use std::collections;

use crate::ids;

/// One set for each consuming system.
#[derive(Debug, Default)]
pub struct Dirty {
    /// Requests to send, at an entry instance.
    pub requests_to_send: collections::BTreeSet<ids::RequestId>,
    /// Partitions whose ownership or journal may be able to advance.
    pub partitions: collections::BTreeSet<ids::Partition>,
    /// Conversations whose next call may be ready to start.
    pub conversations: collections::BTreeSet<ids::ConversationId>,
    /// Calls that may reserve their cost.
    pub calls_to_reserve: collections::BTreeSet<ids::CallKey>,
    /// Calls whose intent has to be journaled.
    pub calls_to_log_intent: collections::BTreeSet<ids::CallKey>,
    /// Calls to place on an endpoint.
    pub calls_to_place: collections::BTreeSet<ids::CallKey>,
    /// Calls whose attempt was lost.
    pub lost_calls: collections::BTreeSet<ids::CallKey>,
    /// Calls past their deadline.
    pub expired_calls: collections::BTreeSet<ids::CallKey>,
    /// Calls whose reply may be due because the journal advanced.
    pub calls_to_complete: collections::BTreeSet<ids::CallKey>,
    /// Whether the local endpoint's queue may be able to start an attempt.
    pub queue: bool,
    /// Holds to release.
    pub holds_to_release: collections::BTreeSet<ids::HoldId>,
    /// Whether a shutdown may be able to advance.
    pub drain: bool,
}

impl Dirty {
    /// Returns whether no system has a changed row left to process.
    pub fn is_empty(&self) -> bool {
        self.requests_to_send.is_empty()
            && self.partitions.is_empty()
            && self.conversations.is_empty()
            && self.calls_to_reserve.is_empty()
            && self.calls_to_log_intent.is_empty()
            && self.calls_to_place.is_empty()
            && self.lost_calls.is_empty()
            && self.expired_calls.is_empty()
            && self.calls_to_complete.is_empty()
            && !self.queue
            && self.holds_to_release.is_empty()
            && !self.drain
    }
}
