//! Budgets of programs.
//!
//! The log's part for a program gives every process the same account: allowances that are open, at
//! their full size, and what those that are over have used. An allowance belongs to one process,
//! whose turns of the program draw on it without asking the log again.

use std::collections;

use flamingotrail_core::time;

use crate::ids;
use crate::journal;
use crate::tables::calls;

/// Part of a program's remaining budget that one allowance takes at most: a program's turns come
/// through several processes, and each needs room for its own.
const PART_OF_ROOM: u64 = 5;
/// Turns at their most that one allowance covers at most.
const MAX_TURNS: u64 = 6;

/// A part of a program's budget that is set aside for turns of this process.
#[derive(Debug)]
pub struct Allowance {
    /// Tokens: as asked for until the log has decided.
    pub size: u64,
    /// The log's decision.
    pub state: calls::Reservation,
    /// Tokens that its ended turns have used.
    pub used_tokens: u64,
    /// Turns that run, with their tokens at most.
    pub running: collections::BTreeMap<ids::TurnId, u64>,
}

impl Allowance {
    /// Whether a turn of `tokens` at most fits beside what has run and runs.
    fn fits(&self, tokens: u64) -> bool {
        self.used_tokens + self.running.values().sum::<u64>() + tokens <= self.size
    }
}

/// One program.
#[derive(Debug, Default)]
pub struct Program {
    /// Tokens that the allowances have used that are over, by the log.
    pub settled_tokens: u64,
    /// Sizes of the allowances that are open, by the log.
    pub open_allowances: collections::BTreeMap<ids::TurnId, u64>,
    /// Allowances that are over, by the log; each is taken once.
    pub closed_allowances: collections::BTreeSet<ids::TurnId>,
    /// This process's allowances, by the turn for which each was asked.
    pub allowances: collections::BTreeMap<ids::TurnId, Allowance>,
    /// The allowance on which the next turn draws.
    pub current: Option<ids::TurnId>,
    /// This process's allowances that are over, which the log has still to be told.
    pub unsettled: collections::BTreeMap<ids::TurnId, u64>,
    /// Whether the log is told of them soon.
    pub is_settlement_scheduled: bool,
    /// When a record or request of it came last.
    pub last_used: time::Timestamp,
}

impl Program {
    /// Tokens that are spent or may still be, by the log.
    pub fn committed_tokens(&self) -> u64 {
        self.settled_tokens + self.open_allowances.values().sum::<u64>()
    }

    /// Whether the log leaves room for `tokens` within `budget`.
    pub fn has_room(&self, tokens: u64, budget: u64) -> bool {
        self.committed_tokens() + tokens <= budget
    }

    /// Tokens that are spent or may still be, by the log and by what this process knows beyond it.
    pub fn projected_tokens(&self) -> u64 {
        let own = self.allowances.iter().map(|(id, allowance)| (id, &allowance.size));
        let mut sizes: collections::BTreeMap<_, _> =
            own.chain(self.open_allowances.iter()).collect();
        sizes.extend(self.unsettled.iter());
        self.settled_tokens + sizes.values().copied().sum::<u64>()
    }

    /// Takes the log's order to open an allowance of `least` to `wanted` tokens: its size, or none
    /// where the budget has no room.
    pub fn grant(&mut self, id: &ids::TurnId, least: u64, wanted: u64, budget: u64) -> Option<u64> {
        if let Some(size) = self.open_allowances.get(id) {
            return Some(*size);
        }
        if self.closed_allowances.contains(id) || !self.has_room(least, budget) {
            return None;
        }
        // The room that is left by the log: whoever asks may not know of the allowances of others.
        let room = budget - self.committed_tokens();
        let size = wanted.min(room / PART_OF_ROOM).max(least);
        self.open_allowances.insert(id.clone(), size);
        Some(size)
    }

    /// Takes the log's word that an allowance is over.
    pub fn settle(&mut self, settled: &journal::SettledAllowance) {
        self.open_allowances.remove(&settled.turn);
        self.unsettled.remove(&settled.turn);
        if self.closed_allowances.insert(settled.turn.clone()) {
            self.settled_tokens += settled.tokens;
        }
    }

