//! Exponential decay in integers, so that all replicas compute the same.

/// Time after which past usage counts half, in milliseconds. It is a few run times, so a burst is forgotten about as fast as its work ends.
pub const HALF_LIFE_MS: u64 = 30_000;
/// Fractional bits of decay factors.
const FACTOR_BITS: u32 = 32;
/// Factors of the decay over 2^n milliseconds, 2^(-2^n / [`HALF_LIFE_MS`]), with [`FACTOR_BITS`] fractional bits.
const FACTORS: [u64; 15] = [
    4_294_868_062,
    4_294_768_831,
    4_294_570_375,
    4_294_173_491,
    4_293_379_832,
    4_291_792_956,
    4_288_620_961,
    4_282_284_004,
    4_269_638_166,
    4_244_458_412,
    4_194_543_514,
    4_096_467_813,
    3_907_142_334,
    3_554_337_010,
    2_941_422_067,
];
/// Decayed integral of a constant usage of 1 that has lasted forever, [`HALF_LIFE_MS`] / ln 2, in 1/1024 ms. Usage may advance by steps of
/// one millisecond; in whole milliseconds, rounding would lose a large part of each step.
pub const FULL_INTEGRAL: u64 = 44_319_592;

/// Returns what is left of 1 after `elapsed_ms`, with [`FACTOR_BITS`] fractional bits.
fn factor(elapsed_ms: u64) -> u64 {
    let mut factor: u64 = 1 << FACTOR_BITS;
    let rest_ms = elapsed_ms % HALF_LIFE_MS;
    for (bit, step) in FACTORS.iter().enumerate() {
        if (rest_ms >> bit) & 1 == 1 {
            factor = scaled(factor, *step);
        }
    }
    let halvings = u32::try_from(elapsed_ms / HALF_LIFE_MS).unwrap_or(u32::MAX);
    factor.checked_shr(halvings).unwrap_or(0)
}

/// Returns `value` times `factor`, which has [`FACTOR_BITS`] fractional bits and is at most 1.
fn scaled(value: u64, factor: u64) -> u64 {
    let scaled = (u128::from(value) * u128::from(factor)) >> FACTOR_BITS;
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// Returns a decayed integral, in 1/1024 ms, after `elapsed_ms` more milliseconds in which `in_use` was in use.
pub fn advanced(integral: u64, in_use: u64, elapsed_ms: u64) -> u64 {
    let left = factor(elapsed_ms);
    let gained = scaled(FULL_INTEGRAL, (1 << FACTOR_BITS) - left);
    scaled(integral, left).saturating_add(in_use.saturating_mul(gained))
}
