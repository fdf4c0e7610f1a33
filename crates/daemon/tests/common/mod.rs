//! Helpers of the tests.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

pub mod fleet;
