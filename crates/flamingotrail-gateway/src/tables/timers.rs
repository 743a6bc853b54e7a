//! When rows are due again.

use crate::ids;
use crate::journal;

/// What a timer is for. One timer of a kind and row exists at most.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A call runs out of time.
    CallDeadline(ids::CallId),
    /// A call may be placed again.
    CallRetry(ids::CallId),
    /// An attempt that may be repeated has taken too long.
    AttemptSlow(ids::CallId, u32),
    /// A record may be offered to other gateways again.
    RelayRetry(journal::Key),
    /// Another gateway has waited for the log's word for too long.
    PeerRequestTimeout(u64),
    /// A partition's append or read may be repeated.
    Partition(ids::Partition),
    /// The log may have to be told of a program's turns that are over.
    Settlement(ids::ProgramId),
    /// Appends may go on.
    AppendRate,
    /// Turns and programs may have expired.
    Expiry,
    /// Endpoints that left the list while it could not be read are dropped.
    LapsedEndpoints,
    /// Next step of a graceful shutdown.
    Drain,
}
