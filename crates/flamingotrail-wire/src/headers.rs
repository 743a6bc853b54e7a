//! Names of the HTTP headers that callers and answers use.

/// Program; a new one is started without it.
pub const PROGRAM: &str = "x-flamingotrail-program";
/// Parent program of a new sub-agent's program.
pub const PARENT: &str = "x-flamingotrail-parent";
/// Conversation; a new one is started without it.
pub const CONVERSATION: &str = "x-flamingotrail-conversation";
/// Turn within the conversation, from 1.
pub const TURN: &str = "x-flamingotrail-turn";
/// Time until the deadline, in milliseconds.
pub const DEADLINE_MS: &str = "x-flamingotrail-deadline-ms";
/// Most cost units that the call may spend.
pub const COST_BOUND: &str = "x-flamingotrail-cost-bound";
/// Idempotency key.
pub const IDEMPOTENCY_KEY: &str = "x-flamingotrail-idempotency-key";
/// Continuation that the caller carries.
pub const CONTINUATION: &str = "x-flamingotrail-continuation";
/// Where earlier turns come from: `full` or `journal`; a continuation speaks for itself.
pub const HISTORY: &str = "x-flamingotrail-history";
/// Outcome: `done`, `not_run` or `unknown`.
pub const OUTCOME: &str = "x-flamingotrail-outcome";
/// Reason of an outcome that is not `done`.
pub const REASON: &str = "x-flamingotrail-reason";
/// Attempts made.
pub const ATTEMPTS: &str = "x-flamingotrail-attempts";
/// Fencing number of an order to an engine.
pub const FENCE: &str = "x-flamingotrail-fence";
