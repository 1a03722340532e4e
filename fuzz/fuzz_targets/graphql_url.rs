#![no_main]
//! A URL's query: what is taken for safe has no mutation in any reading.

#[path = "../../crates/graphql/tests/differential/mod.rs"]
mod differential;

libfuzzer_sys::fuzz_target!(|query: &str| {
    differential::check_get(query);
});
