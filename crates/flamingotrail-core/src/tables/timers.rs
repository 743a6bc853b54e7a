//! When rows are due again.

use std::collections;

use crate::ids;
use crate::time;

/// What a timer is for. One timer of a kind and row exists at most.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Fetch the platform's list.
    ListFetch,
    /// Read the configuration stream.
    ConfigRead,
    /// Ask peers for the configuration.
    ConfigAsk,
    /// Carry the configuration forward.
    ConfigRewrite,
    /// Fetch a report of the own endpoint.
    ReportFetch,
    /// Claim the own endpoint.
    EndpointClaim,
    /// Read the stream of suspects.
    SuspectsRead,
    /// Write or read suspects.
    SuspectsFlush,
    /// Probe a process.
    Probe(ids::InstanceName),
    /// A process has been silent for too long.
    SilenceTimeout(ids::InstanceName),
    /// Send a message again.
    Resend(u64),
    /// A partition's next step: read, claim or append.
    PartitionStep(ids::Partition),
    /// A partition's rows are to be carried forward.
    PartitionRewrite(ids::Partition),
    /// Deadline of a call.
    CallDeadline(ids::CallKey),
    /// A call may be placed again.
    CallRetry(ids::CallKey),
    /// Deadline of an entry's request.
    RequestDeadline(ids::RequestId),
    /// The owner has not taken a request.
    RequestAcceptTimeout(ids::RequestId),
    /// Deadline of a queued attempt.
    RunDeadline(ids::AttemptId),
    /// A hold's lease ends.
    HoldExpiry(ids::HoldId),
    /// An order to release a hold is to be repeated.
    HoldRelease(ids::HoldId),
    /// A program has been idle.
    ProgramIdle(ids::ProgramId),
    /// Next step of a graceful shutdown.
    DrainStep,
    /// The queue of the own endpoint may move on.
    QueueStep,
}

/// Timers by time, with the time of each.
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

    /// Sets `timer` to `at` unless it is set to an earlier time.
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

    /// Whether `timer` is set.
    pub fn is_set(&self, timer: &T) -> bool {
        self.times.contains_key(timer)
    }

    /// The earliest time that is set.
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

    /// Number of timers.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }
}
