//! A seeded random number generator.

use rand::RngExt;
use rand::SeedableRng;
use rand_xorshift::XorShiftRng;

/// A generator that gives the same numbers for the same seed on every machine and with every version of the library.
#[derive(Clone, Debug)]
pub struct Random {
    generator: XorShiftRng,
}

impl Random {
    /// A generator with this seed.
    pub fn new(seed: u64) -> Self {
        Self {
            generator: XorShiftRng::seed_from_u64(seed),
        }
    }

    /// Returns a number below `below`, which must not be 0.
    pub fn below(&mut self, below: u64) -> u64 {
        self.within(0, below)
    }

    /// Returns a number in `from..to`.
    pub fn within(&mut self, from: u64, to: u64) -> u64 {
        self.generator.random_range(from..to)
    }

    /// Returns an index below `len`, or 0 if `len` is 0.
    pub fn index(&mut self, len: usize) -> usize {
        self.generator.random_range(0..len.max(1))
    }
}
