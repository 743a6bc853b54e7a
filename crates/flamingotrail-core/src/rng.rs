//! The seeded random generator of a world.

use rand_chacha::ChaCha8Rng;
use rand_core::RngCore as _;
use rand_core::SeedableRng as _;

/// A deterministic generator: a seed produces the same sequence on every platform.
#[derive(Clone, Debug)]
pub struct Rng(ChaCha8Rng);

impl Rng {
    /// Creates a generator from a 64-bit seed.
    pub fn new(seed: u64) -> Self {
        Rng(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Returns the next 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Returns a number in `0..bound`, or 0 if `bound` is 0.
    pub fn next_below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.next_u64() % bound
    }

    /// Returns a number in `[0, 1)`.
    pub fn next_f64(&mut self) -> f64 {
        const MANTISSA_BITS: u32 = 53;
        (self.next_u64() >> (64 - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
    }
}
