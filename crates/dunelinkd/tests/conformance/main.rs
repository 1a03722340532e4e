//! Runs the conformance suite against the daemon.

#[path = "../process/mod.rs"]
mod process;

use std::net::SocketAddr;

use serde_json::Value;
use testkit::conformance::Subject;
use testkit::peers::Answers;

/// The daemon with this number of shards, to which connections are dispatched.
struct Daemon<const SHARDS: u32>(process::Process);

impl<const SHARDS: u32> Subject for Daemon<SHARDS> {
    fn start(config: &Value) -> Self {
        // The platform's format has no setting for shards.
        if SHARDS == 1 {
            return Daemon(process::Process::start(process::program(), &config.to_string()));
        }
        let mut config = dunelink::Config::from_platform(&config.to_string()).unwrap();
        config.fleet.shards = SHARDS;
        let path = process::write_as("toml", &config.to_toml().unwrap());
        let mut command = process::program();
        command.args(["run", "--config", &path]);
        Daemon(process::Process::start(command, ""))
    }

    fn start_with(config: &Value, more: &str) -> Self {
        let mut config = dunelink::Config::from_platform(&config.to_string()).unwrap();
        config.fleet.shards = SHARDS;
        config.attempts.answers = dunelink::config::FinalAnswers::Http;
        let path = process::write_as("toml", &(config.to_toml().unwrap() + more));
        let mut command = process::program();
        command.args(["run", "--config", &path]);
        Daemon(process::Process::start(command, ""))
    }

    fn address(&self) -> SocketAddr {
        self.0.address
    }

    fn end(&mut self) -> Answers {
        self.0.terminate();
        assert!(self.0.exit().success());
        self.0.counted()
    }
}

testkit::conformance!(Daemon<1>);

mod graphql {
    testkit::graphql_conformance!(super::Daemon<1>);
}

mod sharded {
    testkit::conformance!(super::Daemon<3>);
}
