//! Timers of the systems.

use crate::ids;
use crate::journal;

/// Identifies a timer by its purpose and row; each exists at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A call passes its deadline.
    CallDeadline(ids::CallId),
    /// A waiting call is tried again.
    CallRetry(ids::CallId),
    /// A repeatable attempt has taken too long.
    AttemptSlow(ids::CallId, u32),
    /// A pending record is relayed to other gateways again.
    RelayRetry(journal::Key),
    /// Another gateway's request, identified by its ticket, has waited too long for the log.
    PeerRequestTimeout(u64),
    /// A failed append or read of a partition is retried.
    PartitionRetry(ids::Partition),
    /// The closed allowances of a program are settled in a record of their own.
    Settlement(ids::ProgramId),
    /// The rate limiter allows the next append.
    AppendRate,
    /// Expired turns and programs are removed.
    Expiry,
    /// Endpoints that are still missing from the list after an outage are removed.
    LapsedEndpoints,
    /// Endpoints that leave are checked.
    LeavingChecks,
    /// Other gateways are told of announcements of endpoints.
    TellNotices,
    /// Other gateways are told of survived requests, and crashes are saved.
    PublishCrashes,
    /// Refusals of unknown callers are reported.
    UnknownCallers,
    /// Other gateways are probed.
    PeerProbes,
    /// Leases are renewed, and owners asked again.
    AllowanceCheck,
    /// The pools of workspaces are refilled.
    AllowanceHeartbeat,
    /// A graceful shutdown takes its next step.
    Drain,
}
