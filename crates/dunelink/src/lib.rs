//! dunelink as a library: a load-balancing node inside a host's own process.
//!
//! A [`Node`] knows a fleet of servers and gives every request that it takes exactly one final [`Answer`]
//! before its deadline: served, refused (trying again is harmless) or failed. What must not run twice is never
//! sent again unless it is proven that it did not run. Which server gets a request, whether it is tried again
//! and what is refused is decided by the crate `cherryusher`, just as in the daemon of the same name.
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
//!     Answer::Refused { retry_after } => println!("come back after {retry_after:?}"),
//!     Answer::Failed { timed_out } => println!("no promise; out of time: {timed_out}"),
//! }
//! node.shutdown(Duration::from_secs(1)).await;
//! # Ok(()) }
//! ```
//!
//! # NodeParts
//!
//! - [`Config`]: everything a node goes by, from TOML, from the platform's JSON, or made in code.
//! - [`roster`]: where the list of servers comes from.
//! - [`Handle`]: the way to a running node; cheap to clone, usable from any thread.
//! - [`ext`]: what a host says of a request in its extensions.
//! - `tower` (feature `tower`): a layer and a client service.
//! - [`http::respond`]: answers and errors as HTTP responses, in one place.
//!
//! # Threads and runtimes
//!
//! [`Builder::start`] gives the engine and its sockets a thread of their own, so that deadlines and drains are
//! kept whatever the host's executor does. A call itself needs no runtime, except while a body is still coming
//! in: its time limit uses the timers of the tokio runtime that polls the call.

mod answer_body;
mod answering;
mod attempt;
pub mod config;
mod counts;
mod engine;
mod entries;
mod error;
mod feeding;
mod fleet;
pub mod headers;
pub mod http;
mod idle;
mod intake;
mod line;
mod listing;
mod node;
mod payload;
mod pieces;
pub mod roster;
mod servers;
mod snapshot;
mod thread;
#[cfg(feature = "tower")]
pub mod tower;
mod types;

pub use answer_body::AnswerBody;
pub use config::Config;
pub use counts::{ClassCounts, Counts};
/// What gossip tells of members and servers.
pub use dunelink_gossip as gossip;
/// What a GraphQL request is, and what the node says of it.
pub use dunelink_graphql as graphql;
/// Who reaches whom.
pub use dunelink_reach as reachability;
/// What the fleet decides as one.
pub use dunelink_view as consensus;
pub use entries::{Server, ServerState, Update};
pub use error::{BodyError, BoxError, CallError, Closed, InvalidRequest, StartError};
pub use fleet::{EvictionView, FleetView, GossipView, Gossiper, NodeView};
pub use intake::ext;
pub use node::{Builder, Completion, Handle, Node, NodeParts, ReceivedRequest, ServerListReader, Shard};
pub use snapshot::{ServerView, Snapshot};
pub use types::Answer;
