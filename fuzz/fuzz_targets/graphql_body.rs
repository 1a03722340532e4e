#![no_main]
//! The body of a POST: one that is classified as safe contains no mutation, whichever parser reads it.

#[path = "../../crates/graphql/tests/differential/mod.rs"]
mod differential;

libfuzzer_sys::fuzz_target!(|body: &[u8]| {
    differential::check_post(body);
});
