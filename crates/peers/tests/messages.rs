//! One node and what others send it: bounds hold whatever comes.

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
fn a_node_that_knows_nobody_asks_an_introducer() {
    assert_eq!(node(&[]).begin_round(), []);
    assert_eq!(node(&[0]).begin_round(), [], "it does not ask itself");
    assert_eq!(node(&[0, 4]).begin_round(), [OutgoingMessage { to: address(4), message: PeerMessage::Join }]);
}

#[test]
fn the_oldest_peer_is_asked_and_is_gone_if_it_stays_silent() {
    let mut node = node(&[]);
    node.receive(address(1), PeerMessage::Shuffle(descriptors([1])));
    node.begin_round();
    assert!(node.view().is_empty(), "it was taken out for the exchange");
    node.receive(address(1), PeerMessage::ShuffleReply(descriptors([2])));
    assert!(node.view().contains(address(1)) && node.view().contains(address(2)));
    let first = node.begin_round();
    let second = node.begin_round();
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_ne!(first[0].to, second[0].to);
    assert!(node.view().is_empty());
}

#[test]
fn an_answer_that_nobody_asked_for_is_ignored() {
    let mut node = node(&[]);
    node.receive(address(9), PeerMessage::ShuffleReply(descriptors([1, 2])));
    assert!(node.view().is_empty());
}

#[test]
fn a_long_message_is_cut() {
    let mut node = node(&[]);
    node.receive(address(1), PeerMessage::Shuffle(descriptors(1..=200)));
    assert_eq!(node.view().entries().len(), SHUFFLE_LENGTH);
}

#[test]
fn an_unreachable_peer_is_forgotten() {
    let mut node = node(&[]);
    node.receive(address(1), PeerMessage::Shuffle(descriptors([1])));
    node.mark_unreachable(address(1));
    assert_eq!(node.random_peer(), None);
}

#[test]
fn newcomers_are_introduced_a_few_a_round() {
    let mut node = node(&[]);
    let answered: Vec<bool> =
        (1..=10).map(|number| !node.receive(address(number), PeerMessage::Join).is_empty()).collect();
    assert_eq!(answered.iter().filter(|answered| **answered).count(), 4);
    node.begin_round();
    assert!(!node.receive(address(9), PeerMessage::Join).is_empty());
}

#[test]
fn messages_are_read_as_written() {
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
fn hostile_bytes_do_not_panic() {
    bolero::check!().for_each(|bytes: &[u8]| drop(minicbor::decode::<PeerMessage>(bytes)));
}

#[test]
fn whatever_comes_the_view_stays_within_its_bounds() {
    bolero::check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|events| {
        let mut node = node(&[3, 4]);
        for (kind, from, value) in events {
            let few = descriptors((0..value % 12).map(|index| index.wrapping_mul(*from)));
            let sent = match kind % 7 {
                0 => node.receive(address(*from), PeerMessage::Shuffle(few)),
                1 => node.receive(address(*from), PeerMessage::ShuffleReply(few)),
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
            for one in sent {
                if let PeerMessage::Walk { hops, .. } = one.message {
                    assert!(hops <= MAX_HOPS);
                }
            }
            let known: std::collections::BTreeSet<SocketAddr> =
                node.view().entries().iter().map(|entry| entry.address).collect();
            assert_eq!(known.len(), node.view().entries().len(), "each address once");
            assert!(known.len() <= VIEW_LENGTH && !known.contains(&address(0)));
        }
    });
}
