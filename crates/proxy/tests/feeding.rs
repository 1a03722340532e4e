//! What the agent feeds, and what the platform is told.

mod common;

use std::time::Duration;

use common::server::{Server, Step, answer};
use common::{System, configuration, routes, run, until};
use dunelink_protocol::{
    ConfigurationChunk, FeedMessage, Heartbeat, LinkKind, RosterOffset, ServerSuspicion,
};
use dunelink_proxy::table::Unanswered;

#[test]
fn it_is_ready_once_its_configuration_was_confirmed_and_stays_so() {
    run(async {
        let one = Server::start("i-1", |_, _| answer(200, "", "fine")).await;
        let system = System::bare().await;
        let node = system.node.clone();
        assert_eq!(system.check().await, 503);
        let refused = system.client().await.call("/safe/x", "a1").await;
        assert!(refused.status == 503 && refused.header("retry-after").is_some());
        system.agent.configure(&configuration(1, &routes(), ""));
        system.agent.roster(&[&one]);
        // Its agent has not heard from the core for long, or knows of a newer one.
        system.agent.tick(5_000, 1);
        system.agent.tick(0, 2);
        until(|| node.version() == 1).await;
        assert_eq!(system.client().await.call("/safe/x", "a1").await.status, 200);
        assert_eq!(system.check().await, 503);
        until(|| node.clock.age() > Duration::from_millis(10)).await;
        system.agent.tick(10, 1);
        until(|| node.is_ready()).await;
        assert_eq!(system.check().await, 200);
        system.agent.tick(9_000, 1);
        system.agent.tick(0, 2);
        assert_eq!(system.check().await, 200);
        assert_eq!(system.agent.hellos.borrow()[0].link, LinkKind::Proxy);
    });
}

#[test]
fn without_a_configuration_clients_are_told_to_come_back_when_there_should_be_one() {
    let told = |age_ms, left_ms| {
        let left = Duration::from_millis(left_ms);
        let how = Unanswered::unconfigured(Duration::from_millis(age_ms)).within(left);
        let Unanswered::NotRun { retry_after } = how else { panic!("{how:?}") };
        retry_after.as_millis()
    };
    // The whole fleet may just have started.
    assert_eq!(told(0, 12_000), 1_500);
    assert_eq!(told(400, 12_000), 1_100);
    assert_eq!(told(60_000, 12_000), 300);
    // Clients heed a third of their time.
    assert_eq!(told(0, 1_500), 450);
}

#[test]
fn without_a_configuration_a_client_is_told_no_more_than_it_heeds() {
    run(async {
        let system = System::bare().await;
        let refused = system.client().await.call("/safe/x", "a1").await;
        let after: f64 = refused.header("retry-after").unwrap().parse().unwrap();
        // A third of the 3 s that it has is no less.
        assert!(refused.status == 503 && (0.3..=0.9).contains(&after), "{after} s");
    });
}

#[test]
fn an_older_configuration_never_comes_back() {
    run(async {
        let one = Server::start("i-1", |_, _| answer(200, "", "fine")).await;
        let system = System::with(&[&one]).await;
        let node = system.node.clone();
        system.agent.configure(&configuration(7, &routes()[..1], ""));
        until(|| node.version() == 7).await;
        system.agent.configure(&configuration(6, &routes(), ""));
        let bytes = b"{".to_vec();
        let torn = ConfigurationChunk { version: 8, total_bytes: 9, offset: 5, bytes };
        system.agent.send(FeedMessage::Configuration(torn));
        // What follows on nothing ends the connection; a new one begins with everything.
        until(|| system.agent.hellos.borrow().len() == 2).await;
        assert_eq!(node.version(), 7);
        system.agent.configure(&configuration(6, &routes(), ""));
        system.agent.configure(&configuration(9, &routes()[..2], ""));
        until(|| node.version() == 9).await;
        assert_eq!(system.client().await.call("/once/x", "a1").await.status, 200);
        assert_eq!(system.client().await.call("/flow/x", "a1").await.status, 404);
    });
}

#[test]
fn a_server_that_is_gone_gets_nothing_and_its_connections_close() {
    run(async {
        let one = Server::start("i-1", |_, _| answer(200, "", "one")).await;
        let two = Server::start("i-2", |_, _| answer(200, "", "two")).await;
        let system = System::with(&[&one]).await;
        assert_eq!(system.client().await.call("/safe/x", "a1").await.body, "one");
        let mut leaving = one.entry();
        leaving.ready = false;
        system.agent.list(vec![leaving, two.entry()]);
        until(|| one.closed.get() == 1).await;
        assert_eq!(system.client().await.call("/safe/x", "a2").await.body, "two");
        // Another incarnation at the same address: connections to the one before are not used for it.
        let mut again = two.entry();
        again.id = "i-3".to_owned();
        system.agent.list(vec![again]);
        until(|| two.closed.get() == 1).await;
        assert_eq!(system.client().await.call("/safe/x", "a3").await.body, "two");
        assert_eq!(two.received.borrow()[1].header("x-dunelink-expect-instance"), Some("i-3"));
    });
}

