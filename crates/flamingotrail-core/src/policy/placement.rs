//! Choice of an endpoint for a call.

use crate::digest;
use crate::ids;
use crate::rng;

/// An endpoint that can take a call, with what is known of it.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: ids::EndpointName,
    /// The process beside it.
    pub instance: ids::InstanceName,
    /// That process's start.
    pub incarnation: ids::Incarnation,
    /// Calls that run on it at a time.
    pub slots: u32,
    /// Calls that ran when it last told.
    pub running: u32,
    /// Calls that waited when it last told.
    pub queued: u32,
    /// Wait of a new call when it last told, in seconds.
    pub told_wait_s: f64,
    /// Age of what it told, in seconds.
    pub age_s: f64,
    /// Own attempts that run or wait there.
    pub outstanding: u32,
    /// Own attempts sent since it last told.
    pub sent_since: u32,
    /// Mean length of a run there, in seconds.
    pub mean_run_s: f64,
    /// Time to compute what is not cached, in seconds.
    pub prefill_s: f64,
    /// Prompt tokens likely to be cached there.
    pub cached_tokens: u32,
    /// Prompt tokens in all.
    pub prompt_tokens: u32,
    /// One-way delay to it, in seconds.
    pub delay_s: f64,
    /// Whether it is in another region.
    pub remote: bool,
    /// Set by the policy: expected wait, in seconds.
    pub wait_s: f64,
}

/// Time constant with which a told load is forgotten, in seconds.
const LOAD_DECAY_S: f64 = 2.0;
/// Price of a call to another region, in seconds.
const REMOTE_PRICE_S: f64 = 0.2;
/// Price of a prompt token moved to another region, in seconds.
const REMOTE_TOKEN_PRICE_S: f64 = 20e-6;
/// Price of a second of prefill, in seconds: it keeps the engine's other calls waiting as well, and
/// what is computed again is waste.
const PREFILL_PRICE: f64 = 4.0;
/// Share by which costs may differ and still count as close.
const CLOSE: f64 = 0.1;
/// Difference of costs that counts as close, in seconds.
const CLOSE_S: f64 = 0.02;

impl Candidate {
    /// Expected wait: what was told, decayed by its age, and what was sent since.
    pub fn expected_wait_s(&self) -> f64 {
        let weight = (-self.age_s / LOAD_DECAY_S).exp();
        let slots = f64::from(self.slots);
        let busy = f64::from(self.running + self.queued) * weight + f64::from(self.sent_since);
        let own = f64::from(self.outstanding);
        let ahead = (busy.max(own) - slots + 1.0).max(0.0);
        let by_count = ahead * self.mean_run_s / slots;
        (self.told_wait_s * weight).max(by_count)
    }

    /// Expected cost of a call there, in seconds.
    fn cost_s(&self) -> f64 {
        let remote = match self.remote {
            true => REMOTE_PRICE_S + f64::from(self.prompt_tokens) * REMOTE_TOKEN_PRICE_S,
            false => 0.0,
        };
        let busy = f64::from(self.running + self.sent_since) / f64::from(self.slots);
        self.expected_wait_s()
            + PREFILL_PRICE * self.prefill_s
            + 2.0 * self.delay_s
            + remote
            + busy.min(1.0) * CLOSE_S
    }
}

/// What a choice may use besides the candidates.
pub struct PlacementContext<'a> {
    /// The conversation.
    pub conversation: &'a ids::ConversationId,
    /// Counts placements.
    pub turn: u64,
    /// Random numbers.
    pub rng: &'a mut rng::Rng,
}

/// Chooses an endpoint.
pub trait Placement: Send {
    /// Index of the chosen one; `candidates` is not empty.
    fn choose(&self, candidates: &[Candidate], cx: PlacementContext<'_>) -> usize;
}

/// In turn.
pub struct RoundRobin;

impl Placement for RoundRobin {
    fn choose(&self, candidates: &[Candidate], cx: PlacementContext<'_>) -> usize {
        usize::try_from(cx.turn % candidates.len() as u64).unwrap_or(0)
    }
}

/// Least outstanding calls of this process; ties are broken at random.
pub struct LeastOutstanding;

impl Placement for LeastOutstanding {
    fn choose(&self, candidates: &[Candidate], cx: PlacementContext<'_>) -> usize {
        let least = candidates.iter().map(|c| c.outstanding).min().unwrap_or(0);
        let ties: Vec<usize> = indices(candidates, |c| c.outstanding == least);
        pick(&ties, cx.rng)
    }
}

/// By hash of the conversation alone.
pub struct Affinity;

impl Placement for Affinity {
    fn choose(&self, candidates: &[Candidate], cx: PlacementContext<'_>) -> usize {
        let key = cx.conversation.to_string();
        let weight = |c: &Candidate| digest::rendezvous_weight(&key, c.endpoint.as_str());
        let best = candidates.iter().enumerate().max_by_key(|(_, c)| weight(c));
        best.map_or(0, |(index, _)| index)
    }
}

/// Least expected seconds; among close ones the better of two random choices (Mitzenmacher, "The
/// power of two choices in randomized load balancing", 2001), so that old loads do not herd.
pub struct ExpectedCost;

impl Placement for ExpectedCost {
    fn choose(&self, candidates: &[Candidate], cx: PlacementContext<'_>) -> usize {
        let costs: Vec<f64> = candidates.iter().map(Candidate::cost_s).collect();
        let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let limit = least * (1.0 + CLOSE) + CLOSE_S;
        let close: Vec<usize> =
            (0..candidates.len()).filter(|index| costs[*index] <= limit).collect();
        let first = pick(&close, cx.rng);
        let second = pick(&close, cx.rng);
        let load = |index: usize| {
            let c = &candidates[index];
            f64::from(c.running + c.queued + c.sent_since) / f64::from(c.slots)
        };
        if load(second) < load(first) {
            second
        } else {
            first
        }
    }
}

fn indices(candidates: &[Candidate], wanted: impl Fn(&Candidate) -> bool) -> Vec<usize> {
    (0..candidates.len()).filter(|index| wanted(&candidates[*index])).collect()
}

fn pick(among: &[usize], rng: &mut rng::Rng) -> usize {
    let index = usize::try_from(rng.next_below(among.len() as u64)).unwrap_or(0);
    among.get(index).copied().unwrap_or(0)
}
