#![no_main]
//! A body: what is taken for safe has no mutation in any reading.

#[path = "../../crates/graphql/tests/differential/mod.rs"]
mod differential;

libfuzzer_sys::fuzz_target!(|body: &[u8]| {
    differential::check_post(body);
});
