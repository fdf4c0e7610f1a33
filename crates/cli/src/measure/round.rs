/// Rounds to four decimal places, which keeps reports short.
pub(super) fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
