//! Streams: passed on at once, cut where their server cuts, taken up elsewhere where the route allows.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use common::server::{Received, Server, Step, answer, chunk, declined, event, last_chunk, stream_head};
use common::{System, run, until};
use tokio::sync::Notify;

/// Events `from..to` in pieces of their own.
fn events(from: usize, to: usize) -> Vec<Step> {
    (from..to).map(|id| chunk(&event(id))).collect()
}

fn text(from: usize, to: usize) -> String {
    (from..to).map(event).collect()
}

/// The first request that either of two servers gets is treated by `first`, the others by `then`.
async fn two(
    first: impl Fn(&Received) -> Vec<Step> + 'static,
    then: impl Fn(&Received) -> Vec<Step> + 'static,
) -> (Server, Server, System) {
    let begun = Rc::new(Cell::new(false));
    let script =
        Rc::new(move |request: &Received| if begun.replace(true) { then(request) } else { first(request) });
    let (a, b) = (script.clone(), script);
    let one = Server::start("i-1", move |_, request| a(request)).await;
    let two = Server::start("i-2", move |_, request| b(request)).await;
    let system = System::with(&[&one, &two]).await;
    (one, two, system)
}

/// Goes on after the last event that the client has, up to the tenth.
fn go_on(request: &Received) -> Vec<Step> {
    let last = request.header("last-event-id").map_or(0, |id| id.parse::<usize>().unwrap() + 1);
    [vec![stream_head("second")], events(last, 10), vec![last_chunk()]].concat()
}

#[test]
fn events_pass_at_once() {
    run(async {
        let go = Rc::new(Notify::new());
        let wait = go.clone();
        let one = Server::start("i-1", move |_, _| {
            let wait = Step::Wait(wait.clone());
            vec![stream_head("s"), chunk(&event(0)), wait.clone(), chunk(&event(1)), wait, last_chunk()]
        })
        .await;
        let system = System::with(&[&one]).await;
        for path in ["/flow/x", "/again/x"] {
            let mut client = system.client().await;
            client.ask(path, "a1").await;
            let head = client.head().await.unwrap();
            assert_eq!((head.status, head.header("x-dunelink-response-seal")), (200, Some("s")));
            assert_eq!(client.chunk().await.unwrap(), event(0));
            go.notify_one();
            assert_eq!(client.chunk().await.unwrap(), event(1));
            go.notify_one();
            assert_eq!(client.chunk().await.unwrap(), "");
            // The connection lasts.
            client.ask(path, "a2").await;
            assert_eq!(client.head().await.unwrap().status, 200);
            client.chunk().await.unwrap();
        }
    });
}

#[test]
fn a_stream_that_breaks_off_never_looks_complete() {
    run(async {
        for cut in [event(1), "id: 1\nda".to_owned()] {
            let one = Server::start("i-1", move |_, _| {
                vec![stream_head("s"), chunk(&event(0)), chunk(&cut), Step::Close]
            })
            .await;
            let system = System::with(&[&one]).await;
            let mut client = system.client().await;
            let answered = client.call("/flow/x", "a1").await;
            assert!(!answered.complete && answered.status == 200);
            assert_eq!(one.count(), 1);
        }
    });
}

#[test]
fn a_resumable_stream_goes_on_at_another_server() {
    run(async {
        for partial in ["", "id: 4\ndata: pi", "id: 4\ndata: piece 4\n"] {
            let first = move |_: &Received| {
                let mut steps = [vec![stream_head("first")], events(0, 4)].concat();
                if !partial.is_empty() {
                    steps.push(chunk(partial));
                }
                steps.push(Step::Close);
                steps
            };
            let (one, two, system) = two(first, go_on).await;
            let answered = system.client().await.call("/again/x", "a1").await;
            assert!(answered.complete);
            assert_eq!(answered.header("x-dunelink-response-seal"), Some("first"));
            assert_eq!(answered.body, text(0, 10));
            assert_eq!((one.count(), two.count()), (1, 1));
        }
    });
}

#[test]
fn a_stream_that_broke_before_its_first_event_begins_anew() {
    run(async {
        let (one, two, system) = two(|_| vec![stream_head("first"), Step::Close], go_on).await;
        let answered = system.client().await.call("/again/x", "a1").await;
        assert!(answered.complete);
        assert_eq!(answered.body, text(0, 10));
        assert_eq!(one.count() + two.count(), 2);
    });
}

#[test]
fn a_client_may_take_a_stream_up_itself() {
    run(async {
        let one = Server::start("i-1", |_, request| go_on(request)).await;
        let system = System::with(&[&one]).await;
        let mut client = system.client().await;
        client.ask_with("/again/x", "a1", "Last-Event-Id: 6\r\n").await;
        assert_eq!(client.answer().await.body, text(7, 10));
    });
}

#[test]
fn a_stream_that_nobody_takes_up_is_cut() {
    run(async {
        let first = |_: &Received| [vec![stream_head("first")], events(0, 3), vec![Step::Close]].concat();
        for then in [declined as fn() -> Vec<Step>, || answer(500, "", "no"), || vec![Step::Close]] {
            let (one, two, system) = two(first, move |_| then()).await;
            let answered = system.client().await.call("/again/x", "a1").await;
            assert!(!answered.complete && answered.body == text(0, 3));
            assert!(one.count() + two.count() <= 3);
        }
    });
}

#[test]
fn a_client_that_leaves_frees_the_server() {
    run(async {
        let one = Server::start("i-1", |_, request| match request.head.contains("/flow/") {
            true => vec![stream_head("s"), chunk(&event(0)), Step::Hang],
            false => vec![Step::Hang],
        })
        .await;
        let system = System::with(&[&one]).await;
        let mut client = system.client().await;
        client.ask("/flow/x", "a1").await;
        client.head().await.unwrap();
        client.chunk().await.unwrap();
        drop(client);
        until(|| one.closed.get() == 1).await;
        let mut client = system.client().await;
        client.ask("/safe/x", "a2").await;
        until(|| one.count() == 2).await;
        drop(client);
        until(|| one.closed.get() == 2).await;
        assert_eq!(system.node.in_hand(), 0);
        assert_eq!(system.node.router.borrow().attempts_in_flight(), 0);
    });
}

#[test]
fn a_stream_ends_with_the_time_of_its_request() {
    run(async {
        let one = Server::start("i-1", |_, _| vec![stream_head("s"), chunk(&event(0)), Step::Hang]).await;
        let system = System::with(&[&one]).await;
        let mut client = system.client().await;
        let fields = "X-Note: 1\r\n";
        client
            .send(&format!("GET /again/x HTTP/1.1\r\nHost: h.example\r\nX-Dunelink-Request-Id: a\r\nX-Dunelink-Deadline-Ms: 150\r\n{fields}\r\n"))
            .await;
        let answered = client.answer().await;
        assert!(!answered.complete && answered.body == event(0));
        assert_eq!(one.count(), 1);
    });
}

#[test]
fn a_long_answer_is_passed_on_with_its_length() {
    run(async {
        let body = "x".repeat(700_000);
        let whole = body.clone();
        let one = Server::start("i-1", move |_, _| answer(200, "", &body)).await;
        let system = System::with(&[&one]).await;
        let mut client = system.client().await;
        let answered = client.call("/safe/x", "a1").await;
        assert!(answered.complete && answered.body == whole);
        assert_eq!(client.call("/safe/x", "a2").await.body.len(), 700_000);
        assert_eq!(one.connections.get(), 1);
    });
}
