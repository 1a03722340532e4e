#![no_main]
//! An operator's file: whatever can be used is written and read back to the same value.

use dunelink::Config;

libfuzzer_sys::fuzz_target!(|text: &str| {
    match Config::from_toml(text) {
        Ok(config) => assert_eq!(Config::from_toml(&config.to_toml().unwrap()).unwrap(), config),
        Err(error) => assert!(error.to_string().lines().count() <= 1),
    }
});
