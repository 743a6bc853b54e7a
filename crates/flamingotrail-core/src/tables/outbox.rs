//! Messages that are sent again until the receiver confirms them.

use std::collections;

use crate::ids;
use crate::messages;
use crate::time;

/// Unconfirmed messages by number.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Rows.
    pub rows: collections::BTreeMap<u64, PendingMessage>,
    /// Last number given.
    pub last_number: u64,
}

/// One unconfirmed message.
#[derive(Clone, Debug)]
pub struct PendingMessage {
    /// The receiver.
    pub to: ids::InstanceName,
    /// The message in its envelope.
    pub envelope: messages::Envelope,
    /// Given up at this time.
    pub expires_at: time::Timestamp,
    /// Sendings so far.
    pub send_count: u32,
}
