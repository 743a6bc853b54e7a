//! Wire types for requested operations and their outcomes.

use flamingotrail_core::work;

use crate::errors;
use crate::history;
use crate::ids;

wire_enum!(
    /// The operation that a call requests.
    Work, work::Work {
        Model { model: one ids::Name, max_tokens: one u32, messages: many history::Message, },
        Service { service: one ids::Name, operation: one String, body: one String, },
        EndProgram,
    }
);
wire_struct!(
    /// Token usage of one attempt, as reported by the endpoint.
    Usage, work::Usage { prompt_tokens: one u32, cached_tokens: one u32, completion_tokens: one u32, }
);
wire_enum!(
    /// Why a complete response ended.
    FinishReason, work::FinishReason { Stop, Length, Budget, }
);
wire_struct!(
    /// A complete response of an endpoint.
    Response, work::Response {
        text: one String,
        status: one u16,
        usage: one Usage,
        finish: one FinishReason,
    }
);
wire_enum!(
    /// Outcome of a call.
    Outcome, work::Outcome {
        Done(response: one Response),
        NotRun(refusal: one errors::Refusal),
        Unknown(reason: one errors::UnknownReason),
    }
);
wire_enum!(
    /// Outcome of one attempt at an endpoint.
    AttemptOutcome, work::AttemptOutcome {
        Answered(response: one Response),
        NotRun(refusal: one errors::Refusal),
        Broken { partial: one String, endpoint_crashed: one bool, },
    }
);