#[test]
fn outcomes_are_reported() {
    run(async {
        let one =
            Server::start("i-1", |n, _| if n == 0 { vec![Step::Close] } else { answer(200, "", "") }).await;
        let system = System::with(&[&one]).await;
        assert_eq!(system.client().await.call("/once/x", "a1").await.status, 502);
        assert_eq!(system.client().await.call("/once/x", "a2").await.status, 200);
        let counts = || {
            let reports = system.agent.reports.borrow();
            let all = reports.iter().flat_map(|report| &report.observations);
            all.fold((0, 0), |sum, own| (sum.0 + own.served, sum.1 + own.failed))
        };
        until(|| counts() == (1, 1)).await;
    });
}

#[test]
fn a_proof_from_before_its_start_does_not_make_it_ready() {
    run(async {
        let one = Server::start("i-1", |_, _| answer(200, "", "fine")).await;
        let system = System::bare().await;
        let node = system.node.clone();
        system.agent.configure(&configuration(1, &routes(), ""));
        system.agent.roster(&[&one]);
        until(|| node.version() == 1).await;
        assert_eq!(system.client().await.call("/safe/x", "a1").await.status, 200);
        let (configuration_version, roster) = (1, RosterOffset::default());
        let before = node.clock.age().as_millis() as u64 + 100;
        node.tick(&Heartbeat { confirmed_age_ms: before, configuration_version, roster, roster_age_ms: 0 });
        assert!(!node.is_ready());
        node.tick(&Heartbeat { confirmed_age_ms: 0, configuration_version, roster, roster_age_ms: 0 });
        assert!(node.is_ready());
    });
}

#[test]
fn a_roster_never_goes_back_and_changes_of_another_one_open_the_connection_anew() {
    run(async {
        let one = Server::start("i-1", |_, _| answer(200, "", "one")).await;
        let two = Server::start("i-2", |_, _| answer(200, "", "two")).await;
        let system = System::with(&[&one]).await;
        let hellos = || system.agent.hellos.borrow().len();
        let mut leaving = one.entry();
        leaving.ready = false;
        system.agent.list_at(5, Some(1), vec![leaving, two.entry()]);
        until(|| system.node.router.borrow().status(0).len() == 2).await;
        // A whole one from before, and one at the same position.
        system.agent.list_at(3, None, vec![one.entry()]);
        system.agent.list_at(5, None, vec![one.entry()]);
        system.agent.configure(&configuration(2, &routes(), ""));
        until(|| system.node.version() == 2).await;
        assert_eq!(system.client().await.call("/safe/x", "a1").await.body, "two");
        assert_eq!(hellos(), 1);
        system.agent.list_at(9, Some(8), vec![one.entry()]);
        until(|| hellos() == 2).await;
        assert_eq!(system.client().await.call("/safe/x", "a2").await.body, "two");
        system.agent.list_at(9, None, vec![one.entry()]);
        until(|| system.node.router.borrow().status(0).len() == 1).await;
        assert_eq!(system.client().await.call("/safe/x", "a3").await.body, "one");
    });
}

#[test]
fn a_server_that_others_find_failing_is_passed_over() {
    run(async {
        let one = Server::start("i-1", |_, _| answer(200, "", "fine")).await;
        let two = Server::start("i-2", |_, _| answer(200, "", "fine")).await;
        let system = System::with(&[&one, &two]).await;
        let suspicion = ServerSuspicion { server: one.id.clone(), failed_share: 1.0, reporters: 2 };
        system.agent.send(FeedMessage::Suspicions(vec![suspicion]));
        system.agent.configure(&configuration(2, &routes(), ""));
        until(|| system.node.version() == 2).await;
        for number in 0..20 {
            assert_eq!(system.client().await.call("/safe/x", &format!("a{number}")).await.status, 200);
        }
        assert_eq!((one.count(), two.count()), (0, 20));
        // Where nobody else is left, it serves.
        system.agent.roster(&[&one]);
        until(|| system.node.router.borrow().status(0).len() == 1).await;
        assert_eq!(system.client().await.call("/safe/x", "b1").await.status, 200);
        assert_eq!(one.count(), 1);
    });
}

#[test]
fn times_to_come_back_differ_from_one_client_to_the_next() {
    let retry_after = Duration::from_millis(1_000);
    let mut told: Vec<u128> = Vec::new();
    for _ in 0..200 {
        let Unanswered::NotRun { retry_after } = (Unanswered::NotRun { retry_after }).spread() else {
            panic!("another answer")
        };
        told.push(retry_after.as_millis());
    }
    assert!(told.iter().all(|told| (850..=1_150).contains(told)), "{told:?}");
    told.sort_unstable();
    assert!(told[20] < 950 && told[180] > 1_050, "{told:?}");
    // No client is told more than it heeds.
    let within = (Unanswered::NotRun { retry_after }).spread().within(Duration::from_millis(600));
    assert_eq!(within, Unanswered::NotRun { retry_after: Duration::from_millis(180) });
    assert_eq!(Unanswered::TimedOut.spread(), Unanswered::TimedOut);
}
