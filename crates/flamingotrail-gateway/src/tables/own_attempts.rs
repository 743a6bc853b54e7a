//! What this gateway's running attempts need of one endpoint.

use std::collections;

use flamingotrail_core::time as core_time;

use crate::ids;

/// A prompt that the endpoint is probably reading.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    /// When the attempt was sent.
    pub sent_at: core_time::Timestamp,
    /// Number of tokens that the endpoint probably had not cached.
    pub tokens: u64,
}

/// Running attempts by call, with the memory and the reading that they need.
#[derive(Clone, Debug, Default)]
pub struct OwnAttempts {
    /// Tokens of the prompt and of the longest output, by call.
    rows: collections::BTreeMap<ids::CallId, u64>,
    /// Sum of all tokens.
    tokens: u64,
    /// Prompts of attempts whose response has not begun, in the order of their sending.
    reads: Vec<(ids::CallId, Read)>,
}

impl OwnAttempts {
    /// Adds an attempt that was sent, which needs memory for `tokens` tokens and begins with
    /// `read`.
    pub fn insert(&mut self, call: ids::CallId, tokens: u64, read: Read) {
        self.remove(call);
        self.rows.insert(call, tokens);
        self.reads.push((call, read));
        self.tokens = self.tokens.saturating_add(tokens);
    }

    /// Records that the response to an attempt has begun, so that its prompt was read.
    pub fn finish_read(&mut self, call: ids::CallId) {
        self.reads.retain(|(reading, _)| *reading != call);
    }

    /// Returns the prompts that the endpoint is probably reading, in the order of their sending.
    pub fn reads(&self) -> impl Iterator<Item = &Read> {
        self.reads.iter().map(|(_, read)| read)
    }

    /// Removes an attempt that has ended. Returns whether it was there: the endpoint may have been
    /// started again since the attempt was sent.
    pub fn remove(&mut self, call: ids::CallId) -> bool {
        self.finish_read(call);
        let Some(tokens) = self.rows.remove(&call) else { return false };
        self.tokens = self.tokens.saturating_sub(tokens);
        true
    }

    /// Returns the number of tokens that the attempts need in the endpoint's memory.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}
