#![no_main]
//! An experiment's file: a text that is accepted can be written and read back to an equal value; any other
//! gives an error whose line number, if it has one, is at most one past the text's last line.

use dunelink_lab::Experiment;

libfuzzer_sys::fuzz_target!(|text: &str| {
    match Experiment::from_toml(text) {
        Ok(experiment) => {
            let reread = Experiment::from_toml(&toml::to_string(&experiment).unwrap()).unwrap();
            assert_eq!(reread, experiment);
        }
        Err(problem) => assert!(problem.line.is_none_or(|line| line <= text.lines().count() + 1)),
    }
});
