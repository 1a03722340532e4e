//! dunelink as a library: a load-balancing node embedded in a host process.
//!
//! A [`Node`] balances requests over a fleet of servers and gives every accepted request exactly one final
//! [`Answer`] before its deadline: served, refused (a retry is harmless) or failed. A request that must not
//! run twice is sent again only if the previous attempt provably did not run. The crate `cherryusher` decides
//! which server gets a request, whether it is retried and what is refused, exactly as in the daemon of the
//! same name.
//!
//! # Calling a fleet
//!
//! ```
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! use dunelink::config::{Class, Effect};
//! use dunelink::{Answer, Config, Node, Server, roster::Fixed};
//! use std::time::Duration;
//!
//! let config = Config {
//!     classes: vec![Class::new("view", Effect::Safe, Duration::from_secs(2))],
//!     ..Config::default()
//! };
//! # let port = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
//! let servers = [Server::new("s-1", ([127, 0, 0, 1], port).into())];
//! let node = Node::builder(config).roster(Fixed::new(servers)).start()?;
//!
//! let request = http::Request::get("/view/7f3a").body(String::new())?;
//! match node.handle().call(request).await? {
//!     Answer::Served(response) => println!("{} bytes", response.into_body().bytes(1 << 20).await?.len()),
//!     Answer::Refused { retry_after } => println!("refused; retry after {retry_after:?}"),
//!     Answer::Failed { timed_out } => println!("failed; timed out: {timed_out}"),
//! }
//! node.shutdown(Duration::from_secs(1)).await;
//! # Ok(()) }
//! ```
//!
//! # Parts
//!
//! - [`Config`]: all settings of a node, read from TOML or from the platform's JSON, or built in code.
//! - [`roster`]: sources of the server list.
//! - [`Handle`]: the interface to a running node; cheap to clone, usable from any thread.
//! - [`ext`]: request extensions through which a host sets class, tenant, deadline and id.
//! - `tower` (feature `tower`): a layer and a client service.
//! - [`http::respond`]: the mapping of answers and errors to HTTP responses.
//!
//! # Threads and runtimes
//!
//! [`Builder::start`] runs the engine and its sockets on threads of their own, so that deadlines and drains
//! are met whatever the host's executor does. A call itself needs no runtime, except while a request body is
//! still being received: its time limit uses the timers of the tokio runtime that polls the call.

mod answer_body;
mod attempt;
mod body_buffer;
pub mod config;
mod counted_socket;
mod counts;
mod engine;
mod engine_feed;
mod error;
mod final_answer;
mod fleet;
pub mod headers;
pub mod http;
mod idle_order;
mod intake;
mod node;
mod payload;
mod platform_list;
pub mod roster;
mod server_list;
mod servers;
mod snapshot;
mod thread;
#[cfg(feature = "tower")]
pub mod tower;
mod types;

pub use answer_body::AnswerBody;
pub use config::Config;
pub use counts::{ClassCounts, Counts};
/// Gossip between nodes: members, suspicions and packets.
pub use dunelink_gossip as gossip;
/// GraphQL-over-HTTP: classification of requests and the node's own responses.
pub use dunelink_graphql as graphql;
/// Reachability between nodes and zones.
pub use dunelink_reach as reachability;
/// Decisions that the fleet makes by quorum, such as evictions.
pub use dunelink_view as consensus;
pub use error::{BodyError, BoxError, CallError, Closed, InvalidRequest, StartError};
pub use fleet::{EvictionView, FleetView, GossipView, Gossiper, NodeView};
pub use intake::ext;
pub use node::{Builder, Completion, Handle, Node, NodeParts, ReceivedRequest, ServerListReader, Shard};
pub use server_list::{Server, ServerState, Update};
pub use snapshot::{ServerView, Snapshot};
pub use types::Answer;
