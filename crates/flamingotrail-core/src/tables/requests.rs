//! Callers' requests at an entry.

use std::collections;

use crate::ids;
use crate::messages;
use crate::time;

/// Requests by id.
#[derive(Debug, Default)]
pub struct Requests {
    /// Rows.
    pub rows: collections::BTreeMap<ids::RequestId, Request>,
    /// Index: requests that an instance has.
    pub by_instance:
        collections::BTreeMap<ids::InstanceName, collections::BTreeSet<ids::RequestId>>,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// What was sent, ready to be sent again.
    pub submit: messages::Submit,
    /// The deadline.
    pub deadline: time::Timestamp,
    /// The process that has it.
    pub instance: Option<ids::InstanceName>,
    /// Whether that process took it.
    pub accepted: bool,
    /// Processes that were asked in this round.
    pub tried_instances: collections::BTreeSet<ids::InstanceName>,
    /// Whether the text so far was asked for, to send the request again.
    pub awaiting_delivered_text: bool,
    /// Whether an earlier sending may have run something.
    pub may_have_run: bool,
}

impl Requests {
    /// Sets the process that has a request; maintains the index by instance.
    pub fn assign(&mut self, request: ids::RequestId, instance: Option<ids::InstanceName>) {
        let Some(row) = self.rows.get_mut(&request) else {
            return;
        };
        let left = std::mem::replace(&mut row.instance, instance.clone());
        if let Some(left) = left {
            if let Some(set) = self.by_instance.get_mut(&left) {
                set.remove(&request);
                if set.is_empty() {
                    self.by_instance.remove(&left);
                }
            }
        }
        if let Some(instance) = instance {
            self.by_instance.entry(instance).or_default().insert(request);
        }
    }
}
