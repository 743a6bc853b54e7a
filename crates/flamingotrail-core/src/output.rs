//! What a world asks its driver to do.

use std::time;

use crate::ids;
use crate::journal;
use crate::messages;

/// One output of a tick.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to another process. It may get lost.
    Send {
        /// Instance name of the receiver.
        to: ids::InstanceName,
        /// The message in its envelope.
        envelope: messages::Envelope,
    },
    /// Append an entry; answered by `Appended`.
    Append {
        /// The stream.
        stream: ids::StreamName,
        /// The entry.
        entry: journal::Entry,
    },
    /// Read a stream; answered by `Read`.
    Read {
        /// The stream.
        stream: ids::StreamName,
        /// First offset.
        from: ids::Offset,
        /// How long to wait for an entry when there is none.
        wait: time::Duration,
    },
    /// Fetch the platform's list; answered by `List`.
    FetchInstanceList,
    /// Run an attempt on the own endpoint; answered by `AttemptEnded`. Text goes to `owner`.
    Execute {
        /// Who dispatched it.
        owner: ids::InstanceName,
        /// The attempt.
        dispatch: Box<messages::Dispatch>,
        /// Fencing number; none before the endpoint was claimed.
        fence: Option<ids::FencingToken>,
    },
    /// Stop an attempt on the own endpoint; it still ends by `AttemptEnded`.
    Abort(ids::AttemptId),
    /// Ask the own endpoint for a report; answered by `Report`.
    FetchEndpointReport,
    /// Order the own endpoint to let go of cached context; answered by `OrderEnded`.
    ReleaseHold {
        /// The hold.
        hold: ids::HoldId,
        /// Fencing number.
        fence: Option<ids::FencingToken>,
    },
    /// Relay the text of an attempt to the entry that has the caller.
    RouteText {
        /// The attempt.
        attempt: ids::AttemptId,
        /// The entry.
        entry: ids::InstanceName,
        /// The request.
        request: ids::RequestId,
        /// Text before the attempt's own.
        prefix: String,
    },
    /// Forget the route of an attempt.
    UnrouteText(ids::AttemptId),
    /// Hand in the text of an attempt so far; answered by `Partial`.
    FetchPartialText(ids::AttemptId),
    /// Hand in the text that a caller has so far; answered by `Delivered`.
    FetchDeliveredText(ids::RequestId),
    /// The ids under which a request runs, before its answer.
    Admitted {
        /// The request.
        request: ids::RequestId,
        /// The program.
        program: ids::ProgramId,
        /// The conversation.
        conversation: ids::ConversationId,
    },
    /// Answer a caller.
    Respond(Box<messages::Reply>),
    /// Something worth a log line and a count.
    Event(Event),
    /// A figure for the metrics.
    Metric(Metric),
    /// Nothing is left to do after a drain.
    Stopped,
}

/// Something worth a log line and a count.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Stable name.
    pub name: &'static str,
    /// What it is about.
    pub about: String,
    /// More, in words.
    pub detail: String,
}

impl Event {
    /// An event `name` about `about`.
    pub fn new(name: &'static str, about: impl ToString, detail: impl ToString) -> Self {
        Event { name, about: about.to_string(), detail: detail.to_string() }
    }
}

/// A figure for the metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Metric {
    /// A program ended this many seconds after it started here.
    ProgramSeconds(f64),
    /// Prompt tokens were computed again, though an engine had held them.
    WastedCacheTokens(u64),
}
