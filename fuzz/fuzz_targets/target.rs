#![no_main]
//! A path: what is not turned down is read alike by another parser.

#[path = "../../crates/edge/tests/differential/mod.rs"]
mod differential;

libfuzzer_sys::fuzz_target!(|path: &str| differential::check_target(path));
