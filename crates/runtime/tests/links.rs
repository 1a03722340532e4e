//! Links over loopback: messages arrive in order; a closed peer and a silent one are told apart.

use std::time::Duration;

use dunelink_protocol::{AgentMessage, FeedPosition, ProxyReport, RosterOffset};
use dunelink_runtime::{LinkError, accept, dial};
use tokio::net::TcpListener;

const PATIENCE: Duration = Duration::from_secs(5);

#[tokio::test]
async fn messages_cross_in_order_and_a_close_is_told() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    let (_, mut writer) = dial(address, PATIENCE, PATIENCE).await.expect("connects");
    let (socket, _) = listener.accept().await.expect("accepted");
    let (mut reader, _) = accept(socket, PATIENCE).expect("options are set");
    let first =
        AgentMessage::Subscribe(FeedPosition { configuration_version: 1, roster: RosterOffset::default() });
    let second = AgentMessage::Report(ProxyReport::default());
    writer.write(&first).await.expect("written");
    writer.write(&second).await.expect("written");
    drop(writer);
    assert_eq!(reader.read::<AgentMessage>().await.expect("first"), first);
    assert_eq!(reader.read_within::<AgentMessage>(PATIENCE).await.expect("second"), second);
    assert!(matches!(reader.read::<AgentMessage>().await, Err(LinkError::Closed)));
}

#[tokio::test(start_paused = true)]
async fn a_silent_peer_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    let (mut reader, _writer) = dial(address, PATIENCE, PATIENCE).await.expect("connects");
    let silent = reader.read_within::<AgentMessage>(PATIENCE).await;
    assert!(matches!(silent, Err(LinkError::Silent(_))));
}
