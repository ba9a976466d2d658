//! Conversion of floating-point numbers to integers.

/// Upper limit of the result: far above any time or size in the system, and exact as an `f64`.
const MAX_VALUE: f64 = 1e12;

/// Rounds `number` down and limits it to at most 10¹²; negative numbers and NaN give 0.
pub fn floor_to_u64(number: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a range that fits"
    )]
    let floor = number.clamp(0.0, MAX_VALUE) as u64;
    floor
}
