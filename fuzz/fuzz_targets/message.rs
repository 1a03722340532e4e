#![no_main]
//! A connection's bytes: heads end where another parser says so.

#[path = "../../crates/edge/tests/differential/mod.rs"]
mod differential;

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| differential::check_message(bytes));
