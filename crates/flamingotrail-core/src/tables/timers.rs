//! Timers of table rows.

use std::collections;

use crate::ids;
use crate::time;

/// The purpose of a timer. At most one timer of each kind exists per row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Fetch the platform's instance list.
    ListFetch,
    /// Read the configuration stream.
    ConfigRead,
    /// Ask peers for the configuration.
    ConfigAsk,
    /// Republish the configuration before the log's retention expires it.
    ConfigRepublish,
    /// Fetch a report from the local endpoint.
    ReportFetch,
    /// Claim the local endpoint.
    EndpointClaim,
    /// Read the stream of suspected content.
    SuspectsRead,
    /// Append pending notices to the stream of suspected content.
    SuspectsFlush,
    /// Probe an instance.
    Probe(ids::InstanceName),
    /// Suspect an instance if nothing was heard from it since its connection failed.
    SilenceTimeout(ids::InstanceName),
    /// Resend a message.
    Resend(u64),
    /// Process a partition: read, claim or append.
    PartitionStep(ids::Partition),
    /// Checkpoint a partition's epoch and aging programs before the log's retention expires them.
    PartitionCheckpoint(ids::Partition),
    /// A call's deadline.
    CallDeadline(ids::CallKey),
    /// Retry a call after its delay.
    CallRetry(ids::CallKey),
    /// A request's deadline, at the entry instance.
    RequestDeadline(ids::RequestId),
    /// End of the time in which the owner must accept a request.
    RequestAcceptTimeout(ids::RequestId),
    /// An attempt's deadline, at the endpoint.
    RunDeadline(ids::AttemptId),
    /// End of a hold's lease.
    HoldExpiry(ids::HoldId),
    /// Retry an unconfirmed release of a hold.
    HoldRelease(ids::HoldId),
    /// Check whether a program has been idle for too long.
    ProgramIdle(ids::ProgramId),
    /// Continue a graceful shutdown.
    DrainStep,
    /// Process the local endpoint's queue.
    QueueStep,
}

/// Timers ordered by time, with an index by timer.
#[derive(Debug)]
pub struct Timers<T = Timer> {
    by_time: collections::BTreeSet<(time::Timestamp, T)>,
    times: collections::BTreeMap<T, time::Timestamp>,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { by_time: collections::BTreeSet::new(), times: collections::BTreeMap::new() }
    }
}

impl<T: Clone + Ord> Timers<T> {
    /// Sets `timer` to `at`, replacing its earlier time.
    pub fn set(&mut self, timer: T, at: time::Timestamp) {
        self.clear(&timer);
        self.by_time.insert((at, timer.clone()));
        self.times.insert(timer, at);
    }

    /// Sets `timer` to `at` unless it is already set to that time or an earlier one.
    pub fn set_earlier(&mut self, timer: T, at: time::Timestamp) {
        if self.times.get(&timer).is_some_and(|set| *set <= at) {
            return;
        }
        self.set(timer, at);
    }

    /// Removes `timer`.
    pub fn clear(&mut self, timer: &T) {
        if let Some(at) = self.times.remove(timer) {
            self.by_time.remove(&(at, timer.clone()));
        }
    }

    /// Returns whether `timer` is set.
    pub fn is_set(&self, timer: &T) -> bool {
        self.times.contains_key(timer)
    }

    /// Returns the time of the earliest timer.
    pub fn next_due(&self) -> Option<time::Timestamp> {
        self.by_time.first().map(|(at, _)| *at)
    }

    /// Removes and returns the earliest timer that is due at `now`.
    pub fn pop_due(&mut self, now: time::Timestamp) -> Option<T> {
        if self.next_due()? > now {
            return None;
        }
        let (_, timer) = self.by_time.pop_first()?;
        self.times.remove(&timer);
        Some(timer)
    }

    /// Returns the number of timers.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// Returns whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }
}
