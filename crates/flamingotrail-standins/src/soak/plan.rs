//! Which faults come when, from a seed.

use std::time;

use rand_chacha::ChaCha8Rng;
use rand_core::RngCore as _;
use rand_core::SeedableRng as _;

use crate::soak::proxy;

/// One fault and how long it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A gateway is killed, and started again after a while.
    Kill(usize),
    /// A gateway is told to stop, and started again once it has.
    Shutdown(usize),
    /// A gateway stands still for a while.
    Pause(usize),
    /// A gateway is told that its settings have changed.
    Reload(usize),
    /// All gateways are killed at once, and started again after a while.
    KillAll,
    /// The store refuses everything for a while.
    StoreUnavailable,
    /// The store takes appends and does not answer them for a while.
    StoreDropsResponses,
    /// A gateway's connections to the store are harmed.
    StoreLink(usize, proxy::LinkFault),
    /// All connections to a runner are harmed.
    RunnerLink(usize, proxy::LinkFault),
    /// A plain runner runs requests and does not answer them for a while.
    RunnerDropsResponses(usize),
    /// Operators publish another route.
    Publish,
}

impl Fault {
    /// Whether operators cause it on purpose, so that no request may be cut off by it.
    pub fn is_maintenance(self) -> bool {
        matches!(self, Fault::Shutdown(_) | Fault::Reload(_) | Fault::Publish)
    }
}

/// A fault of a plan.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// When it begins, from the start of the callers.
    pub at: time::Duration,
    /// How long it lasts, where it ends by itself.
    pub duration: time::Duration,
    /// What it is.
    pub fault: Fault,
}

/// What one run does.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the plan and of the callers.
    pub seed: u64,
    /// Gateways.
    pub gateways: usize,
    /// Callers.
    pub callers: usize,
    /// Time for which callers start programs.
    pub load_duration: time::Duration,
    /// Faults in order of time.
    pub faults: Vec<ScheduledFault>,
    /// Whether all faults are planned work.
    pub maintenance_only: bool,
}

/// Runners of the set-up: model runners, then plain ones.
pub const RUNNERS: usize = 4;
/// Model runners among them.
pub const MODEL_RUNNERS: usize = 2;
/// Mean time between two faults.
const FAULT_PAUSE_MS: u64 = 900;
/// One seed in so many has planned work only.
const PLANNED_SEEDS: u64 = 4;

impl Plan {
    /// The plan of a seed.
    pub fn new(seed: u64, gateways: usize, callers: usize, load_duration: time::Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let maintenance_only = seed.is_multiple_of(PLANNED_SEEDS);
        let end = u64::try_from(load_duration.as_millis()).unwrap_or(u64::MAX);
        let mut faults = Vec::new();
        let mut at = random_below(&mut rng, FAULT_PAUSE_MS);
        while at < end {
            let fault = fault(&mut rng, gateways);
            if !maintenance_only || fault.is_maintenance() {
                let duration = time::Duration::from_millis(100 + random_below(&mut rng, 2_900));
                faults.push(ScheduledFault {
                    at: time::Duration::from_millis(at),
                    duration,
                    fault,
                });
            }
            // Some come together, some after each other.
            at += random_below(&mut rng, 2 * FAULT_PAUSE_MS) * random_below(&mut rng, 3).min(1);
        }
        Plan { seed, gateways, callers, load_duration, faults, maintenance_only }
    }
}

fn fault(rng: &mut ChaCha8Rng, gateways: usize) -> Fault {
    let gateway = index(rng, gateways);
    let runner = index(rng, RUNNERS);
    match random_below(rng, 15) {
        0 | 1 => Fault::Kill(gateway),
        2 | 3 => Fault::Shutdown(gateway),
        4 => Fault::Pause(gateway),
        5 => Fault::Reload(gateway),
        6 => Fault::KillAll,
        7 => Fault::StoreUnavailable,
        8 => Fault::StoreDropsResponses,
        9 | 10 => Fault::StoreLink(gateway, harm(rng)),
        11 | 12 => Fault::RunnerLink(runner, harm(rng)),
        13 => Fault::RunnerDropsResponses(MODEL_RUNNERS + runner % (RUNNERS - MODEL_RUNNERS)),
        _ => Fault::Publish,
    }
}

fn harm(rng: &mut ChaCha8Rng) -> proxy::LinkFault {
    match random_below(rng, 5) {
        0 => proxy::LinkFault::Delay(time::Duration::from_millis(5 + random_below(rng, 200))),
        1 => proxy::LinkFault::Reset,
        2 => proxy::LinkFault::StallUpstream,
        3 => proxy::LinkFault::StallDownstream,
        _ => proxy::LinkFault::Blackhole,
    }
}

/// A number below `end`.
pub fn random_below(rng: &mut ChaCha8Rng, end: u64) -> u64 {
    rng.next_u64() % end.max(1)
}

fn index(rng: &mut ChaCha8Rng, count: usize) -> usize {
    usize::try_from(rng.next_u64()).unwrap_or(0) % count.max(1)
}
