//! Completed turns that are stored in the log: their inputs, outputs and the turns that they
//! continue.

use std::collections;
use std::iter;
use std::time as std_time;

use bytes::Bytes;
use flamingotrail_core::time;

use crate::ids;
use crate::journal;

/// A completed turn.
#[derive(Debug)]
pub struct Turn {
    /// Turn that this one continues.
    pub previous: Option<ids::TurnId>,
    /// Endpoint that ran the turn.
    pub endpoint: ids::EndpointId,
    /// Input that the turn adds to those that it continues.
    pub input: Bytes,
    /// Data of the turn's events.
    pub output: Bytes,
    /// Time until which the turn is kept.
    pub expires: time::Timestamp,
    /// Time from which the turn's record has to be written again if the turn is continued.
    pub rewrite_at: time::Timestamp,
    /// When the turn was last stored or continued, as a number that grows.
    last_used: u64,
}

impl Turn {
    /// Memory of the turn in bytes.
    fn size(&self) -> usize {
        ROW_BYTES + self.input.len() + self.output.len()
    }

    /// Returns the record of the turn, as new.
    pub fn to_record(&self, id: &ids::TurnId) -> journal::End {
        journal::End {
            turn: id.clone(),
            previous: self.previous.clone(),
            endpoint: self.endpoint.clone(),
            input: self.input.clone(),
            output: self.output.clone(),
            age: std_time::Duration::ZERO,
        }
    }
}

/// A long turn of which not all records were applied yet.
#[derive(Debug, Default)]
struct LongTurn {
    end: Option<journal::LongEnd>,
    parts: collections::BTreeMap<u32, Bytes>,
    expires: time::Timestamp,
}

impl LongTurn {
    /// Memory of the parts in bytes.
    fn bytes(&self) -> usize {
        self.parts.values().map(|part| ROW_BYTES + part.len()).sum()
    }

    /// Returns the record of the whole turn if all of its records were applied.
    fn join(&self) -> Option<journal::End> {
        let long = self.end.as_ref()?;
        let parts: Option<Vec<Bytes>> =
            (0..long.parts).map(|number| self.parts.get(&number).cloned()).collect();
        Some(long.join(&parts?))
    }
}

/// Memory of a turn beside its input and its output, in bytes.
const ROW_BYTES: usize = 360;

/// Table of completed turns.
#[derive(Debug, Default)]
pub struct Turns {
    /// Turns by id.
    pub rows: collections::BTreeMap<ids::TurnId, Turn>,
    /// Memory of all turns in bytes.
    pub bytes: usize,
    /// Turns by their last use, the oldest first.
    by_use: collections::BTreeMap<u64, ids::TurnId>,
    next_use: u64,
    /// Long turns that are incomplete, by id.
    incomplete: collections::BTreeMap<ids::TurnId, LongTurn>,
    /// Memory of their parts in bytes.
    incomplete_bytes: usize,
}

/// Maximum number of turns in a chain; turns with the same id can form a cycle.
const MAX_CHAIN_LENGTH: usize = 4096;

/// Why a chain of turns can't be returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChainError<'a> {
    /// This turn is not stored here.
    Missing(&'a ids::TurnId),
    /// The chain has too many turns.
    TooLong,
}

impl Turns {
    /// Stores a completed turn; it and the turns that it continues are kept at least until
    /// `expires`.
    pub fn insert(
        &mut self,
        end: &journal::End,
        expires: time::Timestamp,
        rewrite_at: time::Timestamp,
    ) {
        self.extend_expiry(end.previous.as_ref(), expires);
        if let Some(row) = self.rows.get_mut(&end.turn) {
            row.expires = row.expires.max(expires);
            row.rewrite_at = row.rewrite_at.max(rewrite_at);
            return;
        }
        let last_used = self.record_use(&end.turn);
        let row = Turn {
            previous: end.previous.clone(),
            endpoint: end.endpoint.clone(),
            input: end.input.clone(),
            output: end.output.clone(),
            expires,
            rewrite_at,
            last_used,
        };
        self.bytes += row.size();
        self.rows.insert(end.turn.clone(), row);
    }

    fn record_use(&mut self, turn: &ids::TurnId) -> u64 {
        let number = self.next_use;
        self.next_use += 1;
        self.by_use.insert(number, turn.clone());
        number
    }

    /// Removes the turns that were not used for longest until all together take no more than
    /// `max_bytes`, except those that are still `needed`. They can be read from the log again.
    /// Returns how many were removed.
    pub fn shrink(&mut self, max_bytes: usize, needed: impl Fn(&ids::TurnId) -> bool) -> usize {
        if self.bytes <= max_bytes {
            return 0;
        }
        let mut excess = self.bytes - max_bytes;
        let mut removed = Vec::new();
        for (number, turn) in self.by_use.iter().filter(|(_, turn)| !needed(turn)) {
            let Some(row) = self.rows.get(turn) else { continue };
            removed.push((*number, turn.clone()));
            excess = excess.saturating_sub(row.size());
            if excess == 0 {
                break;
            }
        }
        for (number, turn) in &removed {
            self.by_use.remove(number);
            if let Some(row) = self.rows.remove(turn) {
                self.bytes -= row.size();
            }
        }
        removed.len()
    }

