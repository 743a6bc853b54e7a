//! Placement policy: ranks the endpoints that may run a call.
//!
//! Each module estimates one component of the cost. A component whose input a deployment neither
//! configures nor reports is 0.

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::input;
use crate::tables::endpoints;
use crate::tables::service_profiles;

pub mod affinity;
pub mod choice;
pub mod load;
pub mod memory;
pub mod prompts;
pub mod reads;

/// Properties of a call that placement depends on.
pub struct Request<'a> {
    /// Parts of the prompt, in order.
    pub prompt: &'a [input::PromptPart],
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens of the prompt and of the longest output.
    pub call_tokens: u64,
    /// Endpoint that ran the turn which the call continues.
    pub previous: Option<&'a ids::EndpointId>,
    /// Object that the call concerns, if endpoints that have lately handled it are faster.
    pub affinity: Option<u64>,
    /// Whether the candidates are model engines.
    pub is_engine: bool,
    /// Memory of an engine in tokens; `None` if it is not configured.
    pub memory_tokens: Option<u64>,
    /// Measured performance of the service's endpoints.
    pub profile: service_profiles::Profile,
    /// Current time.
    pub now: core_time::Timestamp,
}

/// An endpoint that may run a call.
pub struct Candidate<'a> {
    /// Id of the endpoint.
    pub id: &'a ids::EndpointId,
    /// Row of the endpoint.
    pub row: &'a endpoints::Endpoint,
    /// Expected round-trip time to the endpoint, in milliseconds.
    pub way_ms: f64,
    /// Whether the endpoint limits its requests.
    pub is_limited: bool,
}

/// Estimates how well an endpoint suits a call.
pub trait Placement: Send {
    /// Returns the expected time in milliseconds until the response of `candidate` begins.
    fn cost(&self, request: &Request<'_>, candidate: &Candidate<'_>) -> f64;
}

/// Sums the expected components of the delay until the response begins.
pub struct ExpectedDelay;

/// Slowness up to which an endpoint is not penalized.
const SLOWNESS_TOLERANCE: f64 = 1.5;
/// Penalty for an endpoint that is still slow after its start, as a share of the mean duration of a
/// call.
const COLD_START_SHARE: f64 = 0.5;

impl Placement for ExpectedDelay {
    fn cost(&self, request: &Request<'_>, candidate: &Candidate<'_>) -> f64 {
        let row = candidate.row;
        let profile = &request.profile;
        let load = load::expected_load(row, profile.duration_ms, request.now);
        let slots = f64::from(row.listed.slots.max(1));
        let waiting = (load + 1.0 - slots).max(0.0);
        let uncached = prompts::uncached_tokens(request, candidate) as f64;
        // The prefill of a prompt delays the requests that run beside it, and the call itself.
        let delayed = 1.0 + load.min(slots - 1.0);
        let left_ms = reads::left_ms(row, profile.token_ms, request.now);
        let slowdown = row.slowdown.factor(profile.slowdown, request.now);
        let mut cost = (uncached * profile.token_ms * delayed
            + left_ms
            + load * profile.request_ms
            + waiting * profile.duration_ms / slots)
            * slowdown
            + candidate.way_ms;
        if let Some(memory_tokens) = request.memory_tokens {
            let memory_use = memory::expected_use(request, candidate, load);
            cost += memory::preemption_ms(&memory_use, memory_tokens, profile, delayed);
        }
        // The endpoint's report and its measured times tell of the same slowness.
        let slowness = (row.slowness(request.now) - SLOWNESS_TOLERANCE).max(0.0);
        let extra_ms = row.slowdown.extra_ms(profile.duration_ms, profile.slowdown, request.now);
        cost += (profile.duration_ms * slowness).max(extra_ms);
        if !row.listed.cold_start_remaining.is_zero() {
            cost += profile.duration_ms * COLD_START_SHARE;
        }
        cost - affinity::saving_ms(request, candidate, load)
    }
}
