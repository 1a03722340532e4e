//! One node and the messages of others: its limits hold for arbitrary messages.

use std::net::SocketAddr;

use dunelink_peers::{
    Descriptor, MAX_HOPS, OutgoingMessage, PeerMessage, PeerSampler, SHUFFLE_LENGTH, VIEW_LENGTH,
};

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn node(introducers: &[u8]) -> PeerSampler {
    let introducers = introducers.iter().map(|number| address(*number)).collect();
    PeerSampler::new(address(0), introducers, fastrand::Rng::with_seed(1))
}

fn descriptors(numbers: impl IntoIterator<Item = u8>) -> Vec<Descriptor> {
    numbers.into_iter().map(|number| Descriptor::fresh(address(number))).collect()
}

#[test]
fn empty_view_joins_at_an_introducer() {
    assert_eq!(node(&[]).begin_round(), []);
    assert_eq!(node(&[0]).begin_round(), [], "it does not join at itself");
    assert_eq!(node(&[0, 4]).begin_round(), [OutgoingMessage { to: address(4), message: PeerMessage::Join }]);
}

#[test]
fn silent_peer_is_removed_after_a_shuffle() {
    let mut node = node(&[]);
    node.receive(address(1), PeerMessage::Shuffle(descriptors([1])));
    node.begin_round();
    assert!(node.view().is_empty(), "the peer is removed during the exchange");
    node.receive(address(1), PeerMessage::ShuffleReply(descriptors([2])));
    assert!(node.view().contains(address(1)) && node.view().contains(address(2)));
    let first = node.begin_round();
    let second = node.begin_round();
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_ne!(first[0].to, second[0].to);
    assert!(node.view().is_empty());
}

#[test]
fn unexpected_shuffle_reply_is_ignored() {
    let mut node = node(&[]);
    node.receive(address(9), PeerMessage::ShuffleReply(descriptors([1, 2])));
    assert!(node.view().is_empty());
}

#[test]
fn long_shuffle_is_truncated() {
    let mut node = node(&[]);
    node.receive(address(1), PeerMessage::Shuffle(descriptors(1..=200)));
    assert_eq!(node.view().entries().len(), SHUFFLE_LENGTH);
}

#[test]
fn unreachable_peer_is_removed() {
    let mut node = node(&[]);
    node.receive(address(1), PeerMessage::Shuffle(descriptors([1])));
    node.mark_unreachable(address(1));
    assert_eq!(node.random_peer(), None);
}

#[test]
fn joins_per_round_are_limited() {
    let mut node = node(&[]);
    let introduced: Vec<bool> =
        (1..=10).map(|number| !node.receive(address(number), PeerMessage::Join).is_empty()).collect();
    assert_eq!(introduced.iter().filter(|introduced| **introduced).count(), 4);
    node.begin_round();
    assert!(!node.receive(address(9), PeerMessage::Join).is_empty());
}

#[test]
fn messages_round_trip() {
    let messages = [
        PeerMessage::Shuffle(descriptors([1, 2])),
        PeerMessage::ShuffleReply(Vec::new()),
        PeerMessage::Join,
        PeerMessage::Walk { newcomer: address(3), hops: 2 },
        PeerMessage::Welcome(Descriptor { address: address(4), age: 300 }),
    ];
    for message in messages {
        let bytes = minicbor::to_vec(&message).expect("encoded");
        assert_eq!(minicbor::decode::<PeerMessage>(&bytes).expect("decoded"), message);
    }
}

#[test]
fn malformed_bytes_do_not_panic() {
    bolero::check!().for_each(|bytes: &[u8]| drop(minicbor::decode::<PeerMessage>(bytes)));
}

#[test]
fn view_limits_hold_for_arbitrary_messages() {
    bolero::check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|events| {
        let mut node = node(&[3, 4]);
        for (kind, from, value) in events {
            let received = descriptors((0..value % 12).map(|index| index.wrapping_mul(*from)));
            let sent = match kind % 7 {
                0 => node.receive(address(*from), PeerMessage::Shuffle(received)),
                1 => node.receive(address(*from), PeerMessage::ShuffleReply(received)),
                2 => node.receive(address(*from), PeerMessage::Join),
                3 => {
                    let newcomer = address(*value);
                    node.receive(address(*from), PeerMessage::Walk { newcomer, hops: *from })
                }
                4 => {
                    let descriptor = Descriptor { address: address(*value), age: u16::MAX };
                    node.receive(address(*from), PeerMessage::Welcome(descriptor))
                }
                5 => {
                    node.mark_unreachable(address(*value));
                    Vec::new()
                }
                _ => node.begin_round(),
            };
            assert!(sent.len() <= VIEW_LENGTH + 1);
            for outgoing in sent {
                if let PeerMessage::Walk { hops, .. } = outgoing.message {
                    assert!(hops <= MAX_HOPS);
                }
            }
            let addresses: std::collections::BTreeSet<SocketAddr> =
                node.view().entries().iter().map(|entry| entry.address).collect();
            assert_eq!(addresses.len(), node.view().entries().len(), "no duplicate addresses");
            assert!(addresses.len() <= VIEW_LENGTH && !addresses.contains(&address(0)));
        }
    });
}
