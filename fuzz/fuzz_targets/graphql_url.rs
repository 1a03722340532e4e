#![no_main]
//! The query of a URL: one that is classified as safe contains no mutation, whichever parser reads it.

#[path = "../../crates/graphql/tests/differential/mod.rs"]
mod differential;

libfuzzer_sys::fuzz_target!(|query: &str| {
    differential::check_get(query);
});
