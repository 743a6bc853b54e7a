//! Messages that are resent until the receiver acknowledges them.

use std::collections;

use crate::ids;
use crate::messages;
use crate::time;

/// Unacknowledged messages by number.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Messages.
    pub rows: collections::BTreeMap<u64, PendingMessage>,
    /// Last message number assigned.
    pub last_number: u64,
}

/// An unacknowledged message.
#[derive(Clone, Debug)]
pub struct PendingMessage {
    /// The receiver.
    pub to: ids::InstanceName,
    /// The message in its envelope.
    pub envelope: messages::Envelope,
    /// When resending stops.
    pub expires_at: time::Timestamp,
    /// Number of times it was resent.
    pub resend_count: u32,
}
