//! Placement policy: ranks the endpoints that may run a call.

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::input;
use crate::tables::endpoints;

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
    /// Region of this gateway.
    pub region: &'a ids::RegionName,
    /// Failure domain of this gateway.
    pub domain: &'a ids::DomainName,
    /// Current time.
    pub now: core_time::Timestamp,
}

/// An endpoint that may run a call.
pub struct Candidate<'a> {
    /// Id of the endpoint.
    pub id: &'a ids::EndpointId,
    /// Row of the endpoint.
    pub row: &'a endpoints::Endpoint,
    /// Region of the endpoint; `None` if its failure domain has no known region.
    pub region: Option<&'a ids::RegionName>,
}

/// Estimates how well an endpoint suits a call.
pub trait Placement: Send {
    /// Returns the expected time in milliseconds until the response of `candidate` begins.
    fn cost(&self, request: &Request<'_>, candidate: &Candidate<'_>) -> f64;
}

/// Sums the expected components of the delay until the response begins.
pub struct ExpectedDelay;

/// Round-trip time to an endpoint in another region, in milliseconds: twice the one-way delay of
/// the users' links.
const OTHER_REGION_MS: f64 = 60.0;
/// Round-trip time to another failure domain of the region, in milliseconds. The one-way delay of
/// the users' links is 0.5 to 0.9 ms.
const OTHER_DOMAIN_MS: f64 = 2.0;
/// Prefill rate of an engine, in prompt tokens per millisecond, from the users' workload
/// descriptions.
const PREFILL_TOKENS_PER_MS: f64 = 64.8;
/// Weight of the prefill time. Prefill delays the other requests of the engine's batch; the weight
/// is half of the 16 requests that the users' engines run concurrently.
const PREFILL_WEIGHT: f64 = 8.0;
/// Delay that each request running on an engine adds to the next one, in milliseconds: its share of
/// a decoding step, and of the prefill of its prompt between steps.
const ENGINE_DELAY_PER_REQUEST_MS: f64 = 4.0;
/// Time for which a request occupies a slot of an engine, in milliseconds.
const ENGINE_SLOT_TIME_MS: f64 = 300.0;
/// Time for which a request occupies a slot of a plain service, in milliseconds: the mean of the
/// users' workload descriptions.
const SERVICE_SLOT_TIME_MS: f64 = 60.0;
/// Delay that each request running on a plain service adds to the next one, in milliseconds.
const SERVICE_DELAY_PER_REQUEST_MS: f64 = 2.0;
/// Slowness up to which an endpoint is not penalized.
const SLOWNESS_TOLERANCE: f64 = 1.5;
/// Penalty for an endpoint that is still slow after its start, in milliseconds.
const COLD_START_PENALTY_MS: f64 = 100.0;
/// Half-life of the weight of a reported load, in milliseconds.
const LOAD_HALF_LIFE_MS: f64 = 300.0;

impl Placement for ExpectedDelay {
    fn cost(&self, request: &Request<'_>, candidate: &Candidate<'_>) -> f64 {
        let row = candidate.row;
        let load = expected_load(row, request.now);
        let slots = f64::from(row.listed.slots.max(1));
        let waiting = (load + 1.0 - slots).max(0.0);
        let mut cost = if request.is_engine {
            let cached = cached_tokens(request, candidate);
            let uncached = request.prompt_tokens.saturating_sub(cached) as f64;
            uncached / PREFILL_TOKENS_PER_MS * PREFILL_WEIGHT
                + load * ENGINE_DELAY_PER_REQUEST_MS
                + waiting * ENGINE_SLOT_TIME_MS / slots
        } else {
            load * SERVICE_DELAY_PER_REQUEST_MS + waiting * SERVICE_SLOT_TIME_MS / slots
        };
        if candidate.region != Some(request.region) {
            cost += OTHER_REGION_MS;
        } else if &row.listed.domain != request.domain {
            cost += OTHER_DOMAIN_MS;
        }
        let slot_time = if request.is_engine { ENGINE_SLOT_TIME_MS } else { SERVICE_SLOT_TIME_MS };
        cost += slot_time * (row.slowness(request.now) - SLOWNESS_TOLERANCE).max(0.0);
        if !row.listed.cold_start_remaining.is_zero() {
            cost += COLD_START_PENALTY_MS;
        }
        cost
    }
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
/// attempts.
fn expected_load(row: &endpoints::Endpoint, now: core_time::Timestamp) -> f64 {
    let in_flight = f64::from(row.in_flight);
    let Some((at, load)) = row.load else { return in_flight };
    let age_ms = now.since(at).as_secs_f64() * 1000.0;
    let weight = 0.5_f64.powf(age_ms / LOAD_HALF_LIFE_MS);
    let reported = f64::from(load.running + load.waiting) * weight + f64::from(row.sent_since_load);
    reported.max(in_flight)
}
