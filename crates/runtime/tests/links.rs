//! Connections over loopback: messages arrive in order, and a closed peer differs from a silent one.

use std::time::Duration;

use dunelink_protocol::{AgentMessage, FeedPosition, ProxyReport, RosterOffset};
use dunelink_runtime::{LinkError, accept, dial};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn messages_arrive_in_order_before_the_close() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    let (_, mut writer) = dial(address, TIMEOUT, TIMEOUT).await.expect("connects");
    let (socket, _) = listener.accept().await.expect("accepted");
    let (mut reader, _) = accept(socket, TIMEOUT).expect("options are set");
    let first =
        AgentMessage::Subscribe(FeedPosition { configuration_version: 1, roster: RosterOffset::default() });
    let second = AgentMessage::Report(ProxyReport::default());
    writer.write(&first).await.expect("written");
    writer.write(&second).await.expect("written");
    drop(writer);
    assert_eq!(reader.read::<AgentMessage>().await.expect("first"), first);
    assert_eq!(reader.read_with_timeout::<AgentMessage>(TIMEOUT).await.expect("second"), second);
    assert!(matches!(reader.read::<AgentMessage>().await, Err(LinkError::Closed)));
}

#[tokio::test(start_paused = true)]
async fn silent_peer_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    let (mut reader, _writer) = dial(address, TIMEOUT, TIMEOUT).await.expect("connects");
    let result = reader.read_with_timeout::<AgentMessage>(TIMEOUT).await;
    assert!(matches!(result, Err(LinkError::Timeout(_))));
}

/// Guards against the end of the process over its memory (Fault): a peer that has not said who it is could make
/// it buffer 16 MiB on each connection.
#[tokio::test]
async fn first_message_of_an_unknown_peer_is_short() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let mut peer = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("connects");
    let (socket, _) = listener.accept().await.expect("accepted");
    let (mut reader, _writer) = accept(socket, TIMEOUT).expect("options are set");
    let frame = [&1_000_000_u32.to_le_bytes()[..], &[0; 200_000]].concat();
    peer.write_all(&frame).await.expect("written");
    let result = reader.read_with_timeout::<AgentMessage>(TIMEOUT).await;
    assert!(matches!(result, Err(LinkError::FirstMessageTooLarge)), "{result:?}");
}
