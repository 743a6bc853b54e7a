//! Rows that systems still have to look at: work follows what changed, not what is stored.

use std::collections;

use crate::ids;

/// One set for each system that takes it.
#[derive(Debug, Default)]
pub struct Dirty {
    /// Entry requests to be sent.
    pub requests_to_send: collections::BTreeSet<ids::RequestId>,
    /// Partitions whose standing or journal may move on.
    pub partitions: collections::BTreeSet<ids::Partition>,
    /// Conversations in which a call may have become ready.
    pub conversations: collections::BTreeSet<ids::ConversationId>,
    /// Calls that may reserve.
    pub calls_to_reserve: collections::BTreeSet<ids::CallKey>,
    /// Calls that may record their intent.
    pub calls_to_log_intent: collections::BTreeSet<ids::CallKey>,
    /// Calls that may be placed.
    pub calls_to_place: collections::BTreeSet<ids::CallKey>,
    /// Calls whose attempt was lost.
    pub lost_calls: collections::BTreeSet<ids::CallKey>,
    /// Calls past their deadline.
    pub expired_calls: collections::BTreeSet<ids::CallKey>,
    /// Calls whose end may be told now that the journal moved on.
    pub calls_to_complete: collections::BTreeSet<ids::CallKey>,
    /// Whether the own endpoint's queue may move on.
    pub queue: bool,
    /// Holds to be released.
    pub holds_to_release: collections::BTreeSet<ids::HoldId>,
    /// Whether a shutdown may move on.
    pub drain: bool,
}

impl Dirty {
    /// Whether nothing is left to look at.
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
