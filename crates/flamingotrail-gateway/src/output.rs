//! Outputs of a gateway's decision logic: instructions for the runtime that drives it.

use std::fmt;
use std::time;

use bytes::Bytes;

use crate::ids;
use crate::input;
use crate::journal;
use crate::leases;

/// An output of a tick.
#[derive(Clone, Debug)]
pub enum Output {
    /// Sends a call's request to an endpoint; results in one `Input::Outcome`.
    Send(Box<Dispatch>),
    /// Cancels a call's attempt, which still results in an `Input::Outcome`.
    Cancel(ids::CallId),
    /// Forwards the events of a call's stream to its caller from now on.
    ReleaseEvents(ids::CallId),
    /// Sets the minimum interval between two events of each paced stream; `None` forwards all held
    /// events at once.
    SetEventInterval(Option<time::Duration>),
    /// Sends the held response, or the end of the stream, to the caller.
    Finish(ids::CallId),
    /// Responds to a call with a refusal in place of an endpoint's response.
    Refuse(ids::CallId, Refusal),
    /// Appends records; results in one `Input::Appended`. Each partition has at most one append at
    /// a time.
    Append {
        /// Partition to append to.
        partition: ids::Partition,
        /// Records to append, in order.
        records: Vec<journal::Record>,
    },
    /// Reads records; results in one `Input::Read`.
    Read {
        /// Partition to read.
        partition: ids::Partition,
        /// Offset of the first record to read.
        from: ids::Offset,
    },
    /// Asks another gateway to append a record; results in one `Input::RelayFinished`.
    RelayRecord {
        /// Gateway to ask.
        peer: ids::InstanceName,
        /// Address of that gateway.
        address: String,
        /// Record to append.
        record: Box<journal::Record>,
    },
    /// Checks the health of an endpoint; results in one `Input::EndpointChecked`.
    CheckEndpoint {
        /// Endpoint to check.
        endpoint: ids::EndpointId,
        /// Address of the endpoint.
        address: String,
        /// Path of the health check.
        path: String,
    },
    /// Tells another gateway of announcements of endpoints, without confirmation.
    TellNotices {
        /// Gateway to tell.
        peer: ids::InstanceName,
        /// Address of that gateway.
        address: String,
        /// The announcements.
        notices: Vec<input::PeerNotice>,
    },
    /// Asks another gateway for the announcements of endpoints that it knows; results in at most one
    /// `Input::PeerNotices`.
    AskNotices {
        /// Gateway to ask.
        peer: ids::InstanceName,
        /// Address of that gateway.
        address: String,
    },
    /// Responds to the `Input::NoticesRequested` that has this ticket.
    RespondToNotices(u64, Vec<input::PeerNotice>),
    /// Tells another gateway of endpoints that were crashed by a request, without confirmation.
    TellCrashes {
        /// Gateway to tell.
        peer: ids::InstanceName,
        /// Address of that gateway.
        address: String,
        /// The crashes.
        crashes: Vec<input::PeerCrash>,
    },
    /// Tells another gateway of requests that endpoints have survived, without confirmation.
    TellSurvivals {
        /// Gateway to tell.
        peer: ids::InstanceName,
        /// Address of that gateway.
        address: String,
        /// The requests.
        survivals: Vec<ids::Fingerprint>,
    },
    /// Saves what this gateway knows of requests that crash endpoints, in place of what it has saved
    /// before; results in one `Input::CrashesSaved`.
    SaveCrashes(input::CrashRecord),
    /// Asks another gateway for the crashes that it knows; results in at most one
    /// `Input::KnownCrashes`.
    AskCrashes {
        /// Gateway to ask.
        peer: ids::InstanceName,
        /// Address of that gateway.
        address: String,
    },
    /// Responds to the `Input::CrashesRequested` that has this ticket.
    RespondToCrashes(u64, Vec<input::PeerCrash>),
    /// Asks the owner of workspaces for leases and units; results in one `Input::AllowancesAnswered`.
    AskAllowances {
        /// Gateway to ask.
        peer: ids::InstanceName,
        /// Address of that gateway.
        address: String,
        /// The request.
        request: Box<leases::Request>,
    },
    /// Responds to the `Input::AllowancesRequested` that has this ticket.
    RespondToAllowances(u64, leases::Answer),
    /// Asks another gateway which leases it holds; results in one `Input::HoldingsReported`.
    AskHoldings {
        /// Gateway to ask.
        peer: ids::InstanceName,
        /// Address of that gateway.
        address: String,
        /// This gateway.
        owner: ids::InstanceName,
        /// Why it asks.
        question: leases::Question,
    },
    /// Responds to the `Input::HoldingsRequested` that has this ticket.
    RespondToHoldings(u64, leases::Holdings),
    /// Probes another gateway; results in one `Input::PeerProbed`.
    ProbePeer {
        /// Gateway to probe.
        peer: ids::InstanceName,
        /// Address of that gateway.
        address: String,
    },
    /// Removes a gateway that has ended from the list of gateways.
    RemovePeer(ids::InstanceName),
    /// Responds to the `Input::RelayRequested` that has this ticket.
    RespondToRelay(u64, input::RelayResponse),
    /// Asks another gateway for a turn; results in one `Input::LookupFinished`.
    LookUpTurn {
        /// Call that needs the turn.
        call: ids::CallId,
        /// Gateway to ask.
        peer: ids::InstanceName,
        /// Address of that gateway.
        address: String,
        /// Turn to look up.
        turn: ids::TurnId,
    },
    /// Responds to the `Input::LookupRequested` that has this ticket.
    RespondToLookup(u64, input::LookupResponse),
    /// Reports whether this gateway accepts new calls.
    Ready(bool),
    /// Closes a caller's connection before the end of its response, because the endpoint's
    /// stream broke off.
    Abort(ids::CallId),
    /// Reports that the shutdown is complete and the process may exit, at the latest after `time_left`.
    /// Requests that are being received until then are refused.
    Stopped {
        /// Rest of the time that the process may take.
        time_left: time::Duration,
    },
    /// Writes a log line and increments the counter of the event's name.
    Event(Event),
    /// Increments the counter of an event of this name, without a log line.
    Count(&'static str),
    /// Counts a call of a workspace that has an allowance, by what became of it.
    CountCall(ids::WorkspaceName, &'static str),
}

/// A request to send to an endpoint.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Call that the request belongs to.
    pub call: ids::CallId,
    /// Sequence number of the attempt within the call.
    pub attempt: u32,
    /// Endpoint to send to.
    pub endpoint: ids::EndpointId,
    /// Address of the endpoint.
    pub address: String,
    /// Remaining time of the call.
    pub timeout: time::Duration,
    /// Scheduling priority for engines, 0 being the highest; `None` for plain services.
    pub urgency: Option<u8>,
    /// Workspace of the caller, which the endpoint is told.
    pub workspace: Option<ids::WorkspaceName>,
    /// Whether the caller's credentials are kept from the endpoint, because they are meant for the
    /// gateway.
    pub hides_credentials: bool,
    /// Parts of the body, in order.
    pub body: Vec<Bytes>,
    /// Whether the request may be repeated, and therefore sent on a connection that has been idle
    /// for so long that the endpoint may have closed it.
    pub repeatable: bool,
    /// Whether the route's responses are streams.
    pub is_stream: bool,
    /// Whether the response's events are held until `Output::ReleaseEvents`.
    pub gated: bool,
    /// Maximum number of events of the response; `None` if the request does not limit them.
    pub max_events: Option<u64>,
    /// Whether the data of the stream's events is needed for the history of the turn.
    pub keeps_output: bool,
    /// Id of the last event that the caller has or that is held for it; the response continues
    /// after it.
    pub resume_after: Option<u64>,
    /// Whether `Output::SetEventInterval` applies to the response's events.
    pub paced: bool,
}

/// A refusal of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the call is refused.
    pub reason: Reason,
    /// Delay before the caller should retry; only set if the call did not run.
    pub retry_after: Option<time::Duration>,
}

