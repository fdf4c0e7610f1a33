//! Plain pass-through proxy, the baseline of measurements.

mod baseline_proxy;

pub use baseline_proxy::BaselineProxy;
