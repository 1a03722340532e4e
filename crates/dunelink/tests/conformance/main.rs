//! The conformance suite against the library: an axum host with the layer, whose node has a thread of its own.

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

struct Library {
    host: Runtime,
    node: Option<Node>,
    address: SocketAddr,
}

impl Subject for Library {
    fn start(config: &Value) -> Library {
        Library::of(Config::from_platform(&config.to_string()).unwrap())
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

impl Library {
    fn of(config: Config) -> Library {
        let node = Node::builder(config).start().unwrap();
        let (handle, seen) = (node.handle().clone(), node.handle().clone());
        let health = get(|| async move {
            match seen.is_ready() {
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

testkit::conformance!(Library);

/// The library with several shards, among which calls are dealt out.
struct Sharded(Library);

impl Subject for Sharded {
    fn start(config: &Value) -> Sharded {
        let mut config = Config::from_platform(&config.to_string()).unwrap();
        config.fleet.shards = 2;
        Sharded(Library::of(config))
    }

    fn address(&self) -> SocketAddr {
        self.0.address
    }

    fn end(&mut self) -> Answers {
        self.0.end()
    }
}

mod sharded {
    use super::Sharded;

    // Not those that count on two calls meeting the same shard's connections.
    testkit::conformance!(Sharded;
        a_bad_request_is_the_clients_to_mend_and_is_never_sent,
        an_id_belongs_to_one_open_request_at_a_time,
        an_unknown_tenant_counts_as_none,
        a_request_whose_time_is_up_is_answered_and_not_sent,
        a_silent_server_does_not_keep_the_answer_past_the_deadline,
        an_unsafe_request_that_may_have_run_is_not_sent_again_nor_refused,
        an_unsafe_request_that_never_ran_goes_elsewhere,
        a_refused_connection_proves_that_nothing_ran,
        a_keyed_request_goes_again_only_within_its_pod,
        a_key_goes_on_whatever_the_client_says_of_its_connection,
        an_idle_connection_that_the_server_closed_is_not_used,
        half_an_answer_is_not_passed_on,
        an_answer_that_does_not_say_where_it_ends_may_be_half_of_one,
        an_answer_that_comes_to_no_end_is_a_failed_attempt_soon,
        hints_and_load_reports_do_not_spoil_an_answer,
        what_comes_behind_an_answer_is_not_the_next_ones,
        a_client_that_leaves_takes_its_attempt_along,
        nothing_new_goes_to_a_server_that_drains_and_idle_connections_to_it_end,
        a_server_that_moves_is_met_at_its_new_address,
        a_server_that_started_anew_has_forgotten_its_connections,
        a_watch_that_ends_or_speaks_garbage_is_begun_anew_from_where_it_was,
        what_was_never_sent_is_refused_early_and_told_to_come_back_later,
        a_target_that_a_server_could_read_otherwise_is_turned_down,
        a_field_that_gives_a_request_another_meaning_is_turned_down,
        a_wrong_method_is_told_the_right_one,
        what_goes_on_is_the_request_without_its_hop,
        what_comes_back_is_the_answer_without_its_hop,
        only_a_servers_clear_word_proves_that_nothing_ran
    );
}
