//! Rows that systems still have to look at: work follows what changed, not what is stored.

use std::collections;

use crate::ids;

/// One set for each system that takes it.
#[derive(Debug, Default)]
pub struct Dirty {
    /// Entry requests to be sent.
    pub requests: collections::BTreeSet<ids::RequestId>,
    /// Partitions whose standing or journal may move on.
    pub partitions: collections::BTreeSet<ids::Partition>,
    /// Conversations in which a call may have become ready.
    pub conversations: collections::BTreeSet<ids::ConversationId>,
    /// Calls that may reserve.
    pub reserve: collections::BTreeSet<ids::CallKey>,
    /// Calls that may record their intent.
    pub intend: collections::BTreeSet<ids::CallKey>,
    /// Calls that may be placed.
    pub place: collections::BTreeSet<ids::CallKey>,
    /// Calls whose attempt was lost.
    pub lost: collections::BTreeSet<ids::CallKey>,
    /// Calls past their deadline.
    pub late: collections::BTreeSet<ids::CallKey>,
    /// Calls whose end may be told now that the journal moved on.
    pub finish: collections::BTreeSet<ids::CallKey>,
    /// Whether the own endpoint's queue may move on.
    pub queue: bool,
    /// Holds to be released.
    pub holds: collections::BTreeSet<ids::HoldId>,
    /// Whether a shutdown may move on.
    pub drain: bool,
}

impl Dirty {
    /// Whether nothing is left to look at.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
            && self.partitions.is_empty()
            && self.conversations.is_empty()
            && self.reserve.is_empty()
            && self.intend.is_empty()
            && self.place.is_empty()
            && self.lost.is_empty()
            && self.late.is_empty()
            && self.finish.is_empty()
            && !self.queue
            && self.holds.is_empty()
            && !self.drain
    }
}
