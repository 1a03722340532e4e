//! The memory of a control process stays below `limits.memoryMb`, whatever arrives at the operator's API.

use std::net::SocketAddr;
use std::time::Duration;

use testkit::system::{Connection, Fleet, MemoryMeter, Plan, Signal};
use tokio::task::JoinSet;
use tokio::time::sleep;

const CONTROL_BINARY: &str = env!("CARGO_BIN_EXE_dunelink-control");
/// `limits.memoryMb` of a core machine.
const MEMORY_MB: u64 = 256;
/// More than any operator uses at the same time, and fewer than the API accepts.
const CONNECTIONS: usize = 60;
/// Connections that open while the process is stopped.
const WAITING_CONNECTIONS: usize = 1_000;
/// Just below the longest body that the API accepts.
const STATED_BYTES: usize = 4_700_000;
const SENT_BYTES: usize = 4_600_000;
/// Time in which the process reads what was sent.
const READING_TIME: Duration = Duration::from_secs(2);

/// An order that stops before its end.
fn partial_order() -> Vec<u8> {
    let head = format!(
        "POST /api/Config.Replace HTTP/1.1\r\nHost: control\r\nX-Dunelink-Base-Version: 0\r\n\
         Content-Length: {STATED_BYTES}\r\n\r\n"
    );
    [head.into_bytes(), vec![b' '; SENT_BYTES]].concat()
}

/// Opens connections and sends part of an order on each.
async fn send_partial_orders(node: SocketAddr) -> Vec<Connection> {
    let part = partial_order();
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut connection = Connection::open(node).await.expect("a connection");
        connection.send_bytes(&part).await.expect("the process reads the body");
        connections.push(connection);
    }
    connections
}

/// Starts a control machine. Returns its address for operators, and the measurement of its memory, too.
async fn start_control() -> (Fleet, SocketAddr, MemoryMeter) {
    let mut fleet = Fleet::start(CONTROL_BINARY, Plan { cores: 1, fronts: 0 }).await;
    fleet.led().await;
    let node = fleet.control(0);
    let memory = MemoryMeter::start(fleet.core(0).id().unwrap(), node.port());
    (fleet, node, memory)
}

/// Guards against the end of the process over its memory (Fault): orders that stop just before their end were kept,
/// whatever their sum.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_that_stop_before_their_end_stay_within_the_memory() {
    let (fleet, node, memory) = start_control().await;
    let _connections = send_partial_orders(node).await;
    sleep(READING_TIME).await;
    memory.assert_below(MEMORY_MB);
    assert_eq!(fleet.operator().read().await.status(), 404, "another request is answered meanwhile");
}

/// Guards against the end of the process over its memory (Fault): what arrived while it was stopped was bounded by
/// the kernel alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_that_arrive_while_the_process_is_stopped_stay_within_the_memory() {
    let (mut fleet, node, memory) = start_control().await;
    let connections = send_partial_orders(node).await;
    fleet.core(0).signal(Signal::STOP);
    let mut senders = JoinSet::new();
    for mut connection in connections {
        senders.spawn(async move {
            // The process ends the connection when it goes on, as the order is too long.
            let _ = connection.send_bytes(&vec![b' '; 2 * SENT_BYTES]).await;
        });
    }
    for _ in 0..WAITING_CONNECTIONS {
        senders.spawn(async move {
            let Ok(mut connection) = Connection::open(node).await else { return };
            let _ = connection.send_bytes(&partial_order()).await;
        });
    }
    sleep(READING_TIME).await;
    fleet.core(0).signal(Signal::CONT);
    sleep(READING_TIME).await;
    memory.assert_below(MEMORY_MB);
}
