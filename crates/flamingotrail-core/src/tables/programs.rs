//! Programs of owned partitions.

use std::collections;

use crate::ids;
use crate::time;
use crate::work;

/// Programs by id.
#[derive(Debug, Default)]
pub struct Programs {
    /// Programs.
    pub rows: collections::BTreeMap<ids::ProgramId, Program>,
    /// Index: programs of each tree, by root.
    pub by_root: collections::BTreeMap<ids::ProgramId, collections::BTreeSet<ids::ProgramId>>,
}

/// A program.
#[derive(Clone, Debug)]
pub struct Program {
    /// Root of its tree; the program itself if it is a root.
    pub root: ids::ProgramId,
    /// The workspace that it belongs to.
    pub workspace: ids::WorkspaceName,
    /// Whether it has ended.
    pub ended: bool,
    /// When this owner first saw it.
    pub started_at: time::Timestamp,
    /// When it was last active.
    pub last_active_at: time::Timestamp,
    /// When its row was last written to the log in full, as far as known.
    pub last_logged_at: time::Timestamp,
    /// Budget account of the tree; only used in the root's row.
    pub account: Account,
}

/// Budget account of a program tree.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Total cost units granted, without a grant that is still being journaled.
    pub granted: work::Cost,
    /// Total granted after the grant that is being journaled, if any.
    pub pending_grant: Option<work::Cost>,
    /// Cost units spent, or counted as spent.
    pub spent: work::Cost,
    /// Cost units reserved for calls in progress.
    pub reserved: work::Cost,
    /// Number of turns taken.
    pub turns: u32,
    /// Attained service, in cost units.
    pub attained: work::Cost,
    /// Calls that wait for a grant.
    pub waiting_calls: collections::BTreeSet<ids::CallKey>,
}

impl Account {
    /// Returns the granted cost units that are neither spent nor reserved.
    pub fn available(&self) -> work::Cost {
        self.granted.saturating_sub(self.spent.saturating_add(self.reserved))
    }
}

impl Programs {
    /// Adds or replaces the row of `program` and updates the index by root.
    pub fn insert(&mut self, program: ids::ProgramId, row: Program) {
        self.by_root.entry(row.root.clone()).or_default().insert(program.clone());
        self.rows.insert(program, row);
    }

    /// Removes the row of `program` and updates the index by root.
    pub fn remove(&mut self, program: &ids::ProgramId) -> Option<Program> {
        let row = self.rows.remove(program)?;
        if let Some(tree) = self.by_root.get_mut(&row.root) {
            tree.remove(program);
            if tree.is_empty() {
                self.by_root.remove(&row.root);
            }
        }
        Some(row)
    }

    /// Returns the account of the tree that `program` belongs to.
    pub fn account_mut(&mut self, program: &ids::ProgramId) -> Option<&mut Account> {
        let root = self.rows.get(program)?.root.clone();
        self.rows.get_mut(&root).map(|row| &mut row.account)
    }
}