    /// Adds a part of a long turn, which is kept until `expires`; returns the record of the whole turn
    /// if this was the last one that was missing.
    pub fn add_part(
        &mut self,
        part: &journal::Part,
        expires: time::Timestamp,
    ) -> Option<journal::End> {
        let long = self.incomplete.entry(part.turn.clone()).or_default();
        self.incomplete_bytes -= long.bytes();
        long.parts.insert(part.number, part.text.clone());
        self.incomplete_bytes += long.bytes();
        long.expires = expires;
        self.take_joined(&part.turn)
    }

    /// Adds the end of a long turn, which is kept until `expires`; returns the record of the whole
    /// turn if all of its parts are known.
    pub fn add_long_end(
        &mut self,
        end: &journal::LongEnd,
        expires: time::Timestamp,
    ) -> Option<journal::End> {
        let long = self.incomplete.entry(end.end.turn.clone()).or_default();
        long.end = Some(end.clone());
        long.expires = expires;
        self.take_joined(&end.end.turn)
    }

    fn take_joined(&mut self, turn: &ids::TurnId) -> Option<journal::End> {
        let long = self.incomplete.get(turn)?;
        let joined = long.join()?;
        self.incomplete_bytes -= long.bytes();
        self.incomplete.remove(turn);
        Some(joined)
    }

    /// Memory of the parts of long turns that are incomplete, in bytes.
    pub fn incomplete_bytes(&self) -> usize {
        self.incomplete_bytes
    }

    fn extend_expiry(&mut self, turn: Option<&ids::TurnId>, expires: time::Timestamp) {
        let mut next = turn.cloned();
        for _ in 0..MAX_CHAIN_LENGTH {
            let Some(id) = next else { return };
            let Some(last_used) = self.rows.get(&id).map(|row| row.last_used) else { return };
            self.by_use.remove(&last_used);
            let last_used = self.record_use(&id);
            let Some(row) = self.rows.get_mut(&id) else { return };
            row.last_used = last_used;
            row.expires = row.expires.max(expires);
            next = row.previous.clone();
        }
    }

    /// Returns the inputs and outputs of the chain that ends with `turn`, the oldest first.
    ///
    /// # Errors
    ///
    /// Fails if the chain is too long; or else if a turn of it is not stored here, with the newest
    /// such turn.
    pub fn chain<'a>(&'a self, turn: &'a ids::TurnId) -> Result<Vec<Bytes>, ChainError<'a>> {
        let mut texts = Vec::new();
        let mut next = Some(turn);
        while let Some(id) = next {
            if texts.len() == 2 * MAX_CHAIN_LENGTH {
                return Err(ChainError::TooLong);
            }
            let row = self.rows.get(id).ok_or(ChainError::Missing(id))?;
            texts.push(row.output.clone());
            texts.push(row.input.clone());
            next = row.previous.as_ref();
        }
        texts.reverse();
        Ok(texts)
    }

    /// Returns the stored turns of the chain that ends with `turn`, the newest first.
    pub fn stored_chain<'a>(
        &'a self,
        turn: &ids::TurnId,
    ) -> impl Iterator<Item = (&'a ids::TurnId, &'a Turn)> {
        let first = self.rows.get_key_value(turn);
        iter::successors(first, |(_, row)| self.rows.get_key_value(row.previous.as_ref()?))
            .take(MAX_CHAIN_LENGTH)
    }

    /// Returns the turns of the chain that ends with `turn` whose records have to be written again at
    /// `now`; they count as written until `rewrite_at`.
    pub fn take_old_records(
        &mut self,
        turn: &ids::TurnId,
        now: time::Timestamp,
        rewrite_at: time::Timestamp,
    ) -> Vec<journal::End> {
        let chain = self.stored_chain(turn);
        let old = chain.filter(|(_, row)| row.rewrite_at <= now);
        let records: Vec<journal::End> = old.map(|(id, row)| row.to_record(id)).collect();
        for record in &records {
            if let Some(row) = self.rows.get_mut(&record.turn) {
                row.rewrite_at = rewrite_at;
            }
        }
        records
    }

    /// Removes the turns that have expired by `now`.
    pub fn expire(&mut self, now: time::Timestamp) {
        for (_, long) in self.incomplete.extract_if(.., |_, long| long.expires <= now) {
            self.incomplete_bytes -= long.bytes();
        }
        for (_, row) in self.rows.extract_if(.., |_, row| row.expires <= now) {
            self.bytes -= row.size();
            self.by_use.remove(&row.last_used);
        }
    }
}
