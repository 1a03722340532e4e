//! Servers that fall silent without an end of their connections.

mod common;

use common::server::{Server, Step, answer, chunk, event, last_chunk, stream_head};
use common::{System, run, until};

/// Longer than what counts as silence.
const PAUSE: std::time::Duration = std::time::Duration::from_millis(2_600);

#[test]
fn a_silent_server_is_passed_over_where_the_request_may_run_twice() {
    run(async {
        let begun = std::rc::Rc::new(std::cell::Cell::new(false));
        let (a, b) = (begun.clone(), begun);
        let one =
            Server::start("i-1", move |_, _| first(&a, vec![Step::Hang], answer(200, "", "fine"))).await;
        let two =
            Server::start("i-2", move |_, _| first(&b, vec![Step::Hang], answer(200, "", "fine"))).await;
        let system = System::with(&[&one, &two]).await;
        // The target latency is 500 ms, the deadline 3 s.
        let answered = system.client().await.call("/long/x", "a1").await;
        assert_eq!((answered.status, one.count() + two.count()), (200, 2));
        assert_eq!(one.closed.get() + two.closed.get(), 1);
    });
}

fn first(begun: &std::cell::Cell<bool>, steps: Vec<Step>, then: Vec<Step>) -> Vec<Step> {
    if begun.replace(true) { then } else { steps }
}

#[test]
fn a_stream_of_a_silent_server_goes_on_elsewhere() {
    run(async {
        let begun = std::rc::Rc::new(std::cell::Cell::new(false));
        let hangs = || vec![stream_head("first"), chunk(&event(0)), chunk("id: 1\nda"), Step::Hang];
        let goes_on = || vec![stream_head("second"), chunk(&event(1)), last_chunk()];
        let (a, b) = (begun.clone(), begun);
        let one = Server::start("i-1", move |_, _| first(&a, hangs(), goes_on())).await;
        let two = Server::start("i-2", move |_, _| first(&b, hangs(), goes_on())).await;
        let system = System::with(&[&one, &two]).await;
        let answered = system.client().await.call("/again/x", "a1").await;
        assert!(answered.complete);
        assert_eq!(answered.body, format!("{}{}", event(0), event(1)));
    });
}

#[test]
fn a_pause_with_no_other_server_does_not_end_a_stream() {
    run(async {
        let go = std::rc::Rc::new(tokio::sync::Notify::new());
        let wait = go.clone();
        let one = Server::start("i-1", move |_, _| {
            vec![
                stream_head("first"),
                chunk(&event(0)),
                Step::Wait(wait.clone()),
                chunk(&event(1)),
                last_chunk(),
            ]
        })
        .await;
        let system = System::with(&[&one]).await;
        let mut client = system.client().await;
        client.ask("/again/x", "a1").await;
        client.head().await.unwrap();
        assert_eq!(client.chunk().await.unwrap(), event(0));
        // The pause is noticed, and nobody else can be asked.
        let asked = || system.node.router.borrow().attempts_in_flight();
        assert_eq!(asked(), 1);
        let noticed = tokio::time::Instant::now() + PAUSE;
        until(|| tokio::time::Instant::now() > noticed).await;
        assert_eq!(asked(), 1);
        go.notify_one();
        assert_eq!(client.chunk().await.unwrap(), event(1));
        assert_eq!(client.chunk().await.unwrap(), "");
    });
}

/// Longer than the configuration gives for a head.
const HEAD_PAUSE: std::time::Duration = std::time::Duration::from_millis(1_800);

#[test]
fn half_a_head_is_not_waited_for_and_rests_are() {
    run(async {
        let one = Server::start("i-1", |_, _| answer(200, "", "fine")).await;
        let system = System::with(&[&one]).await;
        let (mut half, mut fresh) = (system.client().await, system.client().await);
        half.send("POST /once/x HTTP/1.1\r\nHost: h.exa").await;
        // The head of a second request counts as the first one does.
        let mut second = system.client().await;
        assert_eq!(second.call("/once/x", "a1").await.status, 200);
        second.send("POST /onc").await;
        let mut kept = system.client().await;
        assert_eq!(kept.call("/once/x", "a2").await.status, 200);
        let over = tokio::time::Instant::now() + HEAD_PAUSE;
        assert!(half.is_closed().await && second.is_closed().await);
        until(|| tokio::time::Instant::now() > over).await;
        // Those without a part of a head may rest for longer.
        assert_eq!(fresh.call("/once/x", "a3").await.status, 200);
        assert_eq!(kept.call("/once/x", "a4").await.status, 200);
        assert_eq!(one.count(), 4);
    });
}

#[test]
fn a_head_in_pieces_that_is_whole_in_time_is_served() {
    run(async {
        let one = Server::start("i-1", |_, _| answer(200, "", "fine")).await;
        let system = System::with(&[&one]).await;
        let mut client = system.client().await;
        for number in 0..20 {
            client
                .send(&format!(
                    "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Dunelink-Request-Id: b{number}\r\nCont"
                ))
                .await;
            tokio::task::yield_now().await;
            client.send("ent-Length: 4\r\n\r\nbo").await;
            tokio::task::yield_now().await;
            client.send("dy").await;
            assert_eq!(client.answer().await.status, 200);
        }
    });
}
