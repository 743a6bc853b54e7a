//! The memory of an engine that requests probably use, and what it costs to exceed it.
//!
//! Cached parts don't count: an engine evicts them before it preempts a request.

use crate::policy;
use crate::tables::service_profiles;

/// Ratio of the scale of a logistic distribution to its standard deviation. The error of the expected
/// memory is taken as logistic, whose expected excess has a closed form.
const LOGISTIC_SCALE: f64 = 0.551;
/// Smallest scale of the error, in tokens.
const MIN_SCALE_TOKENS: f64 = 1.0;
/// Ratio of an excess to the scale of its error above which the excess is certain.
const CERTAIN_RATIO: f64 = 30.0;

/// Expected use of an engine's memory if it ran the call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryUse {
    /// Tokens of the requests that would run at the same time, with the call.
    pub tokens: f64,
    /// Standard deviation of these tokens.
    pub deviation: f64,
}

/// Returns the expected use of the memory of `candidate`, which has `load` requests, if it ran the
/// call: this gateway's attempts by their tokens, the others by the mean of the service.
pub fn expected_use(
    request: &policy::Request<'_>,
    candidate: &policy::Candidate<'_>,
    load: f64,
) -> MemoryUse {
    let row = candidate.row;
    let profile = &request.profile;
    let others = (load - f64::from(row.in_flight)).max(0.0);
    let present = row.own_attempts.tokens() as f64 + others * profile.call_tokens;
    // Requests that wait for a slot hold no memory.
    let other_slots = f64::from(row.listed.slots.max(1)) - 1.0;
    let running_share = if load > other_slots { other_slots / load } else { 1.0 };
    MemoryUse {
        tokens: present * running_share + request.call_tokens as f64,
        deviation: profile.call_tokens_deviation * (others * running_share).sqrt(),
    }
}

/// Returns the time in milliseconds that requests are expected to lose by preemptions: the engine
/// reads a preempted request again, which delays the `delayed` others, and the request waits for
/// another one to end.
pub fn preemption_ms(
    memory_use: &MemoryUse,
    memory_tokens: u64,
    profile: &service_profiles::Profile,
    delayed: f64,
) -> f64 {
    let excess = expected_excess(memory_use, memory_tokens as f64);
    let preempted = excess / profile.call_tokens.max(1.0);
    preempted * (profile.call_tokens * profile.token_ms * delayed + profile.duration_ms)
}

/// Returns the expected number of tokens beyond `memory`.
fn expected_excess(memory_use: &MemoryUse, memory: f64) -> f64 {
    let scale = (memory_use.deviation * LOGISTIC_SCALE).max(MIN_SCALE_TOKENS);
    let ratio = (memory_use.tokens - memory) / scale;
    if ratio > CERTAIN_RATIO {
        return memory_use.tokens - memory;
    }
    scale * ratio.exp().ln_1p()
}
