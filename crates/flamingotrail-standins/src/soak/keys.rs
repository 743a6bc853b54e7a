//! Keys of the workspaces, as operators add and remove them during a run.

use std::sync;
use std::time;

/// Names of the workspaces; the second one has characters that ids and paths have to escape.
pub const WORKSPACES: [&str; 2] = ["acme", "bolt / 2%"];
/// Beginning of all keys, by which a key is found where it must not be.
pub const KEY_PREFIX: &str = "soak-key-";
/// Time after the acknowledgement of a removal in which a key may still be used.
pub const REMOVAL_BOUND: time::Duration = time::Duration::from_millis(4_000);

/// A key.
#[derive(Clone, Debug)]
pub struct Key {
    /// The key itself.
    pub text: String,
    /// Index of its workspace.
    pub workspace: usize,
    /// Whether it is valid during the whole run.
    pub is_permanent: bool,
    /// When its removal was acknowledged by the store.
    pub removed_at: Option<time::Instant>,
}

#[derive(Default)]
struct State {
    keys: Vec<Key>,
    /// Newest completed turn of each workspace.
    turns: [Option<String>; WORKSPACES.len()],
    /// Number of faults that keep gateways from the store, or requests from runners.
    active_faults: usize,
    /// When such faults began and ended.
    disturbances: Vec<(time::Instant, Option<time::Instant>)>,
}

/// The keys of a run; clones share their state.
#[derive(Clone)]
pub struct KeyRing {
    state: sync::Arc<sync::Mutex<State>>,
}

impl KeyRing {
    /// Creates a ring with a permanent and a temporary key for each workspace.
    pub fn new() -> Self {
        let ring = KeyRing { state: sync::Arc::default() };
        for workspace in 0..WORKSPACES.len() {
            ring.add(workspace, true);
            ring.add(workspace, false);
        }
        ring
    }

    fn add(&self, workspace: usize, is_permanent: bool) {
        let mut state = self.lock();
        let text = format!("{KEY_PREFIX}{}", state.keys.len());
        state.keys.push(Key { text, workspace, is_permanent, removed_at: None });
    }

    /// Removes the temporary key of `workspace` and adds another one.
    pub fn rotate(&self, workspace: usize) {
        let now = time::Instant::now();
        let is_current = |key: &&mut Key| {
            key.workspace == workspace && !key.is_permanent && key.removed_at.is_none()
        };
        let mut state = self.lock();
        state.keys.iter_mut().filter(is_current).for_each(|key| key.removed_at = Some(now));
        drop(state);
        self.add(workspace, false);
    }

    /// All keys that were ever valid.
    pub fn all(&self) -> Vec<Key> {
        self.lock().keys.clone()
    }

    /// The valid keys of each workspace.
    pub fn valid(&self) -> Vec<(&'static str, Vec<String>)> {
        let state = self.lock();
        let of_workspace = |workspace| {
            let valid = state.keys.iter().filter(|key| key.removed_at.is_none());
            valid.filter(|key| key.workspace == workspace).map(|key| key.text.clone()).collect()
        };
        WORKSPACES.iter().enumerate().map(|(index, name)| (*name, of_workspace(index))).collect()
    }

    /// The permanent key of `workspace`.
    pub fn permanent(&self, workspace: usize) -> String {
        let state = self.lock();
        let mut keys = state.keys.iter().filter(|key| key.workspace == workspace);
        keys.find(|key| key.is_permanent).map(|key| key.text.clone()).unwrap_or_default()
    }

    /// A temporary key of `workspace`, selected by a random number; it may have been removed.
    pub fn temporary(&self, workspace: usize, random: u64) -> String {
        let state = self.lock();
        let keys = state.keys.iter().filter(|key| key.workspace == workspace && !key.is_permanent);
        let keys: Vec<_> = keys.collect();
        let index = usize::try_from(random % keys.len().max(1) as u64).unwrap_or(0);
        keys.get(index).map(|key| key.text.clone()).unwrap_or_default()
    }

    /// Records a completed turn of `workspace`.
    pub fn record_turn(&self, workspace: usize, turn: &str) {
        self.lock().turns[workspace] = Some(turn.to_owned());
    }

    /// The newest completed turn of `workspace`.
    pub fn newest_turn(&self, workspace: usize) -> Option<String> {
        self.lock().turns[workspace].clone()
    }

    /// Records the beginning of a fault that keeps gateways from the store, or requests from runners.
    pub fn begin_fault(&self) {
        let mut state = self.lock();
        if state.active_faults == 0 {
            state.disturbances.push((time::Instant::now(), None));
        }
        state.active_faults += 1;
    }

    /// Records the end of such a fault.
    pub fn end_fault(&self) {
        let mut state = self.lock();
        state.active_faults = state.active_faults.saturating_sub(1);
        if state.active_faults == 0 {
            if let Some((_, ended_at)) = state.disturbances.last_mut() {
                *ended_at = Some(time::Instant::now());
            }
        }
    }

    /// Whether there was such a fault between two times.
    pub fn was_disturbed(&self, from: time::Instant, to: time::Instant) -> bool {
        let state = self.lock();
        let mut disturbances = state.disturbances.iter();
        disturbances.any(|(began, ended)| *began <= to && ended.is_none_or(|ended| ended >= from))
    }

    /// Time until all gateways have to know the keys, if no further fault begins.
    pub fn time_until_known(&self) -> time::Duration {
        let state = self.lock();
        let removals = state.keys.iter().filter_map(|key| key.removed_at);
        let ends = state.disturbances.iter().filter_map(|(_, ended_at)| *ended_at);
        let newest = removals.chain(ends).max();
        newest.map_or(time::Duration::ZERO, |at| REMOVAL_BOUND.saturating_sub(at.elapsed()))
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Default for KeyRing {
    fn default() -> Self {
        KeyRing::new()
    }
}

/// Index of the workspace of caller `number`.
pub fn workspace_of(number: usize) -> usize {
    number % WORKSPACES.len()
}
