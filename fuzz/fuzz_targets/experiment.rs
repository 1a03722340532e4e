#![no_main]
//! An experiment's file: no text is more than an error with a place in it, and what can be played is written and read
//! back to the same.

use dunelink_lab::Experiment;

libfuzzer_sys::fuzz_target!(|text: &str| {
    match Experiment::from_toml(text) {
        Ok(experiment) => {
            let again = Experiment::from_toml(&toml::to_string(&experiment).unwrap()).unwrap();
            assert_eq!(again, experiment);
        }
        Err(problem) => assert!(problem.line.is_none_or(|line| line <= text.lines().count() + 1)),
    }
});
