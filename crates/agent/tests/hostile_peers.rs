//! Unexpected or faulty peers on both sides: the agent closes the connection and continues to work.

mod harness;

use bytes::BytesMut;
use dunelink_protocol::hello::PROTOCOL_VERSION;
use dunelink_protocol::{
    AgentMessage, ConfigurationChunk, FeedMessage, Hello, LinkKind, ProxyMessage, ProxyReport, encode,
};
use dunelink_runtime::LinkReader;
use harness::{ControlStub, RunningAgent, chunk, unique_ip, within_deadline};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

async fn connect_raw(agent: &RunningAgent) -> TcpStream {
    drop(agent.connect(agent.ip).await);
    let socket = TcpSocket::new_v4().expect("socket");
    socket.bind(SocketAddr::new(agent.ip, 0)).expect("own address");
    within_deadline(socket.connect(SocketAddr::new(agent.ip, agent.port + 2))).await.expect("connected")
}

async fn assert_closed(reader: &mut LinkReader) {
    let closed = async { while reader.read::<FeedMessage>().await.is_ok() {} };
    within_deadline(closed).await;
}

async fn assert_still_serves(agent: &RunningAgent) {
    agent.proxy().await.next().await;
}

#[tokio::test]
async fn peer_on_another_machine_is_refused() {
    let control = ControlStub::at_free_port().await;
    let agent = RunningAgent::start(&[&control]);
    let (mut reader, mut writer) = agent.connect(unique_ip()).await;
    // The connection may be closed before this is written.
    let _ = writer.write(&agent.hello(LinkKind::Proxy)).await;
    assert_closed(&mut reader).await;
    assert_still_serves(&agent).await;
}

#[tokio::test]
async fn hello_of_wrong_kind_or_version_is_refused() {
    let control = ControlStub::at_free_port().await;
    let agent = RunningAgent::start(&[&control]);
    let other_protocol = Hello { protocol_version: PROTOCOL_VERSION + 1, ..agent.hello(LinkKind::Proxy) };
    for hello in [agent.hello(LinkKind::Agent), agent.hello(LinkKind::Replica), other_protocol] {
        let (mut reader, mut writer) = agent.connect(agent.ip).await;
        within_deadline(writer.write(&hello)).await.expect("written");
        assert_closed(&mut reader).await;
    }
    assert_still_serves(&agent).await;
}

#[tokio::test]
async fn invalid_bytes_close_the_connection() {
    let control = ControlStub::at_free_port().await;
    let agent = RunningAgent::start(&[&control]);
    for bytes in [&[0xff; 64][..], &[0, 0, 0, 0], b"GET / HTTP/1.1\r\n\r\n"] {
        let mut socket = connect_raw(&agent).await;
        within_deadline(socket.write_all(bytes)).await.expect("written");
        // The connection may be closed or reset.
        let _ = within_deadline(socket.read(&mut [0; 16])).await;
    }
    assert_still_serves(&agent).await;
}

#[tokio::test]
async fn connection_without_hello_is_closed() {
    let control = ControlStub::at_free_port().await;
    let agent = RunningAgent::start(&[&control]);
    let (mut reader, _writer) = agent.connect(agent.ip).await;
    assert_closed(&mut reader).await;
    assert_still_serves(&agent).await;
}

#[tokio::test]
async fn refused_peer_does_not_replace_the_proxy() {
    let control = ControlStub::at_free_port().await;
    let agent = RunningAgent::start(&[&control]);
    let mut connection = control.accept().await;
    let mut proxy = agent.proxy().await;
    proxy.next().await;
    let (mut reader, mut writer) = agent.connect(agent.ip).await;
    within_deadline(writer.write(&agent.hello(LinkKind::Agent))).await.expect("written");
    assert_closed(&mut reader).await;
    connection.send(chunk(2, "two")).await;
    assert_eq!(proxy.configuration().await.version, 2);
}

#[tokio::test]
async fn proxy_can_reconnect_after_invalid_bytes() {
    let control = ControlStub::at_free_port().await;
    let agent = RunningAgent::start(&[&control]);
    let mut socket = connect_raw(&agent).await;
    let mut bytes = BytesMut::new();
    encode(&agent.hello(LinkKind::Proxy), &mut bytes);
    encode(&ProxyMessage::Report(ProxyReport::default()), &mut bytes);
    bytes.extend_from_slice(&[0xff; 32]);
    within_deadline(socket.write_all(&bytes)).await.expect("written");
    let closed = async { while socket.read(&mut [0; 1024]).await.is_ok_and(|read| read > 0) {} };
    within_deadline(closed).await;
    assert_still_serves(&agent).await;
}

#[tokio::test]
async fn invalid_feed_closes_the_connection() {
    let control = ControlStub::at_free_port().await;
    let _agent = RunningAgent::start(&[&control]);
    let huge = ConfigurationChunk { version: 9, total_bytes: u64::MAX, offset: 0, bytes: vec![1] };
    let gap = ConfigurationChunk { version: 9, total_bytes: 10, offset: 5, bytes: vec![1] };
    for broken in [huge, gap] {
        let mut connection = control.accept().await;
        connection.send(FeedMessage::Configuration(broken)).await;
        connection.until_closed().await;
    }
    let mut connection = control.accept().await;
    let AgentMessage::Report(_) = connection.next().await else { panic!("expected a report") };
}
