//! A payroll portal on axum: its own pages, and payslips from the fleet.
//!
//!     cargo run -p dunelink --example portal
//!
//! It starts three stand-in servers, listens on a loopback port, and requests a page of each kind from
//! itself.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use dunelink::config::{Class, Effect};
use dunelink::tower::{FleetLayer, FleetService};
use dunelink::{Config, Node, Server, ext, roster};
use tokio::net::TcpListener;
use tower::ServiceExt;

/// A stand-in for a payroll server that answers with its name.
async fn payroll_server(name: &'static str) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let pages = Router::new().fallback(move || async move { format!("a payslip from {name}\n") });
    tokio::spawn(async move { axum::serve(listener, pages).await });
    Ok(address)
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut servers = Vec::new();
    for name in ["s-1", "s-2", "s-3"] {
        servers.push(Server::new(name, payroll_server(name).await?));
    }
    let config = Config {
        name: "portal".into(),
        classes: vec![Class::new("payslip-view", Effect::Safe, Duration::from_millis(750))],
        ..Config::default()
    };
    let node = Node::builder(config).roster(roster::Fixed::new(servers)).start()?;

    // Selects the requests for the fleet and sets their class. All others go to the portal's own routes.
    let layer = FleetLayer::new(node.handle().clone(), |head| {
        let to_fleet = head.uri.path().starts_with("/payslips/");
        if to_fleet {
            head.extensions.insert(ext::Class::new("payslip-view"));
        }
        to_fleet
    });
    let portal = Router::new()
        .route("/", get(|| async { "the portal's own page\n" }))
        .fallback(|| async { "the portal has no such page\n" })
        .layer(layer);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    println!("the portal listens on http://{}", listener.local_addr()?);

    for path in ["/", "/payslips/7f3a"] {
        let request = http::Request::get(path).body(axum::body::Body::empty())?;
        let response = portal.clone().oneshot(request).await?;
        let body = axum::body::to_bytes(response.into_body(), 1 << 20).await?;
        print!("GET {path}: {}", String::from_utf8_lossy(&body));
    }
    // The same node serves the portal's own calls.
    let fleet = FleetService::new(node.handle().clone());
    let response = fleet.oneshot(http::Request::get("/payslip-view/7f3a").body(String::new())?).await?;
    println!("the portal's own call: {}", response.status());

    // With `--stay`, the portal serves until it is interrupted.
    if std::env::args().any(|argument| argument == "--stay") {
        let interrupted = async { drop(tokio::signal::ctrl_c().await) };
        axum::serve(listener, portal).with_graceful_shutdown(interrupted).await?;
    }
    let counts = node.shutdown(Duration::from_secs(1)).await;
    println!("{} served, {} refused, {} failed", counts.served, counts.refused, counts.failed);
    Ok(())
}
