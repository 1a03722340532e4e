//! Messages between the fleet's subsystems on different nodes, in packets that gossip carries. Coordinator
//! messages are unmarked, as they existed first; all others have a mark, so that a build which does not know
//! them ignores them.

use dunelink_reach::Row;
use dunelink_view::FleetMessage;
use serde::Serialize;

/// No packet of coordinator messages begins with this byte: it would announce more messages than fit.
const EXTENSION_MARK: u8 = 0xff;
const ROW_KIND: u8 = 1;

/// Content of a packet.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Message {
    /// Coordinator messages about views and leases.
    Coordinator(Vec<FleetMessage>),
    /// A node's report about itself.
    Row(Row),
}

/// Encodes coordinator messages.
pub(super) fn encode_coordinator(messages: &[FleetMessage]) -> Vec<u8> {
    // Writing to memory can't fail.
    postcard::to_stdvec(messages).unwrap_or_default()
}

/// Encodes a row.
pub(super) fn encode_row(row: &Row) -> Vec<u8> {
    encode_extension(ROW_KIND, row)
}

fn encode_extension(kind: u8, value: &impl Serialize) -> Vec<u8> {
    let mut bytes = vec![EXTENSION_MARK, kind];
    bytes.extend(postcard::to_stdvec(value).unwrap_or_default());
    bytes
}

/// Decodes a packet; `None` if this build does not know its content.
pub(super) fn decode(bytes: &[u8]) -> Option<Message> {
    match bytes {
        [EXTENSION_MARK, ROW_KIND, rest @ ..] => postcard::from_bytes(rest).ok().map(Message::Row),
        [EXTENSION_MARK, ..] => None,
        _ => postcard::from_bytes(bytes).ok().map(Message::Coordinator),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_kind_of_message_round_trips() {
        let hellos = vec![FleetMessage::Hello(Default::default(), 7); 3];
        assert_eq!(decode(&encode_coordinator(&hellos)), Some(Message::Coordinator(hellos)));
        let sent = Row { zone: "a".into(), served: 300, ..Row::default() };
        assert_eq!(decode(&encode_row(&sent)), Some(Message::Row(sent.clone())));
        // A build that knows no marks decodes it as coordinator messages, which must fail.
        assert!(postcard::from_bytes::<Vec<FleetMessage>>(&encode_row(&sent)).is_err());
        for other in [&[][..], &[EXTENSION_MARK], &[EXTENSION_MARK, 9, 1], &[EXTENSION_MARK, ROW_KIND, 1]] {
            assert_eq!(decode(other), None, "{other:?}");
        }
    }
}
