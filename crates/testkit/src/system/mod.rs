//! Stand-ins on loopback for whole-program tests of the router fleet: model servers, the platform's list, the
//! operator, clients, and the fleet's own processes on machines with loopback addresses of their own.
//!
//! Every wait is bounded by [`WITHIN`]; only a failing test sees that bound.

pub mod client;
pub mod configuration;
pub mod fleet;
pub mod memory;
pub mod message;
pub mod model_server;
pub mod network;
pub mod operator;
pub mod platform_list;
pub mod process;
pub mod programs;
pub mod reply;
pub mod scene;
pub mod settings;

use std::future::Future;
use std::time::Duration;

pub use client::{Answer, Connection, Event, Request, TestClient};
pub use configuration::{Configuration, Route};
pub use fleet::{Fleet, Plan};
pub use memory::MemoryMeter;
pub use model_server::{ModelServer, Received};
pub use network::Network;
pub use operator::{OperatorClient, Outcome};
pub use platform_list::{Entry, PlatformList};
pub use reply::{Fault, Pace, Reply};
pub use rustix::process::Signal;
pub use scene::Scene;
pub use serde_json::{Value, json};

/// The longest that a test waits for anything.
pub const WITHIN: Duration = Duration::from_secs(20);

/// Time between two looks at something that gives no signal of its own.
pub const LOOK_AGAIN: Duration = Duration::from_millis(10);

/// What `wait` gives, or a panic that names what was waited for.
pub async fn within<T>(what: &str, wait: impl Future<Output = T>) -> T {
    match tokio::time::timeout(WITHIN, wait).await {
        Ok(value) => value,
        Err(_) => panic!("waited {WITHIN:?} in vain for: {what}"),
    }
}

/// Looks again and again until `look` gives something, at most for [`WITHIN`].
pub async fn until<T, F: Future<Output = Option<T>>>(what: &str, mut look: impl FnMut() -> F) -> T {
    let looks = async {
        let mut interval = tokio::time::interval(LOOK_AGAIN);
        loop {
            interval.tick().await;
            if let Some(value) = look().await {
                return value;
            }
        }
    };
    within(what, looks).await
}
