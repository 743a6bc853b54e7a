//! Cached context held at the own endpoint.

use std::collections;

use crate::ids;
use crate::time;

/// Holds by id.
#[derive(Debug, Default)]
pub struct Holds {
    /// Rows.
    pub rows: collections::BTreeMap<ids::HoldId, Hold>,
    /// Index: holds of a program.
    pub by_program: collections::BTreeMap<ids::ProgramId, collections::BTreeSet<ids::HoldId>>,
}

/// One hold.
#[derive(Clone, Debug)]
pub struct Hold {
    /// The program; none for a hold of an earlier start of this process.
    pub program: Option<ids::ProgramId>,
    /// When its lease ends.
    pub expires_at: time::Timestamp,
    /// Whether it is to be released: repeated until the endpoint confirms it.
    pub releasing: bool,
    /// When this process learnt of it.
    pub known_since: time::Timestamp,
}

impl Holds {
    /// Adds a hold; maintains the index by program.
    pub fn insert(&mut self, id: ids::HoldId, hold: Hold) {
        if let Some(program) = &hold.program {
            self.by_program.entry(program.clone()).or_default().insert(id);
        }
        self.rows.insert(id, hold);
    }

    /// Removes a hold; maintains the index by program.
    pub fn remove(&mut self, id: ids::HoldId) {
        let Some(hold) = self.rows.remove(&id) else {
            return;
        };
        let Some(program) = hold.program else {
            return;
        };
        if let Some(set) = self.by_program.get_mut(&program) {
            set.remove(&id);
            if set.is_empty() {
                self.by_program.remove(&program);
            }
        }
    }
}
