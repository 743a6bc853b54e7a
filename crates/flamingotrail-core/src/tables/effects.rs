//! Calls that may not be repeated, by key within their program tree.

use std::collections;

use crate::digest;
use crate::ids;

/// Key of an effect.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EffectKey {
    /// The root program.
    pub root: ids::ProgramId,
    /// The key within it.
    pub key: String,
}

/// Effects by key.
#[derive(Debug, Default)]
pub struct Effects {
    /// Rows.
    pub rows: collections::BTreeMap<EffectKey, Effect>,
}

/// One effect.
#[derive(Clone, Debug)]
pub struct Effect {
    /// The call that it was first sent as.
    pub call: ids::CallKey,
    /// Fingerprint of its content.
    pub fingerprint: digest::Digest,
    /// Where it stands.
    pub state: EffectState,
}

/// Where an effect stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EffectState {
    /// Its intent is on the way to the journal: it has not been sent.
    Intending,
    /// Its intent stands in the journal under this owner's epoch, and this process may send it.
    Confirmed,
    /// It ran.
    Done {
        /// Status of the service's answer.
        status: u16,
        /// Body of the service's answer.
        text: String,
    },
    /// It may have run. Never sent again.
    Unknown,
}

impl Effects {
    /// Keys of the effects of a program tree.
    pub fn keys_for_root(&self, root: &ids::ProgramId) -> Vec<EffectKey> {
        let first = EffectKey { root: root.clone(), key: String::new() };
        self.rows.range(first..).map(|(k, _)| k).take_while(|k| k.root == *root).cloned().collect()
    }
}
