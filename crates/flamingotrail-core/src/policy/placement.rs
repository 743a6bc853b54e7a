//! Choice of an endpoint for a call.

use crate::digest;
use crate::ids;
use crate::rng;

/// An endpoint that can run a call, with its known state.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name of the endpoint.
    pub endpoint: ids::EndpointName,
    /// Instance that runs calls on it.
    pub instance: ids::InstanceName,
    /// Incarnation of that instance.
    pub incarnation: ids::Incarnation,
    /// Maximum number of concurrent calls on it.
    pub slots: u32,
    /// Calls running at its last load report.
    pub running: u32,
    /// Calls queued at its last load report.
    pub queued: u32,
    /// Expected wait of a new call at its last load report, in seconds.
    pub reported_wait_s: f64,
    /// Age of the last load report, in seconds.
    pub load_age_s: f64,
    /// Attempts of this instance that are queued or running on it.
    pub outstanding: u32,
    /// Attempts that this instance sent to it since the last load report.
    pub sent_since_report: u32,
    /// Mean run time on it, in seconds.
    pub mean_run_s: f64,
    /// Time to compute the prompt tokens that are not cached, in seconds.
    pub prefill_s: f64,
    /// Prompt tokens expected to be cached on it.
    pub cached_tokens: u32,
    /// Total prompt tokens.
    pub prompt_tokens: u32,
    /// One-way delay to it, in seconds.
    pub delay_s: f64,
    /// Whether it is in another region.
    pub remote: bool,
    /// Expected wait, in seconds. Currently always 0; [`Candidate::expected_wait_s`] computes the
    /// actual value.
    pub wait_s: f64,
}

/// Time constant of the exponential decay of a reported load, in seconds.
const LOAD_DECAY_S: f64 = 2.0;
/// Cost of a call to another region, in seconds.
const REMOTE_CALL_COST_S: f64 = 0.2;
/// Cost of sending a prompt token to another region, in seconds.
const REMOTE_TOKEN_COST_S: f64 = 20e-6;
/// Cost of a second of prefill, in seconds. Above 1 because prefill also delays the engine's other
/// calls, and prefill of context that was cached before is waste.
const PREFILL_COST_FACTOR: f64 = 4.0;
/// Relative difference up to which costs are treated as equal.
const EQUAL_COST_RATIO: f64 = 0.1;
/// Absolute difference up to which costs are treated as equal, in seconds.
const EQUAL_COST_MARGIN_S: f64 = 0.02;

impl Candidate {
    /// Returns the expected wait in seconds, from the reported load decayed by its age and from the
    /// attempts sent since.
    pub fn expected_wait_s(&self) -> f64 {
        let weight = (-self.load_age_s / LOAD_DECAY_S).exp();
        let slots = f64::from(self.slots);
        let busy =
            f64::from(self.running + self.queued) * weight + f64::from(self.sent_since_report);
        let outstanding = f64::from(self.outstanding);
        let ahead = (busy.max(outstanding) - slots + 1.0).max(0.0);
        let estimated_wait_s = ahead * self.mean_run_s / slots;
        (self.reported_wait_s * weight).max(estimated_wait_s)
    }

    /// Returns the expected cost of a call on this endpoint, in seconds.
    fn cost_s(&self) -> f64 {
        let remote_cost_s = match self.remote {
            true => REMOTE_CALL_COST_S + f64::from(self.prompt_tokens) * REMOTE_TOKEN_COST_S,
            false => 0.0,
        };
        let busy_ratio = f64::from(self.running + self.sent_since_report) / f64::from(self.slots);
        self.expected_wait_s()
            + PREFILL_COST_FACTOR * self.prefill_s
            + 2.0 * self.delay_s
            + remote_cost_s
            + busy_ratio.min(1.0) * EQUAL_COST_MARGIN_S
    }
}

/// Input of a placement decision besides the candidates.
pub struct PlacementContext<'a> {
    /// The conversation of the call.
    pub conversation: &'a ids::ConversationId,
    /// Number of placements so far.
    pub placement_count: u64,
    /// Random number generator.
    pub rng: &'a mut rng::Rng,
}

/// Chooses the endpoint of a call.
pub trait Placement: Send {
    /// Returns the index of the chosen candidate. `candidates` must not be empty.
    fn choose(&self, candidates: &[Candidate], context: PlacementContext<'_>) -> usize;
}

/// Chooses the candidates in turn.
pub struct RoundRobin;

impl Placement for RoundRobin {
    fn choose(&self, candidates: &[Candidate], context: PlacementContext<'_>) -> usize {
        usize::try_from(context.placement_count % candidates.len() as u64).unwrap_or(0)
    }
}

/// Chooses the endpoint with the fewest outstanding calls of this instance; breaks ties at random.
pub struct LeastOutstanding;

impl Placement for LeastOutstanding {
    fn choose(&self, candidates: &[Candidate], context: PlacementContext<'_>) -> usize {
        let least = candidates.iter().map(|c| c.outstanding).min().unwrap_or(0);
        let ties: Vec<usize> = matching_indices(candidates, |c| c.outstanding == least);
        pick_random(&ties, context.rng)
    }
}

/// Chooses by a rendezvous hash of the conversation id alone.
pub struct Affinity;

impl Placement for Affinity {
    fn choose(&self, candidates: &[Candidate], context: PlacementContext<'_>) -> usize {
        let key = context.conversation.to_string();
        let weight = |c: &Candidate| digest::rendezvous_weight(&key, c.endpoint.as_str());
        let best = candidates.iter().enumerate().max_by_key(|(_, c)| weight(c));
        best.map_or(0, |(index, _)| index)
    }
}

/// Chooses the endpoint with the lowest expected cost in seconds. Among candidates of nearly equal
/// cost, takes the less loaded of two random choices (Mitzenmacher, "The power of two choices in
/// randomized load balancing", 2001), so that instances with the same stale load reports don't all
/// choose the same endpoint.
pub struct ExpectedCost;

impl Placement for ExpectedCost {
    fn choose(&self, candidates: &[Candidate], context: PlacementContext<'_>) -> usize {
        let costs: Vec<f64> = candidates.iter().map(Candidate::cost_s).collect();
        let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let limit = least * (1.0 + EQUAL_COST_RATIO) + EQUAL_COST_MARGIN_S;
        let near_best: Vec<usize> =
            (0..candidates.len()).filter(|index| costs[*index] <= limit).collect();
        let first = pick_random(&near_best, context.rng);
        let second = pick_random(&near_best, context.rng);
        let load = |index: usize| {
            let c = &candidates[index];
            f64::from(c.running + c.queued + c.sent_since_report) / f64::from(c.slots)
        };
        if load(second) < load(first) {
            second
        } else {
            first
        }
    }
}

fn matching_indices(candidates: &[Candidate], matches: impl Fn(&Candidate) -> bool) -> Vec<usize> {
    (0..candidates.len()).filter(|index| matches(&candidates[*index])).collect()
}

fn pick_random(indices: &[usize], rng: &mut rng::Rng) -> usize {
    let index = usize::try_from(rng.next_below(indices.len() as u64)).unwrap_or(0);
    indices.get(index).copied().unwrap_or(0)
}
