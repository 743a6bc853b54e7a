//! Turns that count: their inputs, outputs and the turns that they continue.

use std::collections;

use bytes::Bytes;
use flamingotrail_core::time;

use crate::ids;
use crate::journal;

/// One turn.
#[derive(Debug)]
pub struct Turn {
    /// The turn that it continues.
    pub previous: Option<ids::TurnId>,
    /// Endpoint that ran it.
    pub endpoint: ids::EndpointId,
    /// New input.
    pub input: Bytes,
    /// Data of its events.
    pub output: Bytes,
    /// Kept at least until then.
    pub expires: time::Timestamp,
}

/// All turns.
#[derive(Debug, Default)]
pub struct Turns {
    /// The rows.
    pub rows: collections::BTreeMap<ids::TurnId, Turn>,
    /// Bytes of all inputs and outputs.
    pub bytes: usize,
}

/// A chain is longer than this only where turns name each other in a circle.
const MAX_CHAIN: usize = 4096;

impl Turns {
    /// Takes an ended turn; it and its chain are kept until `expires` at least.
    pub fn insert(&mut self, end: &journal::End, expires: time::Timestamp) {
        self.extend_expiry(end.previous.as_ref(), expires);
        if let Some(row) = self.rows.get_mut(&end.turn) {
            row.expires = row.expires.max(expires);
            return;
        }
        self.bytes += end.input.len() + end.output.len();
        let row = Turn {
            previous: end.previous.clone(),
            endpoint: end.endpoint.clone(),
            input: end.input.clone(),
            output: end.output.clone(),
            expires,
        };
        self.rows.insert(end.turn.clone(), row);
    }

    fn extend_expiry(&mut self, turn: Option<&ids::TurnId>, expires: time::Timestamp) {
        let mut next = turn.cloned();
        for _ in 0..MAX_CHAIN {
            let Some(row) = next.as_ref().and_then(|id| self.rows.get_mut(id)) else { return };
            row.expires = row.expires.max(expires);
            next = row.previous.clone();
        }
    }

    /// The texts of the chain that ends with `turn`, oldest first.
    ///
    /// # Errors
    ///
    /// The first turn, from the end, that is not here.
    pub fn chain<'a>(&'a self, turn: &'a ids::TurnId) -> Result<Vec<Bytes>, &'a ids::TurnId> {
        let mut texts = Vec::new();
        let mut next = Some(turn);
        while let Some(id) = next {
            let row = self.rows.get(id).filter(|_| texts.len() < MAX_CHAIN).ok_or(id)?;
            texts.push(row.output.clone());
            texts.push(row.input.clone());
            next = row.previous.as_ref();
        }
        texts.reverse();
        Ok(texts)
    }

    /// The first turn of the chain that ends with `turn`, from its end, that is not here.
    pub fn first_missing<'a>(&'a self, turn: &'a ids::TurnId) -> Option<&'a ids::TurnId> {
        self.chain(turn).err()
    }

    /// The records of the chain that ends with `turn`, that one first.
    pub fn chain_records(&self, turn: &ids::TurnId) -> Vec<journal::End> {
        let mut ends: Vec<journal::End> = Vec::new();
        let mut next = Some(turn.clone());
        while let Some((id, row)) = next.and_then(|id| self.rows.get_key_value(&id)) {
            if ends.len() == MAX_CHAIN {
                break;
            }
            next = row.previous.clone();
            ends.push(journal::End {
                turn: id.clone(),
                previous: row.previous.clone(),
                endpoint: row.endpoint.clone(),
                input: row.input.clone(),
                output: row.output.clone(),
            });
        }
        ends
    }

    /// Drops what expired before `now`.
    pub fn expire(&mut self, now: time::Timestamp) {
        let bytes = &mut self.bytes;
        self.rows.retain(|_, row| {
            let keep = row.expires > now;
            if !keep {
                *bytes -= row.input.len() + row.output.len();
            }
            keep
        });
    }
}
