#![no_main]
//! An operator's settings file: every text that is accepted can be written and read back to an equal value,
//! and every error message is a single line.

use dunelink::Config;

libfuzzer_sys::fuzz_target!(|text: &str| {
    match Config::from_toml(text) {
        Ok(config) => assert_eq!(Config::from_toml(&config.to_toml().unwrap()).unwrap(), config),
        Err(error) => assert!(error.to_string().lines().count() <= 1),
    }
});