    /// Draws on the current allowance for `turn`: the log's decision on it, or none where the turn
    /// does not fit.
    pub fn reserve(&mut self, turn: &ids::TurnId, tokens: u64) -> Option<calls::Reservation> {
        let allowance = self.allowances.get_mut(self.current.as_ref()?)?;
        if !allowance.fits(tokens) {
            return None;
        }
        allowance.running.insert(turn.clone(), tokens);
        Some(allowance.state)
    }

    /// Begins an allowance with `turn` as its first; its size as asked of the log.
    pub fn start_allowance(&mut self, turn: &ids::TurnId, tokens: u64, budget: u64) -> u64 {
        self.close_current();
        let room = budget.saturating_sub(self.projected_tokens());
        let size = (room / PART_OF_ROOM).min(tokens.saturating_mul(MAX_TURNS)).max(tokens);
        let running = collections::BTreeMap::from([(turn.clone(), tokens)]);
        let state = calls::Reservation::Pending;
        self.allowances.insert(turn.clone(), Allowance { size, state, used_tokens: 0, running });
        self.current = Some(turn.clone());
        size
    }

    /// Takes the log's decision on one of this process's allowances: the turns that draw on it, and
    /// whether each may run; none of those in the last list fit, and have to ask again.
    pub fn apply_decision(
        &mut self,
        id: &ids::TurnId,
        size: Option<u64>,
    ) -> (Vec<(ids::TurnId, bool)>, Vec<ids::TurnId>) {
        let Some(allowance) = self.allowances.get_mut(id) else { return Default::default() };
        if allowance.state != calls::Reservation::Pending {
            return Default::default();
        }
        let Some(size) = size else {
            let denied = self.allowances.remove(id).map(|allowance| allowance.running);
            if self.current.as_ref() == Some(id) {
                self.current = None;
            }
            return (denied.into_iter().flatten().map(|(turn, _)| (turn, false)).collect(), vec![]);
        };
        allowance.state = calls::Reservation::Granted;
        allowance.size = size;
        let asked = std::mem::take(&mut allowance.running);
        let mut granted = Vec::new();
        let mut left_over = Vec::new();
        // The turn for which it was asked fits in any case.
        let first = asked.get_key_value(id).into_iter();
        for (turn, tokens) in first.chain(asked.iter().filter(|(turn, _)| *turn != id)) {
            if allowance.fits(*tokens) {
                allowance.running.insert(turn.clone(), *tokens);
                granted.push((turn.clone(), true));
            } else {
                left_over.push(turn.clone());
            }
        }
        self.close_idle();
        (granted, left_over)
    }

    /// Ends `turn` after `tokens`.
    pub fn end_turn(&mut self, turn: &ids::TurnId, tokens: u64) {
        for allowance in self.allowances.values_mut() {
            if allowance.running.remove(turn).is_some() {
                allowance.used_tokens += tokens;
            }
        }
        self.close_idle();
    }

    /// Lets no further turn draw on the current allowance.
    pub fn close_current(&mut self) {
        self.current = None;
        self.close_idle();
    }

    /// Whether a turn runs on the current allowance.
    pub fn is_busy(&self) -> bool {
        let current = self.current.as_ref().and_then(|id| self.allowances.get(id));
        current.is_some_and(|allowance| !allowance.running.is_empty())
    }

    fn close_idle(&mut self) {
        let (current, unsettled) = (self.current.as_ref(), &mut self.unsettled);
        self.allowances.retain(|id, allowance| {
            let keep = current == Some(id)
                || !allowance.running.is_empty()
                || allowance.state == calls::Reservation::Pending;
            if !keep {
                unsettled.insert(id.clone(), allowance.used_tokens);
            }
            keep
        });
    }

    /// What the log has to be told of allowances that are over.
    pub fn unsettled_allowances(&self) -> Vec<journal::SettledAllowance> {
        let rows = self.unsettled.iter();
        rows.map(|(turn, tokens)| journal::SettledAllowance { turn: turn.clone(), tokens: *tokens })
            .collect()
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
        row.last_used = now;
        row
    }
}