/// Why a call is refused. Each reason has a single meaning for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No route matches the request.
    NoRoute,
    /// The caller presented no key of a workspace.
    Unauthorized,
    /// The workspace has used its allowance; the call did not run and will not run.
    OverAllowance,
    /// The turn that the request continues does not exist.
    NoSuchTurn,
    /// The turn is too large for a record of the log.
    TooLarge,
    /// The request names no event after which its stream could be resumed.
    InvalidResume,
    /// The program's budget is spent.
    BudgetSpent,
    /// Nothing can serve the call at the moment; it did not run and will not run.
    Unavailable,
    /// Requests like this one have crashed endpoints; it did not run and will not run.
    Quarantined,
    /// The deadline has passed; the call may have run.
    TimedOut,
    /// The endpoint's response was lost; the call may have run.
    Lost,
}

impl Reason {
    /// Returns the name of the reason as it is written to log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::NoRoute => "no_route",
            Reason::Unauthorized => "unauthorized",
            Reason::OverAllowance => "over_allowance",
            Reason::NoSuchTurn => "no_such_turn",
            Reason::TooLarge => "too_large",
            Reason::InvalidResume => "invalid_resume",
            Reason::BudgetSpent => "budget_spent",
            Reason::Unavailable => "unavailable",
            Reason::Quarantined => "quarantined",
            Reason::TimedOut => "timed_out",
            Reason::Lost => "lost",
        }
    }
}

/// An event to log: a name and `key=value` pairs.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Name of the event.
    pub name: &'static str,
    /// Space-separated `key=value` pairs.
    pub detail: String,
}

impl Event {
    /// Creates an event from its name and its `key=value` pairs.
    pub fn new(name: &'static str, detail: fmt::Arguments<'_>) -> Self {
        Event { name, detail: detail.to_string() }
    }
}
