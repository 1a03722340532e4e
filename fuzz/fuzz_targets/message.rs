#![no_main]
//! The bytes of a connection: the head of each message ends where a second parser says that it ends.

#[path = "../../crates/edge/tests/differential/mod.rs"]
mod differential;

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| differential::check_message(bytes));
