//! The fleet's stand-ins do what their scripts say.

use testkit::system::{
    Connection, Entry, Fault, ModelServer, Network, Pace, PlatformList, Reply, Request, TestClient, reply,
};

async fn server(network: &Network, id: &str) -> (ModelServer, TestClient) {
    let server = ModelServer::start(network.server(0), id).await;
    let client = TestClient::new(server.address(), "a.example", "key");
    (server, client)
}

#[tokio::test]
async fn a_server_answers_with_id_and_seal_and_notes_what_it_read() {
    let network = Network::claim();
    let (server, client) = server(&network, "i-1").await;
    let request = client.request("POST", "/p/x?q=1").body(b"words").chunked();
    let answer = client.ask(&request).await.unwrap();
    assert_eq!((answer.status(), answer.text().as_str()), (200, "well"));
    assert_eq!(answer.head.field("X-Dunelink-Request-Id"), Some(request.id.as_str()));
    let seal = reply::seal("i-1", &request.id);
    assert_eq!(answer.head.field("X-Dunelink-Response-Seal"), Some(seal.as_str()));
    let received = server.request(&request.id).await;
    assert_eq!(
        (received.method(), received.target(), &received.body[..]),
        ("POST", "/p/x?q=1", &b"words"[..])
    );
}

#[tokio::test]
async fn another_instance_is_turned_away() {
    let network = Network::claim();
    let (mut server, client) = server(&network, "i-1").await;
    server.restart("i-2").await;
    let request = client.request("GET", "/").field("X-Dunelink-Expect-Instance", "i-1");
    let answer = client.ask(&request).await.unwrap();
    assert_eq!((answer.status(), answer.head.field("X-Dunelink-Instance-Id")), (421, Some("i-2")));
    assert_eq!((server.runs(&request.id), server.seen().misdirected.len()), (0, 1));
}

#[tokio::test]
async fn a_stream_goes_on_behind_an_id_and_each_fault_cuts_where_it_says() {
    let network = Network::claim();
    let (server, client) = server(&network, "i-1").await;
    let faults = [
        (Fault::None, vec![3, 4, 5], true),
        (Fault::CloseInBody, vec![], false),
        (Fault::CloseInEvent(4), vec![3], false),
        (Fault::CloseAfterEvent(4), vec![3, 4], false),
    ];
    for (fault, wanted, whole) in faults {
        server.next(Reply::events(5, Pace::AtOnce).with(fault.clone()));
        let mut connection = client.connect().await.unwrap();
        connection.send(&client.request("POST", "/s/").field("Last-Event-Id", "2")).await.unwrap();
        let (events, ended) = connection.head().await.unwrap().events().await;
        let ids: Vec<u64> = events.iter().map(|event| event.id).collect();
        assert_eq!((ids, ended), (wanted, whole), "{fault:?}");
    }
}

#[tokio::test]
async fn a_gated_stream_waits_for_its_test_and_notes_a_caller_that_leaves() {
    let network = Network::claim();
    let (server, client) = server(&network, "i-1").await;
    let (pace, gate) = Pace::gate();
    server.next(Reply::events(3, pace));
    let request = client.request("POST", "/s/");
    let mut connection = client.connect().await.unwrap();
    connection.send(&request).await.unwrap();
    gate.add_permits(1);
    let event = connection.head().await.unwrap().event().await.unwrap();
    assert_eq!(event.map(|event| event.data), Some(reply::event_data(1)));
    drop(connection);
    server.left(&request.id).await;
}

#[tokio::test]
async fn faults_of_a_plain_answer_cut_it() {
    let network = Network::claim();
    let (server, client) = server(&network, "i-1").await;
    for fault in [Fault::CloseBeforeHead, Fault::CloseInHead, Fault::CloseInBody] {
        server.next(Reply::plain(200, "words").with(fault.clone()));
        assert!(client.ask(&client.request("GET", "/")).await.is_err(), "{fault:?}");
    }
    server.next(Reply::plain(200, "words").with(Fault::MoreBytes(b"more".to_vec())));
    let mut connection = client.connect().await.unwrap();
    assert_eq!(connection.ask(&client.request("GET", "/")).await.unwrap().text(), "words");
    assert!(!connection.closes().await);
}

#[tokio::test]
async fn a_list_has_pages_a_rate_and_a_record() {
    let network = Network::claim();
    let list = PlatformList::start(network.list()).await;
    let entry = |number: u8| Entry::ready(&format!("i-{number}"), "s", network.server(number), "zone-1");
    list.set((0..3).map(entry).collect());
    list.page(2);
    let mut connection = Connection::open(list.address()).await.unwrap();
    let first = connection.ask(&Request::new("GET", "list", "/instances")).await.unwrap();
    let first: serde_json::Value = serde_json::from_slice(&first.body).unwrap();
    assert_eq!(first["instances"].as_array().unwrap().len(), 2);
    let target = format!("/instances?pageToken={}", first["nextToken"].as_str().unwrap());
    let last = connection.ask(&Request::new("GET", "list", &target)).await.unwrap();
    let last: serde_json::Value = serde_json::from_slice(&last.body).unwrap();
    assert_eq!((last["instances"][0]["id"].as_str(), last["nextToken"].is_null()), (Some("i-2"), true));
    list.read().await;
    list.rate(2);
    let over = connection.ask(&Request::new("GET", "list", "/instances")).await.unwrap();
    assert_eq!((over.status(), list.calls().len()), (429, 3));
}
