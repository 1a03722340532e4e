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
