//! When callers are asked to return that were refused because all endpoints of a service have
//! reached their limits: one after the other, as fast as the limits allow.

use std::collections;
use std::time;

use flamingotrail_core::time as core_time;

use crate::ids;

/// Table of the times that were promised to callers.
#[derive(Debug, Default)]
pub struct Returns {
    /// When the next caller of a service is asked to return.
    next_at: collections::BTreeMap<ids::ServiceName, core_time::Timestamp>,
}

impl Returns {
    /// Returns how long a caller of `service` should wait: until `due`, or until those before it
    /// have returned at intervals of `interval`. The time is reserved for the caller unless it would
    /// give up before, after `patience`.
    pub fn schedule(
        &mut self,
        service: &ids::ServiceName,
        due: core_time::Timestamp,
        interval: time::Duration,
        patience: time::Duration,
        now: core_time::Timestamp,
    ) -> time::Duration {
        let next_at = self.next_at.get(service).copied().unwrap_or(due);
        let at = next_at.max(due).max(now);
        if at.since(now) <= patience {
            self.next_at.insert(service.clone(), at.after(interval));
        }
        at.since(now)
    }
}
