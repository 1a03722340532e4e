#![no_main]
//! The platform's settings file: every text that is accepted gives settings that pass the decision module's
//! check, and every error message is a single line.

use dunelink::Config;

libfuzzer_sys::fuzz_target!(|text: &str| {
    match Config::from_platform(text) {
        Ok(config) => config.settings().check().unwrap(),
        Err(error) => assert!(error.to_string().lines().count() <= 1),
    }
});
