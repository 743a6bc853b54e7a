//! Cached context while a program pauses.

use std::time as std_time;

/// A conversation that is about to pause.
#[derive(Clone, Copy, Debug)]
pub struct RetentionContext {
    /// Tokens of its context.
    pub tokens: u32,
    /// Share of the endpoint's cache memory in use, 0 to 1.
    pub pressure: f64,
    /// Turns that the conversation has taken.
    pub turns: u32,
    /// Longest lease.
    pub max_lease: std_time::Duration,
}

/// Decides whether context is held, and for how long.
pub trait Retention: Send {
    /// The lease; none leaves the context to the engine's own eviction.
    fn lease(&self, pause: &RetentionContext) -> Option<std_time::Duration>;
}

/// The engine's own eviction decides.
pub struct EngineOnly;

impl Retention for EngineOnly {
    fn lease(&self, _pause: &RetentionContext) -> Option<std_time::Duration> {
        None
    }
}

/// Holds while memory is not short, for less time the shorter it is.
pub struct ExpectedWaste;

/// Share of memory in use from which nothing new is held.
const FULL: f64 = 0.9;
/// Lease while memory is short: long enough for most pauses; above all, the hold lets the context
/// be dropped when its program ends.
const SHORT_LEASE: std_time::Duration = std_time::Duration::from_secs(5);
/// Tokens below which computing again costs less than keeping track of a hold.
const SMALL_TOKENS: u32 = 64;

impl Retention for ExpectedWaste {
    fn lease(&self, pause: &RetentionContext) -> Option<std_time::Duration> {
        if pause.tokens < SMALL_TOKENS {
            return None;
        }
        if pause.pressure >= FULL {
            return Some(SHORT_LEASE);
        }
        Some(pause.max_lease.mul_f64(1.0 - pause.pressure))
    }
}
