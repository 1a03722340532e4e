//! Runs the conformance suite against the library: an axum host with the layer, whose node has threads of its
//! own.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;
use dunelink::tower::FleetLayer;
use dunelink::{Config, Node};
use serde_json::Value;
use testkit::conformance::Subject;
use testkit::peers::Answers;
use tokio::runtime::Runtime;

/// A host whose node has `SHARDS` shards, among which calls are distributed.
struct Library<const SHARDS: u32> {
    host: Runtime,
    node: Option<Node>,
    address: SocketAddr,
}

impl<const SHARDS: u32> Subject for Library<SHARDS> {
    fn start(config: &Value) -> Self {
        Self::start_node(Config::from_platform(&config.to_string()).unwrap())
    }

    fn start_with(config: &Value, extra_toml: &str) -> Self {
        let mut config = Config::from_platform(&config.to_string()).unwrap();
        config.attempts.answers = dunelink::config::FinalAnswers::Http;
        Self::start_node(Config::from_toml(&(config.to_toml().unwrap() + extra_toml)).unwrap())
    }

    fn address(&self) -> SocketAddr {
        self.address
    }

    fn end(&mut self) -> Answers {
        let node = self.node.take().unwrap();
        let counts = self.host.block_on(node.shutdown(Duration::from_secs(20)));
        Answers { served: counts.served, refused: counts.refused, failed: counts.failed }
    }
}

impl<const SHARDS: u32> Library<SHARDS> {
    fn start_node(mut config: Config) -> Self {
        config.fleet.shards = SHARDS;
        let node = Node::builder(config).start().unwrap();
        let (handle, health_handle) = (node.handle().clone(), node.handle().clone());
        let health = get(|| async move {
            match health_handle.is_ready() {
                true => (StatusCode::OK, "ok"),
                false => (StatusCode::SERVICE_UNAVAILABLE, "not serving"),
            }
        });
        let portal = Router::new()
            .route("/_health", health)
            .fallback(|| async { (StatusCode::NOT_FOUND, "the host has no such page") })
            .layer(FleetLayer::new(handle, |head| head.uri.path() != "/_health"));
        let host = Runtime::new().unwrap();
        let listener = host.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        host.spawn(async move { axum::serve(listener, portal).await });
        Library { host, node: Some(node), address }
    }
}

testkit::conformance!(Library<1>);

mod graphql {
    testkit::graphql_conformance!(super::Library<1>);
}

mod sharded {
    testkit::conformance!(spread super::Library<2>);
}
