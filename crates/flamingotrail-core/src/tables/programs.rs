//! Programs of owned partitions.

use std::collections;

use crate::ids;
use crate::time;
use crate::work;

/// Programs by id.
#[derive(Debug, Default)]
pub struct Programs {
    /// Rows.
    pub rows: collections::BTreeMap<ids::ProgramId, Program>,
    /// Index: programs of a tree, by root.
    pub by_root: collections::BTreeMap<ids::ProgramId, collections::BTreeSet<ids::ProgramId>>,
}

/// One program.
#[derive(Clone, Debug)]
pub struct Program {
    /// Root of its tree; itself for a root.
    pub root: ids::ProgramId,
    /// Its workspace.
    pub workspace: ids::WorkspaceName,
    /// Whether it has ended.
    pub ended: bool,
    /// When this owner first saw it.
    pub started_at: time::Timestamp,
    /// When it was last active.
    pub last_active_at: time::Timestamp,
    /// When its rows last stood in the log in full, as far as known.
    pub last_logged_at: time::Timestamp,
    /// The tree's account; used in root rows only.
    pub account: Account,
}

/// Account of a program tree.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Cost units granted and usable.
    pub granted: work::Cost,
    /// Total of the grants that are on their way to the journal.
    pub pending_grant: Option<work::Cost>,
    /// Cost units spent, or counted as spent.
    pub spent: work::Cost,
    /// Cost units reserved for calls that run.
    pub reserved: work::Cost,
    /// Turns taken.
    pub turns: u32,
    /// Service attained, in cost units.
    pub attained: work::Cost,
    /// Calls that wait for a grant.
    pub waiting_calls: collections::BTreeSet<ids::CallKey>,
}

impl Account {
    /// Cost units that a call may still reserve of what was granted.
    pub fn available(&self) -> work::Cost {
        self.granted.saturating_sub(self.spent.saturating_add(self.reserved))
    }
}

impl Programs {
    /// Adds or replaces the row of `program`; maintains the index by root.
    pub fn insert(&mut self, program: ids::ProgramId, row: Program) {
        self.by_root.entry(row.root.clone()).or_default().insert(program.clone());
        self.rows.insert(program, row);
    }

    /// Removes the row of `program`; maintains the index by root.
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

    /// Account of the tree that `program` belongs to.
    pub fn account_mut(&mut self, program: &ids::ProgramId) -> Option<&mut Account> {
        let root = self.rows.get(program)?.root.clone();
        self.rows.get_mut(&root).map(|row| &mut row.account)
    }
}
