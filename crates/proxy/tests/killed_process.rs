//! A proxy process that is killed while part of a request is still on its way to the server.
//!
//! The test stands alone in its program: a process inherits the open sockets of the one that starts it until it
//! executes its program, and so delays the close of a socket by another test.

mod common;

use std::rc::Rc;

use common::agent::Agent;
use common::client::Client;
use common::process::ProxyProcess;
use common::server::Step;
use common::stalled::{BODY_BYTES, configuration, received_completely, start_server};
use common::{run, wait_until};
use tokio::sync::Notify;

/// Guards against DRAIN: a request of a proxy that was killed still reached the server.
#[test]
fn request_of_killed_proxy_is_not_delivered() {
    run(async {
        let release = Rc::new(Notify::new());
        let server = start_server("i-1", vec![Step::StopReading(release.clone())]).await;
        let agent = Agent::listen().await;
        let mut proxy = ProxyProcess::spawn(&agent, "");
        proxy.configure(&agent, 1, &configuration(), &[&server]).await;
        let mut client = Client::connect(proxy.front).await;
        client.send_request_with_body("/once/x", "a1", &"b".repeat(BODY_BYTES)).await;
        wait_until(|| server.count() == 1).await;
        proxy.kill();
        assert!(!received_completely(&server, &release).await);
    });
}
