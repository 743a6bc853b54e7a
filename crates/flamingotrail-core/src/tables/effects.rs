//! Effects: calls that are not repeatable, by key within their program tree.

use std::collections;

use crate::digest;
use crate::ids;

/// Key of an effect.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EffectKey {
    /// Root of the program tree.
    pub root: ids::ProgramId,
    /// Key within the program tree.
    pub key: String,
}

/// Effects by key.
#[derive(Debug, Default)]
pub struct Effects {
    /// Effects.
    pub rows: collections::BTreeMap<EffectKey, Effect>,
}

/// An effect.
#[derive(Clone, Debug)]
pub struct Effect {
    /// The call that first requested the effect.
    pub call: ids::CallKey,
    /// Fingerprint of the call's content.
    pub fingerprint: digest::Digest,
    /// Current state.
    pub state: EffectState,
}

/// State of an effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EffectState {
    /// Its intent is being journaled; the call has not been dispatched.
    Intending,
    /// Its intent is in the journal under this owner's epoch; this instance may dispatch the call.
    Confirmed,
    /// The call ran.
    Done {
        /// Status code of the service's response.
        status: u16,
        /// Body of the service's response.
        text: String,
    },
    /// The call may have run. It is never dispatched again.
    Unknown,
}

impl Effects {
    /// Returns the keys of all effects of a program tree.
    pub fn keys_for_root(&self, root: &ids::ProgramId) -> Vec<EffectKey> {
        let first = EffectKey { root: root.clone(), key: String::new() };
        self.rows.range(first..).map(|(k, _)| k).take_while(|k| k.root == *root).cloned().collect()
    }
}
