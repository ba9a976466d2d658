//! Figures that come with a fraction.

/// Largest figure that is told apart; larger ones count as this. Far above any time or size here, and exact as a floating-point number.
const MOST: f64 = 1e12;

/// The whole part of a figure; negative ones and what is no number count as 0.
pub fn floor_to_u64(figure: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a range that fits"
    )]
    let whole = figure.clamp(0.0, MOST) as u64;
    whole
}
