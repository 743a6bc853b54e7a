//! Budgets of programs.
//!
//! From the log, every gateway derives the same state of a program's budget: its open allowances at
//! their full size, and the tokens used by its closed ones. An allowance belongs to one gateway,
//! which reserves its tokens for turns of the program without another record in the log.

use std::collections;

use flamingotrail_core::time;

use crate::ids;
use crate::journal;
use crate::tables::calls;
use crate::tables::log_index;

/// An allowance may take the remaining budget divided by this number, unless its first turn needs
/// more: a program's turns run on several gateways, each of which needs an allowance of its own.
const ROOM_DIVISOR: u64 = 5;
/// Maximum size of an allowance, in turns of the maximum size.
const MAX_ALLOWANCE_TURNS: u64 = 6;

/// A part of a program's budget that is reserved for turns of this gateway.
#[derive(Debug)]
pub struct Allowance {
    /// Size in tokens: the requested size until the log has decided, then the granted one.
    pub size: u64,
    /// Decision of the log on the allowance.
    pub state: calls::Reservation,
    /// Number of tokens that ended turns have used.
    pub used_tokens: u64,
    /// Running turns with their maximum numbers of tokens.
    pub running: collections::BTreeMap<ids::TurnId, u64>,
    /// Time from which it takes no further turns, so that it is settled before the log drops the
    /// request for it.
    pub closes_at: time::Timestamp,
}

impl Allowance {
    /// Whether a turn of at most `tokens` fits in addition to the ended and running turns.
    fn fits(&self, tokens: u64) -> bool {
        self.used_tokens + self.running.values().sum::<u64>() + tokens <= self.size
    }
}

/// Budget of a program.
#[derive(Debug, Default)]
pub struct Program {
    /// Whether the log has records of the program from before this row was created: its account holds
    /// only once they were read again.
    pub is_partial: bool,
    /// Tokens used by the allowances that are settled in the log.
    pub settled_tokens: u64,
    /// Sizes of the allowances that are open in the log.
    pub open_allowances: collections::BTreeMap<ids::TurnId, u64>,
    /// Allowances that are settled in the log, with their used tokens; makes sure that each is counted
    /// once.
    pub settled_allowances: collections::BTreeMap<ids::TurnId, u64>,
    /// Time from which the open and settled allowances have to be named by a new record, since the log
    /// will drop the first of those that name them.
    pub carry_at: Option<time::Timestamp>,
    /// This gateway's allowances, by the turn for which each was requested.
    pub allowances: collections::BTreeMap<ids::TurnId, Allowance>,
    /// Allowance that the next turn reserves its tokens from.
    pub current: Option<ids::TurnId>,
    /// This gateway's closed allowances that are not settled in the log yet, with their used
    /// tokens.
    pub unsettled: collections::BTreeMap<ids::TurnId, u64>,
    /// Whether a timer is set for their settlement.
    pub is_settlement_scheduled: bool,
    /// Smallest budget that the log's records name for the program.
    pub budget: Option<u64>,
    /// When the last record or request of the program was processed.
    pub last_used: time::Timestamp,
}

impl Program {
    /// Returns the number of tokens that are or may still be spent according to the log.
    pub fn committed_tokens(&self) -> u64 {
        self.settled_tokens + self.open_allowances.values().sum::<u64>()
    }

    /// Whether `budget` has room for `tokens` according to the log.
    pub fn has_room(&self, tokens: u64, budget: u64) -> bool {
        self.committed_tokens() + tokens <= budget
    }

    /// Returns the number of tokens that are or may still be spent according to the log, corrected
    /// by this gateway's own allowances, which may be newer than the log.
    pub fn projected_tokens(&self) -> u64 {
        let own = self.allowances.iter().map(|(id, allowance)| (id, &allowance.size));
        let mut sizes: collections::BTreeMap<_, _> =
            own.chain(self.open_allowances.iter()).collect();
        sizes.extend(self.unsettled.iter());
        self.settled_tokens + sizes.values().copied().sum::<u64>()
    }

