//! What subsystems of the fleet say to each other in gossip's carried packets. The council's words came first and bear
//! no mark; all others do, so that a build which does not know them passes them over.

use dunelink_reach::Row;
use dunelink_view::FleetMessage;
use serde::Serialize;

/// No packet of the council's begins like this: it would hold more words than fit.
const MARK: u8 = 0xff;
const ROW: u8 = 1;

/// What a packet holds.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Words {
    /// Of views and leases.
    Council(Vec<FleetMessage>),
    /// A node's own row.
    Row(Row),
}

/// The council's words as bytes.
pub(super) fn council(wires: &[FleetMessage]) -> Vec<u8> {
    // Writing to memory can't fail.
    postcard::to_stdvec(wires).unwrap_or_default()
}

/// A row as bytes.
pub(super) fn row(row: &Row) -> Vec<u8> {
    marked(ROW, row)
}

fn marked(kind: u8, what: &impl Serialize) -> Vec<u8> {
    let mut bytes = vec![MARK, kind];
    bytes.extend(postcard::to_stdvec(what).unwrap_or_default());
    bytes
}

/// What bytes hold; nothing if that is nothing that this build knows.
pub(super) fn read(bytes: &[u8]) -> Option<Words> {
    match bytes {
        [MARK, ROW, rest @ ..] => postcard::from_bytes(rest).ok().map(Words::Row),
        [MARK, ..] => None,
        _ => postcard::from_bytes(bytes).ok().map(Words::Council),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_kind_is_read_as_what_it_is_and_none_as_another() {
        let hello = vec![FleetMessage::Hello(Default::default(), 7); 3];
        assert_eq!(read(&council(&hello)), Some(Words::Council(hello)));
        let told = Row { zone: "a".into(), served: 300, ..Row::default() };
        assert_eq!(read(&row(&told)), Some(Words::Row(told.clone())));
        // As a build that knows no marks reads it.
        assert!(postcard::from_bytes::<Vec<FleetMessage>>(&row(&told)).is_err());
        for other in [&[][..], &[MARK], &[MARK, 9, 1], &[MARK, ROW, 1]] {
            assert_eq!(read(other), None, "{other:?}");
        }
    }
}
