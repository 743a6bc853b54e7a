//! Generation of fault schedules from a seed.

use std::time;

use rand_chacha::ChaCha8Rng;
use rand_core::RngCore as _;
use rand_core::SeedableRng as _;

use crate::soak::keys;
use crate::soak::proxy;

/// A fault and its target; gateways and runners are given by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A gateway is killed, and restarted at the end of the fault.
    Kill(usize),
    /// A gateway is shut down gracefully by SIGTERM, and restarted after it has exited.
    Shutdown(usize),
    /// A gateway is suspended by SIGSTOP, and resumed at the end of the fault.
    Pause(usize),
    /// A gateway is told by SIGHUP to reload its settings.
    Reload(usize),
    /// All gateways are killed at once, and restarted at the end of the fault.
    KillAll,
    /// The store rejects all calls.
    StoreUnavailable,
    /// The store executes appends without sending responses.
    StoreDropsResponses,
    /// The connections of one gateway to the store are disrupted.
    StoreLink(usize, proxy::LinkFault),
    /// All connections to one runner are disrupted.
    RunnerLink(usize, proxy::LinkFault),
    /// All open connections to the store and to runners go silent for good; new ones work. The fault lasts
    /// for as long as that may delay anything.
    Silence,
    /// A plain runner executes requests without sending responses.
    RunnerDropsResponses(usize),
    /// A configuration with one more route is published.
    Publish,
    /// A configuration with another key for a workspace in place of a temporary one is published.
    RotateKey(usize),
    /// A runner names a limit in its responses.
    RunnerLimit(usize),
    /// A runner says in its responses that it leaves. At the end of the fault, it starts again under
    /// the same id.
    RunnerLeaves(usize),
}

impl Fault {
    /// Whether this is planned maintenance, which must not interrupt any request.
    pub fn is_maintenance(self) -> bool {
        matches!(self, Fault::Shutdown(_) | Fault::Reload(_) | Fault::Publish | Fault::RotateKey(_))
    }

    /// Whether this may keep a gateway from news of the store, or a request from a runner that it was
    /// sent to.
    pub fn delays_news(self) -> bool {
        matches!(
            self,
            Fault::Pause(_)
                | Fault::StoreUnavailable
                | Fault::StoreLink(..)
                | Fault::RunnerLink(..)
                | Fault::Silence
        )
    }

    /// Whether this is an announcement of a runner, which disturbs nothing by itself.
    pub fn is_announcement(self) -> bool {
        matches!(self, Fault::RunnerLimit(_) | Fault::RunnerLeaves(_))
    }
}

/// A fault at a point in time.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// When the fault begins, relative to the start of the callers.
    pub at: time::Duration,
    /// How long the fault lasts; unused for planned maintenance.
    pub duration: time::Duration,
    /// The fault.
    pub fault: Fault,
}

/// The plan of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the plan and of the callers' random numbers.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of callers.
    pub callers: usize,
    /// How long callers start new programs.
    pub load_duration: time::Duration,
    /// Faults, ordered by time.
    pub faults: Vec<ScheduledFault>,
    /// Whether all faults are planned maintenance.
    pub maintenance_only: bool,
}

/// Number of runners: first the model runners, then the plain runners.
pub const RUNNERS: usize = 4;
/// Number of model runners.
pub const MODEL_RUNNERS: usize = 2;
/// Limit that runners name, in requests per second.
pub const RUNNER_LIMIT_PER_S: f64 = 4.0;
/// Distinguishes the random numbers of announcements.
const ANNOUNCEMENT_SEED: u64 = 0x5eed;
/// Distinguishes the random numbers of changes of keys.
const KEY_SEED: u64 = 0x6e79;
/// Distinguishes the random numbers of connections that go silent.
const SILENCE_SEED: u64 = 0x51e7;
/// Time for which silent connections may delay news and requests.
const SILENCE_MS: u64 = 4_000;
/// Mean gap between faults that don't start together, in milliseconds.
const FAULT_GAP_MS: u64 = 900;
/// Every seed divisible by this has only planned maintenance.
const MAINTENANCE_SEED_INTERVAL: u64 = 4;