    /// Applies a `Start` record: opens an allowance and returns its size, which is at least
    /// `min_tokens`; `None` if the budget has no room for it.
    pub fn grant(
        &mut self,
        id: &ids::TurnId,
        min_tokens: u64,
        desired_tokens: u64,
        budget: u64,
    ) -> Option<u64> {
        let budget = self.budget.map_or(budget, |known| known.min(budget));
        self.budget = Some(budget);
        if let Some(size) = self.open_allowances.get(id) {
            return Some(*size);
        }
        if self.settled_allowances.contains_key(id) || !self.has_room(min_tokens, budget) {
            return None;
        }
        // Limits the size by the room in the log: the requesting gateway may not have known of the
        // allowances of others.
        let room = budget - self.committed_tokens();
        let size = desired_tokens.min(room / ROOM_DIVISOR).max(min_tokens);
        self.open_allowances.insert(id.clone(), size);
        Some(size)
    }

    /// Applies the settlement of an allowance in the log.
    pub fn settle(&mut self, settled: &journal::SettledAllowance) {
        self.open_allowances.remove(&settled.turn);
        self.unsettled.remove(&settled.turn);
        if let collections::btree_map::Entry::Vacant(entry) =
            self.settled_allowances.entry(settled.turn.clone())
        {
            entry.insert(settled.tokens);
            self.settled_tokens += settled.tokens;
        }
    }

    /// Applies an open allowance that a record carries along.
    pub fn reopen(&mut self, open: &journal::OpenAllowance) {
        if !self.settled_allowances.contains_key(&open.turn) {
            self.open_allowances.entry(open.turn.clone()).or_insert(open.tokens);
        }
    }

    /// Records that `count` allowances are named by a record that need not be written again before
    /// `at`.
    pub fn carry_from(&mut self, count: usize, at: time::Timestamp) {
        let is_all = count >= self.settled_allowances.len() + self.open_allowances.len();
        self.carry_at =
            Some(self.carry_at.map_or(at, |old| if is_all { old.max(at) } else { old.min(at) }));
    }

    /// Whether the allowances have to be named by a new record at `now`.
    pub fn must_carry(&self, now: time::Timestamp) -> bool {
        self.carry_at.is_some_and(|at| at <= now)
    }

    /// Returns the open allowances, as records name them.
    pub fn open_records(&self) -> Vec<journal::OpenAllowance> {
        let rows = self.open_allowances.iter();
        rows.map(|(turn, tokens)| journal::OpenAllowance { turn: turn.clone(), tokens: *tokens })
            .collect()
    }

    /// Returns the settled allowances, as records name them.
    pub fn settled_records(&self) -> Vec<journal::SettledAllowance> {
        let rows = self.settled_allowances.iter();
        rows.map(|(turn, tokens)| journal::SettledAllowance { turn: turn.clone(), tokens: *tokens })
            .collect()
    }

    /// Reserves `tokens` of the current allowance for `turn`, and returns the log's decision on
    /// that allowance; `None` if the turn does not fit.
    pub fn reserve(
        &mut self,
        turn: &ids::TurnId,
        tokens: u64,
        now: time::Timestamp,
    ) -> Option<calls::Reservation> {
        let allowance = self.allowances.get_mut(self.current.as_ref()?)?;
        if !allowance.fits(tokens) || allowance.closes_at <= now {
            return None;
        }
        allowance.running.insert(turn.clone(), tokens);
        Some(allowance.state)
    }

    /// Starts a new current allowance for `turn`, and returns the size to request in the log.
    pub fn start_allowance(
        &mut self,
        turn: &ids::TurnId,
        tokens: u64,
        budget: u64,
        closes_at: time::Timestamp,
    ) -> u64 {
        self.close_current();
        let room = budget.saturating_sub(self.projected_tokens());
        let size =
            (room / ROOM_DIVISOR).min(tokens.saturating_mul(MAX_ALLOWANCE_TURNS)).max(tokens);
        let running = collections::BTreeMap::from([(turn.clone(), tokens)]);
        let state = calls::Reservation::Pending;
        let allowance = Allowance { size, state, used_tokens: 0, running, closes_at };
        self.allowances.insert(turn.clone(), allowance);
        self.current = Some(turn.clone());
        size
    }

