//! Outputs of a world: actions that its driver performs.

use std::time;

use crate::ids;
use crate::journal;
use crate::messages;

/// One output of a tick.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to another instance. Delivery is not guaranteed.
    Send {
        /// Name of the receiving instance.
        to: ids::InstanceName,
        /// The message in its envelope.
        envelope: messages::Envelope,
    },
    /// Append an entry to the log. Results in
    /// [`Input::AppendCompleted`](crate::input::Input::AppendCompleted).
    Append {
        /// The stream.
        stream: ids::StreamName,
        /// The entry.
        entry: journal::Entry,
    },
    /// Read entries of a stream. Results in
    /// [`Input::ReadCompleted`](crate::input::Input::ReadCompleted).
    Read {
        /// The stream.
        stream: ids::StreamName,
        /// Offset of the first entry to read.
        from: ids::Offset,
        /// How long the read waits for a new entry if there is none.
        wait: time::Duration,
    },
    /// Fetch the platform's list of instances. Results in
    /// [`Input::InstanceList`](crate::input::Input::InstanceList).
    FetchInstanceList,
    /// Run an attempt on the local endpoint and stream its text to `owner`. Results in
    /// [`Input::AttemptEnded`](crate::input::Input::AttemptEnded).
    Execute {
        /// The owner that dispatched the attempt.
        owner: ids::InstanceName,
        /// The attempt.
        dispatch: Box<messages::Dispatch>,
        /// Fencing token; `None` until this instance has claimed the endpoint.
        fencing_token: Option<ids::FencingToken>,
    },
    /// Abort an attempt on the local endpoint. It still ends with
    /// [`Input::AttemptEnded`](crate::input::Input::AttemptEnded).
    Abort(ids::AttemptId),
    /// Request a status report of the local endpoint. Results in
    /// [`Input::EndpointReport`](crate::input::Input::EndpointReport).
    FetchEndpointReport,
    /// Release cached context at the local endpoint. Results in
    /// [`Input::ReleaseCompleted`](crate::input::Input::ReleaseCompleted).
    ReleaseHold {
        /// The hold.
        hold: ids::HoldId,
        /// Fencing token; `None` until this instance has claimed the endpoint.
        fencing_token: Option<ids::FencingToken>,
    },
    /// Relay the text of an attempt to the entry instance that serves the caller.
    RouteText {
        /// The attempt.
        attempt: ids::AttemptId,
        /// Name of the entry instance.
        entry: ids::InstanceName,
        /// The request.
        request: ids::RequestId,
        /// Text of earlier attempts, which precedes the text of this one.
        prefix: String,
    },
    /// Stop relaying the text of an attempt and discard it.
    UnrouteText(ids::AttemptId),
    /// Fetch the text of an attempt received so far. Results in
    /// [`Input::PartialText`](crate::input::Input::PartialText).
    FetchPartialText(ids::AttemptId),
    /// Fetch the text that a caller has received so far. Results in
    /// [`Input::DeliveredText`](crate::input::Input::DeliveredText).
    FetchDeliveredText(ids::RequestId),
    /// The request was admitted under these ids; emitted before its response.
    Admitted {
        /// The request.
        request: ids::RequestId,
        /// The program.
        program: ids::ProgramId,
        /// The conversation.
        conversation: ids::ConversationId,
    },
    /// Send the final response to a caller.
    Respond(Box<messages::Reply>),
    /// Log and count an event.
    Event(Event),
    /// Record a metric.
    Metric(Metric),
    /// The graceful shutdown is complete.
    Stopped,
}

/// An event that is logged and counted.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Stable name of the event.
    pub name: &'static str,
    /// The id or name of the object that the event concerns.
    pub about: String,
    /// Further details as free text.
    pub detail: String,
}

impl Event {
    /// Creates an event.
    pub fn new(name: &'static str, about: impl ToString, detail: impl ToString) -> Self {
        Event { name, about: about.to_string(), detail: detail.to_string() }
    }
}

/// A value for the metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Metric {
    /// Seconds from the start of a program, as known to this instance, to its end.
    ProgramSeconds(f64),
    /// Number of prompt tokens computed again although an engine had cached them.
    WastedCacheTokens(u64),
}
