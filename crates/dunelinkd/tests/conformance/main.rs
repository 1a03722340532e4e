//! The conformance suite against the daemon.

#[path = "../process/mod.rs"]
mod process;

use std::net::SocketAddr;

use serde_json::Value;
use testkit::conformance::Subject;
use testkit::peers::Answers;

struct Daemon(process::Process);

impl Subject for Daemon {
    fn start(config: &Value) -> Daemon {
        Daemon(process::Process::start(process::program(), &config.to_string()))
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

testkit::conformance!(Daemon);

/// The daemon with several shards, between which connections are dealt out.
struct Sharded(process::Process);

impl Subject for Sharded {
    fn start(config: &Value) -> Sharded {
        let mut config = dunelink::Config::from_platform(&config.to_string()).unwrap();
        config.fleet.shards = 3;
        let path = process::write(&config.to_toml().unwrap()).replace(".json", ".toml");
        std::fs::write(&path, config.to_toml().unwrap()).unwrap();
        let mut command = process::program();
        command.args(["run", "--config", &path]);
        Sharded(process::Process::start(command, ""))
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

mod sharded {
    use super::Sharded;

    testkit::conformance!(Sharded);
}
