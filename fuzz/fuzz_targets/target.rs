#![no_main]
//! A request's path: one that is not rejected is read the same by a second parser.

#[path = "../../crates/edge/tests/differential/mod.rs"]
mod differential;

libfuzzer_sys::fuzz_target!(|path: &str| differential::check_target(path));
