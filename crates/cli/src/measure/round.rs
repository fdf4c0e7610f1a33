/// Rounds to four decimal places, which keeps reports short.
pub(super) fn round(value: f64) -> f64 {
    // Adding zero turns a negative zero into zero.
    (value * 10_000.0).round() / 10_000.0 + 0.0
}
