//! Placement policy: ranks the endpoints that may run a call.

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::input;
use crate::tables::endpoints;
use crate::tables::service_profiles;

/// Properties of a call that placement depends on.
pub struct Request<'a> {
    /// Parts of the prompt, in order.
    pub prompt: &'a [input::PromptPart],
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Endpoint that ran the turn which the call continues.
    pub previous: Option<&'a ids::EndpointId>,
    /// Whether the candidates are model engines.
    pub is_engine: bool,
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
}

/// Estimates how well an endpoint suits a call.
pub trait Placement: Send {
    /// Returns the expected time in milliseconds until the response of `candidate` begins.
    fn cost(&self, request: &Request<'_>, candidate: &Candidate<'_>) -> f64;
}

/// Sums the expected components of the delay until the response begins.
pub struct ExpectedDelay;

/// Share of an engine's slots whose requests the prefill of a prompt delays: half are in use on
/// average.
const DELAYED_SLOT_SHARE: f64 = 0.5;
/// Slowness up to which an endpoint is not penalized.
const SLOWNESS_TOLERANCE: f64 = 1.5;
/// Penalty for an endpoint that is still slow after its start, as a share of the mean duration of a
/// call.
const COLD_START_SHARE: f64 = 0.5;

impl Placement for ExpectedDelay {
    fn cost(&self, request: &Request<'_>, candidate: &Candidate<'_>) -> f64 {
        let row = candidate.row;
        let profile = &request.profile;
        let load = expected_load(row, profile.duration_ms, request.now);
        let slots = f64::from(row.listed.slots.max(1));
        let waiting = (load + 1.0 - slots).max(0.0);
        let uncached = uncached_tokens(request, candidate) as f64;
        let prefill_weight = (slots * DELAYED_SLOT_SHARE).max(1.0);
        let mut cost = uncached * profile.token_ms * prefill_weight
            + load * profile.request_ms
            + waiting * profile.duration_ms / slots
            + candidate.way_ms;
        cost += profile.duration_ms * (row.slowness(request.now) - SLOWNESS_TOLERANCE).max(0.0);
        if !row.listed.cold_start_remaining.is_zero() {
            cost += profile.duration_ms * COLD_START_SHARE;
        }
        cost
    }
}

/// Returns the number of tokens of the prompt that `candidate` probably has not cached; 0 for plain
/// services.
pub fn uncached_tokens(request: &Request<'_>, candidate: &Candidate<'_>) -> u64 {
    if !request.is_engine {
        return 0;
    }
    request.prompt_tokens.saturating_sub(cached_tokens(request, candidate))
}

/// Returns the number of tokens at the start of the prompt that `candidate` probably has cached.
fn cached_tokens(request: &Request<'_>, candidate: &Candidate<'_>) -> u64 {
    let known = candidate.row.cached_tokens(request.prompt);
    if request.previous != Some(candidate.id) {
        return known;
    }
    // The endpoint has processed all but the new input, possibly on behalf of another gateway.
    let earlier = request.prompt.split_last().map_or(&[][..], |(_, earlier)| earlier);
    known.max(earlier.iter().map(|part| part.tokens).sum())
}

/// Estimates the number of requests that run or wait at an endpoint: the load that it reported,
/// with exponentially decaying weight, plus the attempts sent since; at least this gateway's own
/// attempts. The requests of a report end as fast as calls do, `duration_ms` on average.
pub fn expected_load(
    row: &endpoints::Endpoint,
    duration_ms: f64,
    now: core_time::Timestamp,
) -> f64 {
    let in_flight = f64::from(row.in_flight);
    let Some((at, load)) = row.load else { return in_flight };
    let age_ms = now.since(at).as_secs_f64() * 1000.0;
    let weight = 0.5_f64.powf(age_ms / duration_ms);
    let reported = f64::from(load.running + load.waiting) * weight + f64::from(row.sent_since_load);
    reported.max(in_flight)
}
