//! Look-ups of turns at other gateways.

use std::collections;

use crate::ids;

/// Whether a call's look-up has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begun {
    /// It begins with this call.
    First,
    /// Another call has begun it, and this one shares its result.
    Shared,
    /// It has to wait until another look-up has ended.
    Later,
}

/// A look-up whose response is pending.
#[derive(Debug)]
struct Lookup {
    /// Call that began it.
    first: ids::CallId,
    /// Calls that wait for it.
    calls: collections::BTreeSet<ids::CallId>,
}

/// Table of look-ups.
#[derive(Debug, Default)]
pub struct Lookups {
    /// Look-ups by gateway and turn.
    rows: collections::BTreeMap<(ids::InstanceName, ids::TurnId), Lookup>,
    /// Calls that wait until another look-up has ended.
    later: collections::BTreeSet<ids::CallId>,
}

impl Lookups {
    /// Begins a look-up of `turn` at `peer` for `call`, unless `max` run already, or shares the one that
    /// runs.
    pub fn begin(
        &mut self,
        max: usize,
        call: ids::CallId,
        peer: &ids::InstanceName,
        turn: &ids::TurnId,
    ) -> Begun {
        let count = self.rows.len();
        match self.rows.entry((peer.clone(), turn.clone())) {
            collections::btree_map::Entry::Occupied(mut entry) => {
                entry.get_mut().calls.insert(call);
                Begun::Shared
            }
            collections::btree_map::Entry::Vacant(_) if count >= max => {
                self.later.insert(call);
                Begun::Later
            }
            collections::btree_map::Entry::Vacant(entry) => {
                entry.insert(Lookup { first: call, calls: collections::BTreeSet::from([call]) });
                Begun::First
            }
        }
    }

    /// Ends the look-up at `peer` that `first` began; returns the calls that wait for it.
    pub fn end(
        &mut self,
        first: ids::CallId,
        peer: &ids::InstanceName,
    ) -> collections::BTreeSet<ids::CallId> {
        let ended = self.rows.extract_if(.., |(at, _), row| row.first == first && at == peer);
        ended.flat_map(|(_, row)| row.calls).collect()
    }

    /// Takes the calls that can try again.
    pub fn take_later(&mut self) -> collections::BTreeSet<ids::CallId> {
        std::mem::take(&mut self.later)
    }
}
