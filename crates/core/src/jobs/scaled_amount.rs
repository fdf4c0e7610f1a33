/// Multiplies an amount by a non-negative factor and rounds the result down.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "amounts are far below 2^52 and not negative"
)]
pub(super) fn scaled(amount: u64, factor: f64) -> u64 {
    (amount as f64 * factor) as u64
}
