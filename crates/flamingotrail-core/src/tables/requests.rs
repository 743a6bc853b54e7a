//! Callers' requests, at an entry instance.

use std::collections;

use crate::ids;
use crate::messages;
use crate::time;

/// Requests by id.
#[derive(Debug, Default)]
pub struct Requests {
    /// Requests.
    pub rows: collections::BTreeMap<ids::RequestId, Request>,
    /// Index: requests assigned to each instance.
    pub by_instance:
        collections::BTreeMap<ids::InstanceName, collections::BTreeSet<ids::RequestId>>,
    /// Number of requests of each workspace that has any.
    counts: collections::BTreeMap<ids::WorkspaceName, usize>,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The latest submission, ready to be sent again.
    pub submit: messages::Submit,
    /// When the caller's deadline passes.
    pub deadline: time::Timestamp,
    /// Instance that the request was submitted to, if any.
    pub instance: Option<ids::InstanceName>,
    /// Whether that instance accepted it.
    pub accepted: bool,
    /// Instances tried since the candidates were last exhausted.
    pub tried_instances: collections::BTreeSet<ids::InstanceName>,
    /// Whether the request waits for the text delivered to the caller so far before it is
    /// resubmitted.
    pub awaiting_delivered_text: bool,
    /// Whether an earlier submission may have run the call.
    pub may_have_run: bool,
}

impl Requests {
    /// Adds a request that is not assigned to an instance.
    pub fn insert(&mut self, id: ids::RequestId, request: Request) {
        *self.counts.entry(request.submit.workspace.clone()).or_default() += 1;
        self.rows.insert(id, request);
    }

    /// Removes a request and its index entries.
    pub fn remove(&mut self, id: ids::RequestId) {
        self.assign(id, None);
        let Some(request) = self.rows.remove(&id) else { return };
        let workspace = request.submit.workspace;
        if let Some(count) = self.counts.get_mut(&workspace) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&workspace);
            }
        }
    }

    /// Number of requests of `workspace`.
    pub fn count_of(&self, workspace: &ids::WorkspaceName) -> usize {
        self.counts.get(workspace).copied().unwrap_or(0)
    }

    /// Sets the instance that a request is assigned to and updates the index by instance.
    pub fn assign(&mut self, request: ids::RequestId, instance: Option<ids::InstanceName>) {
        let Some(row) = self.rows.get_mut(&request) else {
            return;
        };
        let previous = std::mem::replace(&mut row.instance, instance.clone());
        if let Some(previous) = previous {
            if let Some(set) = self.by_instance.get_mut(&previous) {
                set.remove(&request);
                if set.is_empty() {
                    self.by_instance.remove(&previous);
                }
            }
        }
        if let Some(instance) = instance {
            self.by_instance.entry(instance).or_default().insert(request);
        }
    }
}