    /// Applies the log's decision on one of this gateway's allowances: its size, or `None` if it
    /// was denied. Returns its turns with whether each is granted, and the turns that do not fit
    /// and have to reserve again.
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
        let requested = std::mem::take(&mut allowance.running);
        let mut granted = Vec::new();
        let mut unreserved = Vec::new();
        // The turn for which the allowance was requested comes first, so that it always fits.
        let first = requested.get_key_value(id).into_iter();
        for (turn, tokens) in first.chain(requested.iter().filter(|(turn, _)| *turn != id)) {
            if allowance.fits(*tokens) {
                allowance.running.insert(turn.clone(), *tokens);
                granted.push((turn.clone(), true));
            } else {
                unreserved.push(turn.clone());
            }
        }
        self.close_idle();
        (granted, unreserved)
    }

    /// Whether the program has spent or reserved a part of its budget.
    pub fn has_begun(&self) -> bool {
        self.committed_tokens() > 0
            || !self.allowances.is_empty()
            || !self.unsettled.is_empty()
            || !self.settled_allowances.is_empty()
    }

    /// Whether `turn` is the only one of the allowance that was requested for it, which the log has
    /// not decided on.
    pub fn is_sole_turn(&self, turn: &ids::TurnId) -> bool {
        self.allowances.get(turn).is_some_and(|allowance| {
            allowance.state == calls::Reservation::Pending
                && allowance.running.keys().all(|running| running == turn)
        })
    }

    /// Whether this gateway has requested the allowance `id`, which is not settled yet.
    pub fn owns_allowance(&self, id: &ids::TurnId) -> bool {
        self.allowances.contains_key(id) || self.unsettled.contains_key(id)
    }

    /// Removes the allowance that was requested for `turn`.
    pub fn withdraw_allowance(&mut self, turn: &ids::TurnId) {
        self.allowances.remove(turn);
        if self.current.as_ref() == Some(turn) {
            self.current = None;
        }
    }

    /// Ends `turn` and charges the `tokens` that it has used to its allowance.
    pub fn end_turn(&mut self, turn: &ids::TurnId, tokens: u64) {
        for allowance in self.allowances.values_mut() {
            if allowance.running.remove(turn).is_some() {
                allowance.used_tokens += tokens;
            }
        }
        self.close_idle();
    }

    /// Closes the current allowance to further turns.
    pub fn close_current(&mut self) {
        self.current = None;
        self.close_idle();
    }

    /// Whether the current allowance has running turns.
    pub fn is_busy(&self) -> bool {
        let current = self.current.as_ref().and_then(|id| self.allowances.get(id));
        current.is_some_and(|allowance| !allowance.running.is_empty())
    }

    /// Whether an allowance of this gateway has running turns.
    pub fn has_running_turns(&self) -> bool {
        self.allowances.values().any(|allowance| !allowance.running.is_empty())
    }

    /// Whether the log has allowances of this gateway that are not settled.
    pub fn owes_settlement(&self) -> bool {
        !self.allowances.is_empty() || !self.unsettled.is_empty()
    }

    /// Moves the allowances that will have no further turns to the unsettled ones.
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

    /// Returns the closed allowances to settle in the log.
    pub fn unsettled_allowances(&self) -> Vec<journal::SettledAllowance> {
        let rows = self.unsettled.iter();
        rows.map(|(turn, tokens)| journal::SettledAllowance { turn: turn.clone(), tokens: *tokens })
            .collect()
    }
}

/// Table of programs.
#[derive(Debug, Default)]
pub struct Programs {
    /// Programs by id.
    pub rows: collections::BTreeMap<ids::ProgramId, Program>,
}

impl Programs {
    /// Returns the row of `program` and marks it as used at `now`; creates it if it does not exist.
    pub fn touch(
        &mut self,
        program: &ids::ProgramId,
        index: &log_index::LogIndex,
        now: time::Timestamp,
    ) -> &mut Program {
        let row = self.rows.entry(program.clone()).or_insert_with(|| Program {
            is_partial: index.program_offset(program, now).is_some(),
            ..Program::default()
        });
        row.last_used = now;
        row
    }
}
