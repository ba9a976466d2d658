//! A small deterministic random number generator: with the same seed, every policy gets the same arrivals.

/// A xorshift generator.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Uniform in the range from 0 to below 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Exponentially distributed with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// Log-normally distributed with this median and spread.
    pub fn log_normal(&mut self, median: f64, sigma: f64) -> f64 {
        let (a, b) = (1.0 - self.unit(), self.unit());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        median * (sigma * normal).exp()
    }
}
