//! Operators who read and replace the configuration, and send an order again unchanged until the answer is clear.

use bytes::Bytes;
use dunelink_control::change_queue::{CallId, Reply};
use fastrand::Rng;

use super::checks::OrderKey;

/// What an operator wants next.
#[derive(Clone, Debug)]
pub(crate) enum Wish {
    Read,
    Replace { base: u64, version: u64, body: Bytes },
}

/// One operator.
#[derive(Debug, Default)]
pub(crate) struct Operator {
    /// Newest version that it was told of.
    pub(crate) known: u64,
    pub(crate) wish: Option<Wish>,
    /// The call that it waits for.
    pub(crate) call: CallId,
    orders: u64,
}

impl Operator {
    /// Chooses what to do next. Versions rise by some, and one order in twelve is not valid.
    pub(crate) fn choose(&mut self, place: usize, random: &mut Rng) -> Wish {
        if random.u32(0..3) == 0 {
            return Wish::Read;
        }
        self.orders += 1;
        let version = self.known + random.u64(1..4);
        let body = match random.u32(0..24) {
            0 => "{".to_owned(),
            1 => body(self.known, place, self.orders, 10),
            2 => body(version, place, self.orders, 9_000),
            _ => body(version, place, self.orders, random.usize(0..300)),
        };
        Wish::Replace { base: self.known, version, body: Bytes::from(body) }
    }

    /// Takes an answer in; whether the call is over.
    pub(crate) fn answered(&mut self, reply: &Reply) -> bool {
        match (reply, &self.wish) {
            (Reply::Accepted, Some(Wish::Replace { version, .. })) => self.known = *version,
            (Reply::Conflict { current }, _) => self.known = *current,
            (Reply::Configuration(body), _) => self.known = version_of(body),
            (Reply::Invalid(_) | Reply::NoConfiguration | Reply::Accepted, _) => {}
            (Reply::Redirect(_) | Reply::Unavailable(_), _) => return false,
        }
        self.wish = None;
        true
    }
}

/// The key of an order.
pub(crate) fn key(wish: &Wish) -> Option<OrderKey> {
    match wish {
        Wish::Read => None,
        Wish::Replace { base, body, .. } => Some((*base, body.clone())),
    }
}

/// The version in a configuration; 0 if it can't be read.
pub(crate) fn version_of(body: &[u8]) -> u64 {
    dunelink_settings::FleetConfig::parse(body).map_or(0, |config| config.version)
}

fn body(version: u64, place: usize, order: u64, padding: usize) -> String {
    let padding = "x".repeat(padding);
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"h.example","pathPrefix":"/a/","kind":"safe",
        "timeoutMs":1000,"service":"s"}}],"services":[{{"name":"s"}}],
        "tenants":[{{"name":"t","apiKeys":["k{place}-{order}{padding}"],"ratePerS":100,"burst":10}}]}}"#
    )
}
