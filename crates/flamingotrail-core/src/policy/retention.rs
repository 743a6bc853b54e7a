//! Retention of cached context while a program pauses.

use std::time as std_time;

/// State on which the lease of a conversation's context depends.
#[derive(Clone, Copy, Debug)]
pub struct RetentionContext {
    /// Size of the context in tokens.
    pub tokens: u32,
    /// Fraction of the endpoint's cache memory in use, from 0 to 1.
    pub pressure: f64,
    /// Turns that the conversation has taken.
    pub turns: u32,
    /// Maximum lease.
    pub max_lease: std_time::Duration,
}

/// Decides whether to hold cached context, and for how long.
pub trait Retention: Send {
    /// Returns the lease; `None` leaves the context to the engine's own eviction.
    fn lease(&self, context: &RetentionContext) -> Option<std_time::Duration>;
}

/// Holds nothing and leaves eviction to the engine.
pub struct EngineOnly;

impl Retention for EngineOnly {
    fn lease(&self, _context: &RetentionContext) -> Option<std_time::Duration> {
        None
    }
}

/// Holds context for a lease that gets shorter as the cache memory fills up.
pub struct ExpectedWaste;

/// Fraction of cache memory in use from which a hold only gets [`SHORT_LEASE`].
const HIGH_PRESSURE: f64 = 0.9;
/// Lease under memory pressure. It covers most pauses, and the hold lets the engine drop the
/// context as soon as its program ends.
const SHORT_LEASE: std_time::Duration = std_time::Duration::from_secs(5);
/// Context size in tokens below which recomputing costs less than tracking a hold.
const MIN_HELD_TOKENS: u32 = 64;

impl Retention for ExpectedWaste {
    fn lease(&self, context: &RetentionContext) -> Option<std_time::Duration> {
        if context.tokens < MIN_HELD_TOKENS {
            return None;
        }
        if context.pressure >= HIGH_PRESSURE {
            return Some(SHORT_LEASE);
        }
        Some(context.max_lease.mul_f64(1.0 - context.pressure))
    }
}
