#![no_main]
//! The platform's file: whatever can be used has settings that the decision module takes.

use dunelink::Config;

libfuzzer_sys::fuzz_target!(|text: &str| {
    match Config::from_platform(text) {
        Ok(config) => config.settings().check().unwrap(),
        Err(error) => assert!(error.to_string().lines().count() <= 1),
    }
});
