//! What a world asks its driver to do.

use std::fmt;
use std::time;

use bytes::Bytes;

use crate::ids;
use crate::input;
use crate::journal;

/// One output of a tick.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a call's request to an endpoint; answered by one `Outcome`.
    Send(Box<Dispatch>),
    /// Stop a call's attempt; it still ends by an `Outcome`.
    Cancel(ids::CallId),
    /// Events of a call's stream may go to its caller from now on.
    ReleaseEvents(ids::CallId),
    /// Let an event of a paced stream go out only this long after the one before; none lets all that are
    /// held go out.
    SetEventInterval(Option<time::Duration>),
    /// Hand the kept answer, or the end of the stream, to the caller.
    Finish(ids::CallId),
    /// Answer a call without an endpoint's answer.
    Refuse(ids::CallId, Refusal),
    /// Append records; answered by `Appended`. One append of a partition is under way at a time.
    Append {
        /// The partition.
        partition: ids::Partition,
        /// The records, in order.
        records: Vec<journal::Record>,
    },
    /// Read a partition; answered by `Read`.
    Read {
        /// The partition.
        partition: ids::Partition,
        /// First offset.
        from: ids::Offset,
    },
    /// Entrust a record to another gateway; answered by `EntrustAnswered`.
    RelayRecord {
        /// The gateway.
        peer: ids::InstanceName,
        /// Its address.
        address: String,
        /// The record.
        record: Box<journal::Record>,
    },
    /// Answer another gateway about a record.
    AnswerRelay(u64, input::RelayAnswer),
    /// Ask another gateway for a turn; answered by `SeekAnswered`.
    LookUpTurn {
        /// The call that looks for it.
        call: ids::CallId,
        /// The gateway.
        peer: ids::InstanceName,
        /// Its address.
        address: String,
        /// The turn.
        turn: ids::TurnId,
    },
    /// Answer another gateway about a turn.
    AnswerLookup(u64, input::LookupAnswer),
    /// Whether this process takes new callers.
    Ready(bool),
    /// Close the connection of a call's caller without an answer: a stream broke off.
    Abort(ids::CallId),
    /// Nothing is left to do: the process may end.
    Stopped,
    /// Something worth a log line and a count.
    Event(Event),
}

/// A request for an endpoint.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The call.
    pub call: ids::CallId,
    /// Number of the attempt within the call.
    pub attempt: u32,
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Its address.
    pub address: String,
    /// Time that is left.
    pub timeout: time::Duration,
    /// Urgency for engines: 0 is first.
    pub urgency: Option<u8>,
    /// The parts of the body, in order.
    pub body: Vec<Bytes>,
    /// Whether the request may be sent on a connection that has been idle.
    pub repeatable: bool,
    /// Whether the answer's events wait for `Open`.
    pub gated: bool,
    /// Whether the answer's events keep to the pace, where one is set.
    pub paced: bool,
}

/// Why a call is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// When to come back, where the call did not run.
    pub retry_after: Option<time::Duration>,
}

/// Reasons, each with one meaning for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No route fits.
    NoRoute,
    /// The turn that it continues does not exist.
    NoSuchTurn,
    /// The log can't take a turn of this size.
    TooLarge,
    /// The program's budget is spent.
    BudgetSpent,
    /// It did not run and never will: nothing can take it now.
    Unavailable,
    /// Time ran out, and it may have run.
    TimedOut,
    /// The endpoint's answer was lost, and it may have run.
    Lost,
}

impl Reason {
    /// The word for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::NoRoute => "no_route",
            Reason::NoSuchTurn => "no_such_turn",
            Reason::TooLarge => "too_large",
            Reason::BudgetSpent => "budget_spent",
            Reason::Unavailable => "unavailable",
            Reason::TimedOut => "timed_out",
            Reason::Lost => "lost",
        }
    }
}

/// Something worth a log line: a name and `key=value` pairs.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Name of the event.
    pub name: &'static str,
    /// The pairs as one text.
    pub detail: String,
}

impl Event {
    /// An event with its pairs.
    pub fn new(name: &'static str, detail: fmt::Arguments<'_>) -> Self {
        Event { name, detail: detail.to_string() }
    }
}
