//! Budgets of programs, derived from the records of their partition in order.

use std::collections;

use flamingotrail_core::time;

use crate::ids;

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
        self.committed() + self.unconfirmed.values().sum::<u64>() + tokens <= budget
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

    /// Takes the end of `turn` after `tokens`.
    pub fn settle(&mut self, turn: &ids::TurnId, tokens: u64) {
        self.open.remove(turn);
        self.unconfirmed.remove(turn);
        if self.over.insert(turn.clone()) {
            self.settled += tokens;
        }
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
