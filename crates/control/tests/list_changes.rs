//! Parsing of pages of the platform's server list, and roster updates between two reads of the list.

use dunelink_control::list::parse_page;
use dunelink_control::roster::{list_difference, page_difference};
use dunelink_feed::Roster;
use dunelink_protocol::{RosterOffset, ServerEntry};

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;

fn server(id: &str) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        service: "model".to_owned(),
        address: "192.0.2.1:80".to_owned(),
        zone: "east".to_owned(),
        slots: 4,
        ready: true,
        cold_remaining_ms: 0,
        software_version: "v1".to_owned(),
        weights_version: Some(2),
    }
}

/// The roster after the first read of `list` in `epoch`.
fn roster_of(epoch: u64, list: &[ServerEntry]) -> Roster {
    let mut roster = Roster::default();
    let update =
        list_difference(&roster, epoch, list.to_vec(), SECOND).expect("the first read yields an update");
    roster.apply(update, SECOND).expect("the update fits");
    roster
}

#[test]
fn page_yields_servers_and_next_token() {
    let page = parse_page(
        br#"{"instances":[{"service":"model","address":"192.0.2.1:80","zone":"east","version":"v1","slots":4,
        "state":"draining","coldRemainingMs":7,"models":[{"name":"m","version":2}],"id":"i-1"}],"nextToken":"p-50"}"#,
    )
    .expect("the page is complete");
    assert_eq!(page.next_token.as_deref(), Some("p-50"));
    let expected = ServerEntry { ready: false, cold_remaining_ms: 7, ..server("i-1") };
    assert_eq!(page.servers, [expected]);
}

#[test]
fn page_without_token_is_the_last() {
    let page = parse_page(br#"{"instances":[],"nextToken":null}"#).expect("the page is complete");
    assert_eq!((page.servers.len(), page.next_token), (0, None));
}

#[test]
fn truncated_or_incomplete_page_is_refused() {
    assert!(parse_page(br#"{"instances":[{"id":"i-1""#).is_err());
    assert!(parse_page(br#"{"instances":[{"id":"i-1"}]}"#).is_err());
    assert!(parse_page(br#"{"nextToken":null}"#).is_err());
}

#[test]
fn arbitrary_page_bytes_do_not_panic() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let _ = parse_page(bytes);
    });
}

#[test]
fn unchanged_list_yields_no_update() {
    let list = [server("a"), server("b")];
    let roster = roster_of(4, &list);
    assert_eq!(list_difference(&roster, 4, list.to_vec(), SECOND), None);
}

#[test]
fn new_epoch_changes_the_offset_only() {
    let list = [server("a")];
    let roster = roster_of(4, &list);
    let update = list_difference(&roster, 6, list.to_vec(), SECOND).expect("the offset changes");
    assert_eq!(update.base, Some(RosterOffset { epoch: 4, sequence: 1 }));
    assert_eq!(update.offset, RosterOffset { epoch: 6, sequence: 1 });
    assert!(update.changed.is_empty() && update.removed.is_empty());
}

#[test]
fn update_contains_only_changed_servers() {
    let roster = roster_of(4, &[server("a"), server("b"), server("c")]);
    let draining = ServerEntry { ready: false, ..server("b") };
    let list = vec![server("a"), draining.clone(), server("d")];
    let update = list_difference(&roster, 4, list, SECOND).expect("servers changed");
    assert_eq!(update.offset, RosterOffset { epoch: 4, sequence: 2 });
    assert_eq!(update.changed, [draining, server("d")]);
    assert_eq!(update.removed, ["c"]);
}

#[test]
fn elapsed_slow_start_is_no_change() {
    let cold_server = |ms| ServerEntry { cold_remaining_ms: ms, ..server("a") };
    let roster = roster_of(4, &[cold_server(10_000)]);
    assert_eq!(list_difference(&roster, 4, vec![cold_server(8_900)], 2 * SECOND), None);
    assert!(list_difference(&roster, 4, vec![cold_server(20_000)], 2 * SECOND).is_some());
}

#[test]
fn page_update_adds_and_drains_but_removes_none() {
    let roster = roster_of(4, &[server("a"), server("b"), server("c")]);
    let draining = ServerEntry { ready: false, ..server("b") };
    let page = [server("a"), draining.clone(), server("d")];
    let update = page_difference(&roster, 4, &page, 0).expect("an update");
    assert_eq!(update.base, roster.offset());
    assert_eq!((update.changed, update.removed), (vec![draining, server("d")], Vec::new()));
    assert_eq!(page_difference(&roster, 4, &[server("a"), server("c")], 0), None);
    // The first update of an epoch is computed from the whole list, never from a page.
    assert_eq!(page_difference(&roster, 5, &page, 0), None);
}
