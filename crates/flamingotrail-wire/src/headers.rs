//! Names of HTTP headers in callers' requests, their responses, and requests to engines.

/// Id of the program; a request without it starts a new program.
pub const PROGRAM: &str = "x-flamingotrail-program";
/// Id of the parent program, for the first call of a sub-agent.
pub const PARENT: &str = "x-flamingotrail-parent";
/// Id of the conversation; a request without it starts a new conversation.
pub const CONVERSATION: &str = "x-flamingotrail-conversation";
/// Turn number within the conversation, from 1.
pub const TURN: &str = "x-flamingotrail-turn";
/// Time left until the deadline, in milliseconds.
pub const DEADLINE_MS: &str = "x-flamingotrail-deadline-ms";
/// Maximum cost of the call, in cost units.
pub const COST_BOUND: &str = "x-flamingotrail-cost-bound";
/// Idempotency key of the call.
pub const IDEMPOTENCY_KEY: &str = "x-flamingotrail-idempotency-key";
/// Continuation from the conversation's previous response.
pub const CONTINUATION: &str = "x-flamingotrail-continuation";
/// How the caller supplies earlier turns, `full` or `journal`; ignored with a continuation.
pub const HISTORY: &str = "x-flamingotrail-history";
/// Outcome of the call: `done`, `not_run` or `unknown`.
pub const OUTCOME: &str = "x-flamingotrail-outcome";
/// Identifier of the reason, if the outcome is not `done`.
pub const REASON: &str = "x-flamingotrail-reason";
/// Number of attempts made.
pub const ATTEMPTS: &str = "x-flamingotrail-attempts";
/// Fencing token of a request to an endpoint.
pub const FENCE: &str = "x-flamingotrail-fence";
