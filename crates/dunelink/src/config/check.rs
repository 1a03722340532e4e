//! What types cannot say of a configuration; the first problem names its key.

use std::collections::HashSet;

use dunelink_edge::target::is_class_name;

use super::{Config, Effect, Problem, RESERVED_SOCKETS, RosterConfig, SOCKETS_PER_SHARD};
use crate::entries::Server;

/// A class's name has to be read alike by all.
const CLASS_NAME: &str =
    "expected letters, digits and -._~!$&'()*,=:@ with no dot at the end: it is one part of a path";

impl Config {
    /// Checks what types cannot say; the first problem names its key.
    pub(super) fn check(&self) -> Result<(), Problem> {
        let want = |kept: bool, key: &str, expected: &str| match kept {
            true => Ok(()),
            false => Err(Problem::new(key, expected)),
        };
        let positive = |x: f64| x.is_finite() && x >= 0.0;
        let l = &self.limits;
        want(l.requests > 0, "limits.requests", "expected at least 1")?;
        want(l.requests <= 1 << 24, "limits.requests", "expected at most 16777216")?;
        want(l.max_server_connections() > 0, "limits.server_connections", "expected at least 1")?;
        want(l.body > 0 && l.body <= 1 << 30, "limits.body", "expected 1 to 1073741824 bytes")?;
        want(l.transfers <= 1 << 20, "limits.transfers", "expected at most 1048576")?;
        want(l.stream <= 1 << 40, "limits.stream", "expected at most 1099511627776 bytes")?;
        want(positive(self.over_share_worth), "over_share_worth", "expected a number of 0 or more")?;
        want(self.attempts.most > 0, "attempts.most", "expected at least 1")?;
        let f = &self.fleet;
        want(f.nodes > 0, "fleet.nodes", "expected at least 1")?;
        want(f.shards > 0 && f.shards <= 256, "fleet.shards", "expected 1 to 256")?;
        want(
            f.nodes.checked_mul(f.shards).is_some(),
            "fleet.nodes",
            "expected fewer: times shards, they overflow",
        )?;
        let parts = f.shards as usize;
        want(
            parts == 1 || l.sockets >= RESERVED_SOCKETS + (SOCKETS_PER_SHARD + 8) * parts,
            "limits.sockets",
            "expected at least 24, and 12 for each shard",
        )?;
        want(
            l.server_connections.is_none_or(|most| most >= parts),
            "limits.server_connections",
            "expected at least one for each shard",
        )?;
        want(f.rank < f.nodes, "fleet.rank", "expected a number below fleet.nodes")?;
        want(
            f.zone.is_empty() || f.zones.contains(&f.zone),
            "fleet.zone",
            "expected one of the names in fleet.zones",
        )?;
        want(f.zones.len() < 255, "fleet.zones", "expected fewer than 255 names")?;
        want(f.kinds.len() < 255, "fleet.kinds", "expected fewer than 255 names")?;
        want(
            f.cold_from > 0.0 && f.cold_from <= 1.0,
            "fleet.cold_from",
            "expected a number above 0, up to 1",
        )?;
        want(positive(f.fall_multiple), "fleet.fall_multiple", "expected a number of 0 or more")?;
        want(positive(f.cross_zone_price), "fleet.cross_zone_price", "expected a number of 0 or more")?;
        want(!f.connect_timeout.is_zero(), "fleet.connect_timeout", "expected a time above 0")?;
        want(!f.step.is_zero(), "fleet.step", "expected a time above 0")?;
        want(f.labels > 0 && f.labels <= 4096, "fleet.labels", "expected 1 to 4096")?;
        want(f.pool_min >= 4, "fleet.pool_min", "expected at least 4")?;
        want(!self.classes.is_empty(), "classes", "expected at least one [[classes]] entry")?;
        let mut names = HashSet::new();
        for (i, class) in self.classes.iter().enumerate() {
            let want = |kept, key: &str, expected: &str| want(kept, &format!("classes[{i}].{key}"), expected);
            want(!class.name.is_empty(), "name", "expected a name")?;
            want(is_class_name(&class.name), "name", CLASS_NAME)?;
            // There are servers that fold case, and would take the one for the other.
            let new = names.insert(class.name.to_ascii_lowercase());
            want(new, "name", "expected a name that no other class has, in whatever case")?;
            want(!class.deadline.is_zero(), "deadline", "expected a time above 0")?;
            want(!class.aim().is_zero(), "aim", "expected a time above 0")?;
            want(positive(class.aim_stretch), "aim_stretch", "expected a number of 0 or more")?;
            want(positive(class.worth), "worth", "expected a number of 0 or more")?;
            want(positive(class.late_worth), "late_worth", "expected a number of 0 or more")?;
            let keyed = class.effect == Effect::Keyed;
            want(
                !keyed || class.dedup.is_some(),
                "dedup",
                "expected { group = \"all\", \"zone\" or \"cell\", window = a time } for a keyed class",
            )?;
            want(keyed || class.dedup.is_none(), "dedup", "expected no dedup: the class is not keyed")?;
        }
        let mut names = HashSet::new();
        for (i, tenant) in self.tenants.iter().enumerate() {
            let want = |kept, key: &str, expected: &str| want(kept, &format!("tenants[{i}].{key}"), expected);
            want(!tenant.name.is_empty(), "name", "expected a name")?;
            want(names.insert(&tenant.name), "name", "expected a name that no other tenant has")?;
            want(positive(tenant.quota_per_s), "quota_per_s", "expected a number of 0 or more")?;
            want(positive(tenant.share), "share", "expected a number of 0 or more")?;
        }
        if let RosterConfig::Fixed { servers } = &self.roster {
            check_servers("roster.servers", servers, true)?;
        }
        check_servers("known.servers", &self.known.servers, false)?;
        self.graphql.as_ref().map_or(Ok(()), |graphql| graphql.check(&self.classes))?;
        self.gossip.as_ref().map_or(Ok(()), super::Gossip::check)?;
        self.settings().check().map_err(|e| Problem::new("", e.0))
    }
}

/// Checks a list of servers that stands at this key; of a list that a roster made, the last entry counts.
pub(super) fn check_servers(key: &str, servers: &[Server], unique: bool) -> Result<(), Problem> {
    let mut names = HashSet::new();
    for (i, server) in servers.iter().enumerate() {
        let problem = |part: &str, expected: &str| Err(Problem::new(format!("{key}[{i}].{part}"), expected));
        if unique && (server.uid.is_empty() || !names.insert(&server.uid)) {
            return problem("uid", "expected a name that no other server has");
        }
        if !(server.weight.is_finite() && server.weight >= 0.0) {
            return problem("weight", "expected a number of 0 or more");
        }
    }
    Ok(())
}
