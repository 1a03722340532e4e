//! What strangers and broken peers send at either end: the connection is closed and the agent goes on.

mod site;

use bytes::BytesMut;
use dunelink_protocol::hello::PROTOCOL_VERSION;
use dunelink_protocol::{
    AgentMessage, ConfigurationChunk, FeedMessage, Hello, LinkKind, ProxyMessage, ProxyReport, encode,
};
use dunelink_runtime::LinkReader;
use site::{Control, Running, chunk, fresh_ip, soon};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

async fn raw(agent: &Running) -> TcpStream {
    drop(agent.connect(agent.ip).await);
    let socket = TcpSocket::new_v4().expect("socket");
    socket.bind(SocketAddr::new(agent.ip, 0)).expect("own address");
    soon(socket.connect(SocketAddr::new(agent.ip, agent.port + 2))).await.expect("connected")
}

async fn is_closed(reader: &mut LinkReader) {
    let closed = async { while reader.read::<FeedMessage>().await.is_ok() {} };
    soon(closed).await;
}

async fn serves_on(agent: &Running) {
    agent.proxy().await.next().await;
}

#[tokio::test]
async fn a_peer_on_another_machine_is_closed() {
    let control = Control::first().await;
    let agent = Running::start(&[&control]);
    let (mut reader, mut writer) = agent.connect(fresh_ip()).await;
    // The connection may be closed before this is written.
    let _ = writer.write(&agent.hello(LinkKind::Proxy)).await;
    is_closed(&mut reader).await;
    serves_on(&agent).await;
}

#[tokio::test]
async fn a_hello_of_another_kind_or_protocol_is_closed() {
    let control = Control::first().await;
    let agent = Running::start(&[&control]);
    let other_protocol = Hello { protocol_version: PROTOCOL_VERSION + 1, ..agent.hello(LinkKind::Proxy) };
    for hello in [agent.hello(LinkKind::Agent), agent.hello(LinkKind::Replica), other_protocol] {
        let (mut reader, mut writer) = agent.connect(agent.ip).await;
        soon(writer.write(&hello)).await.expect("written");
        is_closed(&mut reader).await;
    }
    serves_on(&agent).await;
}

#[tokio::test]
async fn bytes_that_are_no_message_are_closed() {
    let control = Control::first().await;
    let agent = Running::start(&[&control]);
    for bytes in [&[0xff; 64][..], &[0, 0, 0, 0], b"GET / HTTP/1.1\r\n\r\n"] {
        let mut socket = raw(&agent).await;
        soon(socket.write_all(bytes)).await.expect("written");
        // Closed or reset, either will do.
        let _ = soon(socket.read(&mut [0; 16])).await;
    }
    serves_on(&agent).await;
}

#[tokio::test]
async fn a_connection_that_says_nothing_is_closed() {
    let control = Control::first().await;
    let agent = Running::start(&[&control]);
    let (mut reader, _writer) = agent.connect(agent.ip).await;
    is_closed(&mut reader).await;
    serves_on(&agent).await;
}

#[tokio::test]
async fn a_stranger_does_not_replace_the_proxy() {
    let control = Control::first().await;
    let agent = Running::start(&[&control]);
    let mut served = control.accept().await;
    let mut proxy = agent.proxy().await;
    proxy.next().await;
    let (mut reader, mut writer) = agent.connect(agent.ip).await;
    soon(writer.write(&agent.hello(LinkKind::Agent))).await.expect("written");
    is_closed(&mut reader).await;
    served.send(chunk(2, "two")).await;
    assert_eq!(proxy.configuration().await.version, 2);
}

#[tokio::test]
async fn a_proxy_that_sends_garbage_is_closed_and_may_come_back() {
    let control = Control::first().await;
    let agent = Running::start(&[&control]);
    let mut socket = raw(&agent).await;
    let mut bytes = BytesMut::new();
    encode(&agent.hello(LinkKind::Proxy), &mut bytes);
    encode(&ProxyMessage::Report(ProxyReport::default()), &mut bytes);
    bytes.extend_from_slice(&[0xff; 32]);
    soon(socket.write_all(&bytes)).await.expect("written");
    let closed = async { while socket.read(&mut [0; 1024]).await.is_ok_and(|read| read > 0) {} };
    soon(closed).await;
    serves_on(&agent).await;
}

#[tokio::test]
async fn a_control_machine_that_breaks_the_feed_is_closed() {
    let control = Control::first().await;
    let _agent = Running::start(&[&control]);
    let huge = ConfigurationChunk { version: 9, total_bytes: u64::MAX, offset: 0, bytes: vec![1] };
    let gap = ConfigurationChunk { version: 9, total_bytes: 10, offset: 5, bytes: vec![1] };
    for broken in [huge, gap] {
        let mut served = control.accept().await;
        served.send(FeedMessage::Configuration(broken)).await;
        served.until_closed().await;
    }
    let mut served = control.accept().await;
    let AgentMessage::Report(_) = served.next().await else { panic!("a sign of life") };
}