impl Plan {
    /// Generates the plan of a seed.
    pub fn new(seed: u64, gateways: usize, callers: usize, load_duration: time::Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let maintenance_only = seed.is_multiple_of(MAINTENANCE_SEED_INTERVAL);
        let load_ms = u64::try_from(load_duration.as_millis()).unwrap_or(u64::MAX);
        let mut faults = Vec::new();
        let mut at_ms = random_below(&mut rng, FAULT_GAP_MS);
        while at_ms < load_ms {
            let fault = random_fault(&mut rng, gateways);
            if !maintenance_only || fault.is_maintenance() {
                let duration = time::Duration::from_millis(100 + random_below(&mut rng, 2_900));
                faults.push(ScheduledFault {
                    at: time::Duration::from_millis(at_ms),
                    duration,
                    fault,
                });
            }
            // A third of the faults start together with the fault before.
            at_ms += random_below(&mut rng, 2 * FAULT_GAP_MS) * random_below(&mut rng, 3).min(1);
        }
        if !maintenance_only {
            faults.extend(silences(seed, load_ms));
        }
        faults.extend(announcements(seed, load_ms));
        faults.extend(key_rotations(seed, load_ms));
        faults.sort_by_key(|fault| fault.at);
        Plan { seed, gateways, callers, load_duration, faults, maintenance_only }
    }
}

/// Generates the announcements of runners. They have random numbers of their own, so that the other
/// faults of a seed stay the same. Two runners never announce anything, so that callers are served.
fn announcements(seed: u64, load_ms: u64) -> Vec<ScheduledFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ ANNOUNCEMENT_SEED);
    let runners = [0, MODEL_RUNNERS];
    let count = 1 + random_below(&mut rng, 3);
    (0..count)
        .map(|_| {
            let runner = runners[random_index(&mut rng, runners.len())];
            let fault = match random_below(&mut rng, 2) {
                0 => Fault::RunnerLimit(runner),
                _ => Fault::RunnerLeaves(runner),
            };
            ScheduledFault {
                at: time::Duration::from_millis(random_below(&mut rng, load_ms / 2)),
                duration: time::Duration::from_millis(2_000 + random_below(&mut rng, 4_000)),
                fault,
            }
        })
        .collect()
}

/// Generates series of silences, with random numbers of their own.
fn silences(seed: u64, load_ms: u64) -> Vec<ScheduledFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SILENCE_SEED);
    let count = random_below(&mut rng, 4);
    let mut at_ms = random_below(&mut rng, load_ms);
    (0..count)
        .map(|_| {
            let at = time::Duration::from_millis(at_ms);
            at_ms += random_below(&mut rng, 1_500);
            let duration = time::Duration::from_millis(SILENCE_MS);
            ScheduledFault { at, duration, fault: Fault::Silence }
        })
        .collect()
}

/// Generates the changes of keys, with random numbers of their own. They are early in the run, so that
/// removed keys are still tried after the time in which gateways have to know.
fn key_rotations(seed: u64, load_ms: u64) -> Vec<ScheduledFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ KEY_SEED);
    let count = 1 + random_below(&mut rng, 3);
    (0..count)
        .map(|_| ScheduledFault {
            at: time::Duration::from_millis(random_below(&mut rng, load_ms / 2)),
            duration: time::Duration::ZERO,
            fault: Fault::RotateKey(random_index(&mut rng, keys::WORKSPACES.len())),
        })
        .collect()
}

fn random_fault(rng: &mut ChaCha8Rng, gateways: usize) -> Fault {
    let gateway = random_index(rng, gateways);
    let runner = random_index(rng, RUNNERS);
    match random_below(rng, 15) {
        0 | 1 => Fault::Kill(gateway),
        2 | 3 => Fault::Shutdown(gateway),
        4 => Fault::Pause(gateway),
        5 => Fault::Reload(gateway),
        6 => Fault::KillAll,
        7 => Fault::StoreUnavailable,
        8 => Fault::StoreDropsResponses,
        9 | 10 => Fault::StoreLink(gateway, random_link_fault(rng)),
        11 | 12 => Fault::RunnerLink(runner, random_link_fault(rng)),
        13 => Fault::RunnerDropsResponses(MODEL_RUNNERS + runner % (RUNNERS - MODEL_RUNNERS)),
        _ => Fault::Publish,
    }
}

fn random_link_fault(rng: &mut ChaCha8Rng) -> proxy::LinkFault {
    match random_below(rng, 5) {
        0 => proxy::LinkFault::Delay(time::Duration::from_millis(5 + random_below(rng, 200))),
        1 => proxy::LinkFault::Reset,
        2 => proxy::LinkFault::StallUpstream,
        3 => proxy::LinkFault::StallDownstream,
        _ => proxy::LinkFault::Blackhole,
    }
}

/// Returns a random number below `bound`, or 0 if `bound` is 0.
pub fn random_below(rng: &mut ChaCha8Rng, bound: u64) -> u64 {
    rng.next_u64() % bound.max(1)
}

fn random_index(rng: &mut ChaCha8Rng, count: usize) -> usize {
    usize::try_from(rng.next_u64()).unwrap_or(0) % count.max(1)
}
