//! Calls under way at the owner of their partition.

use std::collections;

use crate::digest;
use crate::errors;
use crate::ids;
use crate::time;
use crate::work;

/// Calls by key.
#[derive(Debug, Default)]
pub struct Calls {
    /// Rows.
    pub rows: collections::BTreeMap<ids::CallKey, Call>,
    /// Index: calls that run at an instance.
    pub by_instance: collections::BTreeMap<ids::InstanceName, collections::BTreeSet<ids::CallKey>>,
    /// Index: call of a waiting request.
    pub by_request: collections::BTreeMap<ids::RequestId, ids::CallKey>,
    /// Retry allowance by workspace, in thousandths of a retry.
    pub retry_allowance: collections::BTreeMap<ids::WorkspaceName, u64>,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its program.
    pub program: ids::ProgramId,
    /// Root of the program's tree.
    pub root: ids::ProgramId,
    /// Its workspace.
    pub workspace: ids::WorkspaceName,
    /// What to run; a model call has only its new messages here.
    pub work: work::Work,
    /// Turn that it follows.
    pub previous_turn: ids::Turn,
    /// Fingerprint of the request as sent.
    pub fingerprint: digest::Digest,
    /// Whether its end is told only once the journal holds it.
    pub reply_after_journaling: bool,
    /// Key of the effect; none for a call that may be repeated.
    pub effect_key: Option<String>,
    /// Passed on to a service.
    pub idempotency_key: Option<String>,
    /// Deadline.
    pub deadline: time::Timestamp,
    /// Most cost units that it may spend.
    pub cost_bound: Option<work::Cost>,
    /// Where it stands.
    pub state: State,
    /// Requests that wait for it.
    pub waiters: Vec<Waiter>,
    /// Attempts made.
    pub attempts: u32,
    /// Endpoints that refused or failed it, not to be asked again soon.
    pub excluded_endpoints: collections::BTreeSet<ids::EndpointName>,
    /// Text of the answer that stands already.
    pub prefix: String,
    /// Number of the message that sent the attempt under way; 0 where there is none.
    pub dispatch_number: u64,
    /// Hold that the attempt under way is to make.
    pub hold: Option<ids::HoldId>,
    /// Cost units reserved.
    pub reserved: work::Cost,
    /// Most tokens to generate; from the call or the budget.
    pub max_tokens: u32,
    /// Whether the budget set `max_tokens`.
    pub budget_bound: bool,
    /// When it was taken.
    pub accepted_at: time::Timestamp,
    /// Whether the partition was lost while it ran: it can still be answered, not journaled.
    pub orphaned: bool,
    /// Whether an attempt was lost or broke after it may have run.
    pub may_have_run: bool,
    /// Why it could not be placed so far.
    pub refusal: Option<errors::Refusal>,
    /// Outcome that waits for the journal.
    pub outcome: Option<work::Outcome>,
    /// Whether a deadline was told to its waiters already.
    pub outcome_sent: bool,
}

/// A request that waits for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The entry.
    pub entry: ids::InstanceName,
    /// The request.
    pub request: ids::RequestId,
    /// Which sending of the request it is.
    pub hop: u32,
}

/// Where a call stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Waits for an earlier turn.
    Waiting,
    /// May start.
    Ready,
    /// Waits for a grant from its budget.
    Granting,
    /// Waits until its intent stands in the journal.
    Intending,
    /// Waits for an endpoint.
    Placing,
    /// Waits before it is placed again.
    Delayed,
    /// Runs.
    Running {
        /// The attempt.
        attempt: ids::AttemptId,
        /// The endpoint.
        endpoint: ids::EndpointName,
        /// The process beside it.
        peer: ids::Peer,
        /// When it was sent.
        sent_at: time::Timestamp,
    },
    /// Was lost; waits for the text that went through this process.
    Recovering {
        /// The attempt.
        attempt: ids::AttemptId,
    },
    /// Ended; waits for the journal.
    Journaling,
}

impl Calls {
    /// Sets the state of a call; maintains the index by instance. Returns the instance that it
    /// left and the one that it came to.
    pub fn set_state(
        &mut self,
        key: &ids::CallKey,
        state: State,
    ) -> (Option<ids::InstanceName>, Option<ids::InstanceName>) {
        let Some(call) = self.rows.get_mut(key) else {
            return (None, None);
        };
        let left = instance_of(&call.state);
        let came = instance_of(&state);
        call.state = state;
        if let Some(instance) = &left {
            if let Some(set) = self.by_instance.get_mut(instance) {
                set.remove(key);
                if set.is_empty() {
                    self.by_instance.remove(instance);
                }
            }
        }
        if let Some(instance) = &came {
            self.by_instance.entry(instance.clone()).or_default().insert(key.clone());
        }
        (left, came)
    }

    /// Adds `waiter` to a call; maintains the index by request. A newer hop replaces an older one.
    pub fn add_waiter(&mut self, key: &ids::CallKey, waiter: Waiter) {
        let Some(call) = self.rows.get_mut(key) else {
            return;
        };
        call.waiters.retain(|other| other.request != waiter.request);
        self.by_request.insert(waiter.request, key.clone());
        call.waiters.push(waiter);
    }

    /// Removes all waiters of a call; maintains the index by request.
    pub fn take_waiters(&mut self, key: &ids::CallKey) -> Vec<Waiter> {
        let Some(call) = self.rows.get_mut(key) else {
            return Vec::new();
        };
        let waiters = std::mem::take(&mut call.waiters);
        for waiter in &waiters {
            self.by_request.remove(&waiter.request);
        }
        waiters
    }
}

fn instance_of(state: &State) -> Option<ids::InstanceName> {
    match state {
        State::Running { peer, .. } => Some(peer.instance.clone()),
        _ => None,
    }
}
