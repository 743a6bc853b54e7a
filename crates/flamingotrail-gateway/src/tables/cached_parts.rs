//! Prompt parts that an endpoint probably has cached, in the order of their last use.

use std::collections;

use crate::input;

/// Maximum number of parts that are remembered for each endpoint.
const MAX_PARTS: usize = 4096;

/// A remembered part.
#[derive(Clone, Copy, Debug)]
struct Part {
    tokens: u64,
    /// Sequence number of its last use.
    used: u64,
}

/// The parts of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct CachedParts {
    rows: collections::BTreeMap<u64, Part>,
    /// Index of the parts by their last use.
    by_use: collections::BTreeMap<u64, u64>,
    /// Sequence number of the next use.
    next_use: u64,
    /// Number of tokens of all parts.
    tokens: u64,
}

impl CachedParts {
    /// Records that the endpoint processes `prompt`, and forgets the least recently used parts beyond
    /// `max_tokens`; the parts of `prompt` itself are kept.
    pub fn record(&mut self, prompt: &[input::PromptPart], max_tokens: Option<u64>) {
        let first_use = self.next_use;
        // A part is of use only together with those before it, so the first ones are forgotten last.
        for part in prompt.iter().rev() {
            self.touch(part);
        }
        while self.exceeds(max_tokens) && self.forget_oldest(first_use) {}
    }

    /// Returns the number of tokens at the start of `prompt` that are probably cached.
    pub fn tokens_at_start(&self, prompt: &[input::PromptPart]) -> u64 {
        let known = prompt.iter().take_while(|part| self.rows.contains_key(&part.id));
        known.map(|part| part.tokens).sum()
    }

    /// Returns the number of tokens of all parts.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    fn touch(&mut self, part: &input::PromptPart) {
        let row = Part { tokens: part.tokens, used: self.next_use };
        self.next_use += 1;
        if let Some(before) = self.rows.insert(part.id, row) {
            self.by_use.remove(&before.used);
            self.tokens = self.tokens.saturating_sub(before.tokens);
        }
        self.by_use.insert(row.used, part.id);
        self.tokens = self.tokens.saturating_add(row.tokens);
    }

    fn exceeds(&self, max_tokens: Option<u64>) -> bool {
        self.rows.len() > MAX_PARTS || max_tokens.is_some_and(|max| self.tokens > max)
    }

    /// Forgets the least recently used part, unless it was used at or after `first_use`. Returns
    /// whether it did.
    fn forget_oldest(&mut self, first_use: u64) -> bool {
        let Some(oldest) = self.by_use.first_entry().filter(|entry| *entry.key() < first_use)
        else {
            return false;
        };
        let id = oldest.remove();
        if let Some(part) = self.rows.remove(&id) {
            self.tokens = self.tokens.saturating_sub(part.tokens);
        }
        true
    }
}
