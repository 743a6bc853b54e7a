//! Cached context held on the local endpoint.

use std::collections;

use crate::ids;
use crate::time;

/// Holds by id.
#[derive(Debug, Default)]
pub struct Holds {
    /// Holds.
    pub rows: collections::BTreeMap<ids::HoldId, Hold>,
    /// Index: holds of each program.
    pub by_program: collections::BTreeMap<ids::ProgramId, collections::BTreeSet<ids::HoldId>>,
}

/// A hold.
#[derive(Clone, Debug)]
pub struct Hold {
    /// The program; `None` for a hold created by an earlier incarnation of this instance.
    pub program: Option<ids::ProgramId>,
    /// When its lease ends.
    pub expires_at: time::Timestamp,
    /// Whether it is being released. The release is retried until the endpoint confirms it.
    pub releasing: bool,
    /// When this instance learned of the hold or last renewed it.
    pub known_since: time::Timestamp,
}

impl Holds {
    /// Adds a hold and updates the index by program.
    pub fn insert(&mut self, id: ids::HoldId, hold: Hold) {
        if let Some(program) = &hold.program {
            self.by_program.entry(program.clone()).or_default().insert(id);
        }
        self.rows.insert(id, hold);
    }

    /// Removes a hold and updates the index by program.
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
