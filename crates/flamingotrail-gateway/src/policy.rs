//! Choice of an endpoint for a call.

use flamingotrail_core::time as core_time;

use crate::ids;
use crate::input;
use crate::tables::endpoints;

/// What a placement decides on.
pub struct Request<'a> {
    /// Parts of the prompt.
    pub prompt: &'a [input::PromptPart],
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Endpoint that ran the turn which this one continues.
    pub previous: Option<&'a ids::EndpointId>,
    /// Whether the endpoints are model engines.
    pub is_engine: bool,
    /// This process's region and failure domain.
    pub region: &'a ids::RegionName,
    /// This process's failure domain.
    pub domain: &'a ids::DomainName,
    /// The time.
    pub now: core_time::Timestamp,
}

/// An endpoint that may be chosen.
pub struct Candidate<'a> {
    /// Its id.
    pub id: &'a ids::EndpointId,
    /// Its row.
    pub row: &'a endpoints::Endpoint,
    /// Its region, where known.
    pub region: Option<&'a ids::RegionName>,
}

/// Chooses endpoints.
pub trait Placement: Send {
    /// Expected time, in milliseconds, until an answer by `candidate` begins.
    fn cost(&self, request: &Request<'_>, candidate: &Candidate<'_>) -> f64;
}

/// Adds up the expected parts of the delay until an answer begins.
pub struct ExpectedDelay;

/// Round trip to an endpoint of another region, in milliseconds: twice the one-way delay of the
/// users' links.
const OTHER_REGION_MS: f64 = 60.0;
/// Round trip to another failure domain of the region, in milliseconds; the users' links take
/// 0.5 to 0.9 ms one way.
const OTHER_DOMAIN_MS: f64 = 2.0;
/// Tokens of a prompt that an engine reads in a millisecond, from the users' sheets.
const PROMPT_TOKENS_PER_MS: f64 = 64.8;
/// Weight of the time that an engine reads a prompt, which holds up the other requests of its batch: half
/// of the 16 that the users' engines run at once.
const READING_WEIGHT: f64 = 8.0;
/// Delay that a request running at an engine adds to the next one, in milliseconds: its share of a
/// step, and of reading its prompt between the steps.
const ENGINE_BUSY_MS: f64 = 4.0;
/// Time for which a request holds a place at an engine, in milliseconds.
const ENGINE_HOLD_MS: f64 = 300.0;
/// Time for which a request holds a place at a plain service, in milliseconds; mean of the sheets.
const SERVICE_HOLD_MS: f64 = 60.0;
/// Delay that a request running at a plain service adds to the next one, in milliseconds.
const SERVICE_BUSY_MS: f64 = 2.0;
/// Slowness up to which an endpoint counts as one of ordinary speed.
const SLOW: f64 = 1.5;
/// Extra cost of an endpoint that is slow after its start, in milliseconds.
const COLD_MS: f64 = 100.0;
/// Age at which a load that an endpoint told counts half.
const LOAD_HALF_LIFE_MS: f64 = 300.0;

impl Placement for ExpectedDelay {
    fn cost(&self, request: &Request<'_>, candidate: &Candidate<'_>) -> f64 {
        let row = candidate.row;
        let busy = expected_busy(row, request.now);
        let slots = f64::from(row.listed.slots.max(1));
        let waiting = (busy + 1.0 - slots).max(0.0);
        let mut cost = if request.is_engine {
            let cached = cached_tokens(request, candidate);
            let uncached = request.prompt_tokens.saturating_sub(cached) as f64;
            uncached / PROMPT_TOKENS_PER_MS * READING_WEIGHT
                + busy * ENGINE_BUSY_MS
                + waiting * ENGINE_HOLD_MS / slots
        } else {
            busy * SERVICE_BUSY_MS + waiting * SERVICE_HOLD_MS / slots
        };
        if candidate.region != Some(request.region) {
            cost += OTHER_REGION_MS;
        } else if &row.listed.domain != request.domain {
            cost += OTHER_DOMAIN_MS;
        }
        let hold = if request.is_engine { ENGINE_HOLD_MS } else { SERVICE_HOLD_MS };
        cost += hold * (row.slowness(request.now) - SLOW).max(0.0);
        if !row.listed.cold_start_remaining.is_zero() {
            cost += COLD_MS;
        }
        cost
    }
}

/// Tokens at the start of the prompt that `candidate` likely has cached.
fn cached_tokens(request: &Request<'_>, candidate: &Candidate<'_>) -> u64 {
    let seen = candidate.row.cached_tokens(request.prompt);
    if request.previous != Some(candidate.id) {
        return seen;
    }
    // It has read all but the new input, perhaps for another gateway.
    let earlier = request.prompt.split_last().map_or(&[][..], |(_, earlier)| earlier);
    seen.max(earlier.iter().map(|part| part.tokens).sum())
}

/// Requests that likely run or wait at an endpoint: what it told, fading, and what was sent since.
fn expected_busy(row: &endpoints::Endpoint, now: core_time::Timestamp) -> f64 {
    let own = f64::from(row.in_flight);
    let Some((at, load)) = row.load else { return own };
    let age_ms = now.since(at).as_secs_f64() * 1000.0;
    let fade = 0.5_f64.powf(age_ms / LOAD_HALF_LIFE_MS);
    let told = f64::from(load.running + load.waiting) * fade + f64::from(row.sent_since_load);
    told.max(own)
}
