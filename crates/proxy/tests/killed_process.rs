//! A proxy process that is killed while part of a request is still on its way to the server.
//!
//! The test stands alone in its program: a process inherits the open sockets of the one that starts it until it
//! executes its program, and so delays the close of a socket by another test.

mod common;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::rc::Rc;

use common::agent::Agent;
use common::client::Client;
use common::server::Step;
use common::stalled::{BODY_BYTES, configuration, received_completely, start_server};
use common::{readiness_status, run, settings, wait_until};
use tokio::sync::Notify;

/// A proxy in a process of its own, and the addresses that it listens on.
struct ProxyProcess {
    child: Child,
    /// Kept open because the process logs to it.
    _log: BufReader<ChildStderr>,
    front: SocketAddr,
    readiness: SocketAddr,
}

impl ProxyProcess {
    fn spawn(agent: &Agent) -> Self {
        let path = std::env::temp_dir().join(format!("dunelink-proxy-{}-killed.toml", std::process::id()));
        std::fs::write(&path, settings(agent)).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunelink-proxy"));
        let mut child = command.env("DUNELINK_BOOT", &path).stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        std::fs::remove_file(&path).unwrap();
        let address = |field: &str| {
            let value = line.split(field).nth(1).unwrap().split_whitespace().next().unwrap();
            value.trim_matches('"').parse().unwrap()
        };
        Self { front: address("front="), readiness: address("readiness="), child, _log: log }
    }

    fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Guards against DRAIN: a request of a proxy that was killed still reached the server.
#[test]
fn request_of_killed_proxy_is_not_delivered() {
    run(async {
        let release = Rc::new(Notify::new());
        let server = start_server("i-1", vec![Step::StopReading(release.clone())]).await;
        let agent = Agent::listen().await;
        let mut proxy = ProxyProcess::spawn(&agent);
        agent.send_configuration(&configuration());
        agent.send_grants(1);
        agent.set_servers(&[&server]);
        agent.send_heartbeat(0, 1);
        while readiness_status(proxy.readiness).await != 200 {}
        let mut client = Client::connect(proxy.front).await;
        client.send_request_with_body("/once/x", "a1", &"b".repeat(BODY_BYTES)).await;
        wait_until(|| server.count() == 1).await;
        proxy.kill();
        assert!(!received_completely(&server, &release).await);
    });
}
