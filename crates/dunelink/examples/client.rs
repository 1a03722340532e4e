//! A program that calls the fleet through a node of its own, and drains a server meanwhile.
//!
//!     cargo run -p dunelink --example client

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use dunelink::config::{Class, Dedup, DedupGroup, Effect};
use dunelink::{Answer, Config, Node, Server, ServerState, Update, roster};
use tokio::net::TcpListener;

/// A stand-in for a payroll server that answers with its name.
async fn payroll_server(name: &'static str) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let pages = Router::new().fallback(move || async move { name });
    tokio::spawn(async move { axum::serve(listener, pages).await });
    Ok(address)
}

fn print_answer(what: &str, answer: &Answer) {
    match answer {
        Answer::Served(response) => {
            let body = response.body().whole().map(|body| String::from_utf8_lossy(body));
            println!("{what}: served by {}", body.unwrap_or("a long answer".into()));
        }
        Answer::Refused { retry_after: Some(after) } => println!("{what}: refused; retry after {after:?}"),
        Answer::Refused { retry_after: None } => println!("{what}: refused; a retry is harmless"),
        Answer::Failed { .. } => println!("{what}: failed; it may have run"),
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let second = Duration::from_secs(1);
    let config = Config {
        name: "client".into(),
        classes: vec![
            Class::new("payslip-view", Effect::Safe, second),
            Class {
                dedup: Some(Dedup { group: DedupGroup::All, window: 4 * second }),
                ..Class::new("timesheet-submit", Effect::Keyed, 4 * second)
            },
            Class::new("transfer-order", Effect::Unsafe, 2 * second),
        ],
        ..Config::default()
    };
    let (one, two) =
        (Server::new("one", payroll_server("one").await?), Server::new("two", payroll_server("two").await?));
    let (list, roster) = roster::channel();
    let node = Node::builder(config).roster(roster).start()?;
    let fleet = node.handle();

    list.send(Update::whole([one.clone()])).await?;
    while !fleet.is_ready() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    print_answer("a payslip", &fleet.call(http::Request::get("/payslip-view/7").body(String::new())?).await?);
    let order = http::Request::post("/transfer-order/7").body(String::from("300000 yen"))?;
    print_answer("an order", &fleet.call(order).await?);

    list.send(Update::changes([one.with_state(ServerState::Draining), two])).await?;
    // List changes and calls are not ordered: wait until the node has applied the change.
    while fleet.snapshot().await?.servers.iter().any(|server| &*server.uid == "one") {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let hours = http::Request::post("/timesheet-submit/7").header("idempotency-key", "5c0f6e1a");
    print_answer("hours", &fleet.call(hours.body(String::from("38.5"))?).await?);

    let wrong = fleet.call(http::Request::get("/no-such-class/7").body(String::new())?).await;
    println!("a mistake: {}", wrong.map(|_| ()).unwrap_err());
    println!("{:?}", node.shutdown(second).await);
    Ok(())
}
