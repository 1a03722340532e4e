//! The end of the process.

mod common;

use std::rc::Rc;

use common::client::head;
use common::server::{Server, Step, answer, chunk, event, last_chunk, stream_head};
use common::{System, run, until};
use tokio::sync::Notify;

/// A client's time that is over after the process's end: its grace is four seconds.
const OUTLASTS_MS: u32 = 9_000;
/// Seconds for which the platform may still send clients.
const SENT_FOR_S: f64 = 2.0;

#[test]
fn what_was_read_is_answered_before_the_end() {
    run(async {
        let go = Rc::new(Notify::new());
        let wait = go.clone();
        let one = Server::start("i-1", move |_, request| match request.head.contains("/again/") {
            true => vec![
                stream_head("s"),
                chunk(&event(0)),
                Step::Wait(wait.clone()),
                chunk(&event(1)),
                last_chunk(),
            ],
            false => answer(200, "", "fine"),
        })
        .await;
        let system = System::with(&[&one]).await;
        let mut idle = system.client().await;
        assert_eq!(idle.call("/safe/x", "a1").await.header("connection"), None);
        let mut stream = system.client().await;
        stream.ask("/again/x", "a2").await;
        assert_eq!(stream.head().await.unwrap().status, 200);
        let ended = tokio::join!(system.finish(), async {
            until(|| system.node.is_shutting_down()).await;
            assert_eq!(system.check().await, 503);
            // The platform sends clients for a while yet.
            let mut late = system.client().await;
            let answered = late.call("/safe/x", "a3").await;
            assert_eq!((answered.status, answered.header("connection")), (200, Some("close")));
            assert!(late.is_closed().await);
            // Nothing is asked on this one: it is closed.
            assert!(idle.is_closed().await);
            go.notify_one();
            assert_eq!(stream.chunk().await.unwrap(), event(0));
            assert_eq!(stream.chunk().await.unwrap(), event(1));
            assert_eq!(stream.chunk().await.unwrap(), "");
        });
        let ((), ()) = ended;
        assert_eq!(system.clients.count(), 0);
    });
}

#[test]
fn no_connection_is_taken_that_would_be_cut_at_the_end() {
    run(async {
        let one = Server::start("i-1", |_, _| answer(200, "", "fine")).await;
        let system = System::with(&[&one]).await;
        let mut late = system.client().await;
        let ((), ()) = tokio::join!(system.finish(), async {
            until(|| system.node.is_shutting_down()).await;
            assert_eq!(late.call("/safe/x", "b1").await.status, 200);
        });
        assert_eq!(system.clients.count(), 0);
        assert!(!system.accepts().await, "nobody is left to answer a request on a connection taken now");
    });
}

/// A stream that began before the process was told to end leaves a connection whose client knows nothing of that. What
/// comes on it after the platform has stopped sending clients is served only if it can't outlast the process.
#[test]
fn a_kept_connection_brings_nothing_that_would_be_cut() {
    run(async {
        let [early, late] = [Rc::new(Notify::new()), Rc::new(Notify::new())];
        let waits = [early.clone(), late.clone()];
        let one = Server::start("i-1", move |_, request| {
            let wait = match request.header("x-dunelink-request-id") {
                Some("d1") => waits[0].clone(),
                Some("d2" | "d3") => waits[1].clone(),
                _ => return answer(200, "", "fine"),
            };
            vec![stream_head("s"), chunk(&event(0)), Step::Wait(wait), last_chunk()]
        })
        .await;
        let system = System::with(&[&one]).await;
        let mut clients = [system.client().await, system.client().await, system.client().await];
        for (client, id) in clients.iter_mut().zip(["d1", "d2", "d3"]) {
            client.ask("/again/x", id).await;
            let head = client.head().await.unwrap();
            assert_eq!((head.status, head.header("connection")), (200, None));
            assert_eq!(client.chunk().await.unwrap(), event(0));
        }
        let [mut before, mut after, mut short] = clients;
        let ((), ()) = tokio::join!(system.finish(), async {
            until(|| system.node.is_shutting_down()).await;
            // Before the last client is sent: it is served, and its answer ends the connection.
            early.notify_one();
            assert_eq!(before.chunk().await.unwrap(), "");
            let answered = before.call("/long/x", "d4").await;
            assert_eq!((answered.status, answered.header("connection")), (200, Some("close")));
            assert!(before.is_closed().await);
            while system.accepts().await {}
            // After it: what may last for longer than the process is sent to no server.
            for (client, path, id, status) in
                [(&mut after, "/long/x", "d5", 503), (&mut short, "/hasty/x", "d6", 200)]
            {
                late.notify_one();
                assert_eq!(client.chunk().await.unwrap(), "");
                let answered = client.call(path, id).await;
                assert_eq!((answered.status, answered.header("connection")), (status, Some("close")));
                assert_eq!(answered.header("retry-after").is_some(), status == 503);
                assert!(client.is_closed().await);
            }
        });
        let received = one.received.borrow();
        let sent = |id| received.iter().any(|request| request.header("x-dunelink-request-id") == Some(id));
        assert!(sent("d4") && sent("d6") && !sent("d5"));
        assert_eq!((system.node.open_request_count(), system.clients.count()), (0, 0));
    });
}

