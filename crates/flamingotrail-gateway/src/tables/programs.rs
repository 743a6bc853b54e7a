//! Budgets of programs, derived from the records of their partition in order.

use std::collections;

use flamingotrail_core::time;

use crate::ids;
use crate::journal;

/// One program.
#[derive(Debug, Default)]
pub struct Program {
    /// Tokens that its ended turns generated.
    pub settled: u64,
    /// Tokens that its open turns may generate, by turn.
    pub open: collections::BTreeMap<ids::TurnId, u64>,
    /// Turns that are over; their records are taken once.
    pub over: collections::BTreeSet<ids::TurnId>,
    /// Turns of this process whose start the log has not confirmed yet, with their tokens.
    pub unconfirmed: collections::BTreeMap<ids::TurnId, u64>,
    /// Turns that this process knows to be over and the log's part for the program does not tell yet.
    pub unsettled: collections::BTreeMap<ids::TurnId, u64>,
    /// Whether the log is told of them soon.
    pub settling: bool,
    /// When a record or request of it came last.
    pub touched: time::Timestamp,
}

impl Program {
    /// Tokens that are spent or may still be, by the log.
    pub fn committed(&self) -> u64 {
        self.settled + self.open.values().sum::<u64>()
    }

    /// Whether the log leaves room for `tokens` within `budget`.
    pub fn has_room(&self, tokens: u64, budget: u64) -> bool {
        self.committed() + tokens <= budget
    }

    /// Whether there is room for `tokens` beside the starts that the log has not confirmed.
    pub fn has_room_locally(&self, tokens: u64, budget: u64) -> bool {
        self.expected() + tokens <= budget
    }

    /// Takes the start of `turn`: whether it is granted.
    pub fn start(&mut self, turn: &ids::TurnId, tokens: u64, budget: u64) -> bool {
        self.unconfirmed.remove(turn);
        if self.open.contains_key(turn) {
            return true;
        }
        if self.over.contains(turn) || !self.has_room(tokens, budget) {
            return false;
        }
        self.open.insert(turn.clone(), tokens);
        true
    }

    /// Takes the log's word that a turn is over.
    pub fn settle(&mut self, settled: &journal::Settled) {
        self.open.remove(&settled.turn);
        self.unconfirmed.remove(&settled.turn);
        self.unsettled.remove(&settled.turn);
        if self.over.insert(settled.turn.clone()) {
            self.settled += settled.tokens;
        }
    }

    /// Learns that a turn is over, outside of the log's part for the program.
    pub fn learn(&mut self, turn: &ids::TurnId, tokens: u64) {
        if !self.over.contains(turn) {
            self.unsettled.insert(turn.clone(), tokens);
        }
    }

    /// What the log has to be told of turns that are over.
    pub fn to_settle(&self) -> Vec<journal::Settled> {
        let rows = self.unsettled.iter();
        rows.map(|(turn, tokens)| journal::Settled { turn: turn.clone(), tokens: *tokens }).collect()
    }

    /// Tokens that are spent or may still be, by the log and by what this process knows beyond it.
    pub fn expected(&self) -> u64 {
        let open = self.open.iter().chain(self.unconfirmed.iter());
        let open: u64 = open.map(|(turn, max)| self.unsettled.get(turn).unwrap_or(max)).sum();
        self.settled + open
    }
}

/// All programs.
#[derive(Debug, Default)]
pub struct Programs {
    /// The rows.
    pub rows: collections::BTreeMap<ids::ProgramId, Program>,
}

impl Programs {
    /// The row of `program`, made where it is missing.
    pub fn touch(&mut self, program: &ids::ProgramId, now: time::Timestamp) -> &mut Program {
        let row = self.rows.entry(program.clone()).or_default();
        row.touched = now;
        row
    }
}
