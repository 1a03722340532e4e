//! Operators that read and replace the configuration, and retry a change unmodified until they receive a
//! definite reply.

use bytes::Bytes;
use dunelink_control::change_queue::{CallId, Reply};
use fastrand::Rng;

use super::checks::ChangeKey;

/// A request of an operator.
#[derive(Clone, Debug)]
pub(crate) enum OperatorRequest {
    Read,
    Replace { base: u64, version: u64, body: Bytes },
}

/// One operator.
#[derive(Debug, Default)]
pub(crate) struct Operator {
    /// Newest version that it has seen in a reply.
    pub(crate) known_version: u64,
    /// The request in progress; `None` before the next one is chosen.
    pub(crate) request: Option<OperatorRequest>,
    /// The call that it waits for; 0 for none.
    pub(crate) pending_call: CallId,
    /// Changes chosen so far; makes each body unique.
    change_count: u64,
}

impl Operator {
    /// Chooses the next request. Versions increase by 1 to 3, and one change in twelve is invalid.
    pub(crate) fn choose_request(&mut self, operator_index: usize, random: &mut Rng) -> OperatorRequest {
        if random.u32(0..3) == 0 {
            return OperatorRequest::Read;
        }
        self.change_count += 1;
        let version = self.known_version + random.u64(1..4);
        let body = match random.u32(0..24) {
            0 => "{".to_owned(),
            1 => body(self.known_version, operator_index, self.change_count, 10),
            2 => body(version, operator_index, self.change_count, 9_000),
            _ => body(version, operator_index, self.change_count, random.usize(0..300)),
        };
        OperatorRequest::Replace { base: self.known_version, version, body: Bytes::from(body) }
    }

    /// Handles a reply; returns whether it ends the request.
    pub(crate) fn handle_reply(&mut self, reply: &Reply) -> bool {
        match (reply, &self.request) {
            (Reply::Accepted, Some(OperatorRequest::Replace { version, .. })) => {
                self.known_version = *version
            }
            (Reply::Conflict { current }, _) => self.known_version = *current,
            (Reply::Configuration(body), _) => self.known_version = version_of(body),
            (Reply::Invalid(_) | Reply::NoConfiguration | Reply::Accepted, _) => {}
            (Reply::Redirect(_) | Reply::Unavailable(_), _) => return false,
        }
        self.request = None;
        true
    }
}

/// The base and body that identify a change; `None` for a read.
pub(crate) fn change_key(request: &OperatorRequest) -> Option<ChangeKey> {
    match request {
        OperatorRequest::Read => None,
        OperatorRequest::Replace { base, body, .. } => Some((*base, body.clone())),
    }
}

/// The version in a configuration; 0 if it cannot be parsed.
pub(crate) fn version_of(body: &[u8]) -> u64 {
    dunelink_settings::FleetConfig::parse(body).map_or(0, |config| config.version)
}

fn body(version: u64, operator: usize, change: u64, padding: usize) -> String {
    let padding = "x".repeat(padding);
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"h.example","pathPrefix":"/a/","kind":"safe",
        "timeoutMs":1000,"service":"s"}}],"services":[{{"name":"s"}}],
        "tenants":[{{"name":"t","apiKeys":["k{operator}-{change}{padding}"],"ratePerS":100,"burst":10}}]}}"#
    )
}