/// From the signal on, also while the platform still sends clients: a request whose time is over after the process's
/// end is sent to no server, on whatever connection it comes, and whenever its first byte came.
#[test]
fn what_may_outlast_the_process_is_refused_from_the_signal_on() {
    run(async {
        let one = Server::start("i-1", |_, _| answer(200, "", "fine")).await;
        let system = System::with(&[&one]).await;
        let mut half = system.client().await;
        half.send(&head("/again/x", "e1", OUTLASTS_MS, "")).await;
        half.send("bo").await;
        let mut kept = system.client().await;
        assert_eq!(kept.call("/safe/x", "e2").await.status, 200);
        until(|| system.node.open_request_count() == 1).await;
        let ((), ()) = tokio::join!(system.finish(), async {
            until(|| system.node.is_shutting_down()).await;
            half.send("dy").await;
            kept.send(&format!("{}body", head("/again/x", "e3", OUTLASTS_MS, ""))).await;
            let mut new = system.client().await;
            new.send(&format!("{}body", head("/again/x", "e4", OUTLASTS_MS, ""))).await;
            for client in [&mut half, &mut kept, &mut new] {
                let answered = client.answer().await;
                assert_eq!((answered.status, answered.header("connection")), (503, Some("close")));
                let after: f64 = answered.header("retry-after").unwrap().parse().unwrap();
                assert!((0.05..=SENT_FOR_S * 1.15).contains(&after), "{after}");
                assert!(client.is_closed().await);
            }
            let mut short = system.client().await;
            assert_eq!(short.call("/safe/x", "e5").await.status, 200);
        });
        let ids: Vec<String> = one
            .received
            .borrow()
            .iter()
            .filter_map(|r| Some(r.header("x-dunelink-request-id")?.to_owned()))
            .collect();
        assert_eq!(ids, ["e2", "e5"]);
        assert_eq!((system.node.open_request_count(), system.clients.count()), (0, 0));
    });
}

/// A request that was on its way to a server when the signal came is answered for as long as the process may run.
#[test]
fn what_was_sent_before_the_signal_is_answered_however_long_it_may_last() {
    run(async {
        let go = Rc::new(Notify::new());
        let wait = go.clone();
        let one = Server::start("i-1", move |_, _| {
            vec![Step::Wait(wait.clone()), stream_head("s"), chunk(&event(0)), last_chunk()]
        })
        .await;
        let system = System::with(&[&one]).await;
        let mut client = system.client().await;
        client.send(&format!("{}body", head("/again/x", "f1", OUTLASTS_MS, ""))).await;
        until(|| one.count() == 1).await;
        let ((), ()) = tokio::join!(system.finish(), async {
            until(|| system.node.is_shutting_down()).await;
            go.notify_one();
            let answered = client.answer().await;
            assert_eq!((answered.status, answered.complete), (200, true));
        });
        assert_eq!((system.node.open_request_count(), system.clients.count()), (0, 0));
    });
}

/// Connects and asks until nobody listens any more; gives how many answers came whole from a server. Towards the end a
/// request may outlast the process: it is refused, and all that come later are.
async fn ask_until_refused(system: &System, number: usize) -> usize {
    let (mut answered, mut refused) = (0, 0);
    while let Some(mut client) = system.client_if_taken().await {
        let id = format!("c{number}-{}", answered + refused);
        // A connection that is closed before its request was read lost nothing.
        if !client.try_ask("/safe/x", &id).await {
            continue;
        }
        if let Some(answer) = client.answer_if_any().await {
            assert!(answer.complete && matches!((answer.status, refused), (200, 0) | (503, _)), "{answer:?}");
            if answer.status == 200 { answered += 1 } else { refused += 1 }
        }
    }
    assert!(answered > 0);
    answered
}

#[test]
fn clients_that_keep_connecting_do_not_keep_the_process_and_lose_nothing() {
    run(async {
        let one = Server::start("i-1", |_, _| answer(200, "", "fine")).await;
        let system = System::with(&[&one]).await;
        let began = tokio::time::Instant::now();
        let asking = async {
            let all: [usize; 4] = std::array::from_fn(|number| number);
            let [a, b, c, d] = all.map(|number| ask_until_refused(&system, number));
            let (a, b, c, d) = tokio::join!(a, b, c, d);
            a + b + c + d
        };
        let (in_hand, answered) = tokio::join!(
            async {
                system.finish().await;
                (system.node.open_request_count(), system.clients.count())
            },
            asking
        );
        assert_eq!(in_hand, (0, 0));
        // What a server got was answered.
        assert_eq!(one.count(), answered);
        // The grace is four seconds; clients were sent for half of it.
        let took = began.elapsed();
        assert!(took < std::time::Duration::from_millis(3_600), "{took:?}");
    });
}
