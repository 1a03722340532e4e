//! Validation of a configuration beyond what its types guarantee. The first violation is reported with its
//! key.

use std::collections::HashSet;

use dunelink_edge::target::is_class_name;

use super::{Config, Effect, Problem, RESERVED_SOCKETS, RosterConfig, SOCKETS_PER_SHARD};
use crate::server_list::Server;

/// A class name must be read the same way by every client, proxy and server.
const CLASS_NAME_RULE: &str =
    "expected letters, digits and -._~!$&'()*,=:@ with no dot at the end: the name is one segment of a path";

impl Config {
    /// Checks the constraints that the types do not express; returns the first violation with its key.
    pub(super) fn check(&self) -> Result<(), Problem> {
        let require = |holds: bool, key: &str, expected: &str| match holds {
            true => Ok(()),
            false => Err(Problem::new(key, expected)),
        };
        let is_non_negative = |x: f64| x.is_finite() && x >= 0.0;
        let limits = &self.limits;
        require(limits.requests > 0, "limits.requests", "expected at least 1")?;
        require(limits.requests <= 1 << 24, "limits.requests", "expected at most 16777216")?;
        require(limits.max_server_connections() > 0, "limits.server_connections", "expected at least 1")?;
        require(limits.body > 0 && limits.body <= 1 << 30, "limits.body", "expected 1 to 1073741824 bytes")?;
        require(limits.transfers <= 1 << 20, "limits.transfers", "expected at most 1048576")?;
        require(limits.stream <= 1 << 40, "limits.stream", "expected at most 1099511627776 bytes")?;
        require(
            is_non_negative(self.over_share_worth),
            "over_share_worth",
            "expected a number of 0 or more",
        )?;
        require(self.attempts.most > 0, "attempts.most", "expected at least 1")?;
        let fleet = &self.fleet;
        require(fleet.nodes > 0, "fleet.nodes", "expected at least 1")?;
        require(fleet.shards > 0 && fleet.shards <= 256, "fleet.shards", "expected 1 to 256")?;
        require(
            fleet.nodes.checked_mul(fleet.shards).is_some(),
            "fleet.nodes",
            "expected fewer: fleet.nodes times fleet.shards overflows",
        )?;
        let shards = fleet.shards as usize;
        require(
            shards == 1 || limits.sockets >= RESERVED_SOCKETS + (SOCKETS_PER_SHARD + 8) * shards,
            "limits.sockets",
            "expected at least 24, and 12 for each shard",
        )?;
        require(
            limits.server_connections.is_none_or(|count| count >= shards),
            "limits.server_connections",
            "expected at least one for each shard",
        )?;
        require(fleet.rank < fleet.nodes, "fleet.rank", "expected a number below fleet.nodes")?;
        require(
            fleet.zone.is_empty() || fleet.zones.contains(&fleet.zone),
            "fleet.zone",
            "expected one of the names in fleet.zones",
        )?;
        require(fleet.zones.len() < 255, "fleet.zones", "expected fewer than 255 names")?;
        require(fleet.kinds.len() < 255, "fleet.kinds", "expected fewer than 255 names")?;
        require(
            fleet.cold_from > 0.0 && fleet.cold_from <= 1.0,
            "fleet.cold_from",
            "expected a number above 0, up to 1",
        )?;
        require(
            is_non_negative(fleet.fall_multiple),
            "fleet.fall_multiple",
            "expected a number of 0 or more",
        )?;
        require(
            is_non_negative(fleet.cross_zone_price),
            "fleet.cross_zone_price",
            "expected a number of 0 or more",
        )?;
        require(!fleet.connect_timeout.is_zero(), "fleet.connect_timeout", "expected a time above 0")?;
        require(!fleet.step.is_zero(), "fleet.step", "expected a time above 0")?;
        require(fleet.labels > 0 && fleet.labels <= 4096, "fleet.labels", "expected 1 to 4096")?;
        require(fleet.pool_min >= 4, "fleet.pool_min", "expected at least 4")?;
        require(!self.classes.is_empty(), "classes", "expected at least one [[classes]] entry")?;
        let mut names = HashSet::new();
        for (i, class) in self.classes.iter().enumerate() {
            let require =
                |holds, key: &str, expected: &str| require(holds, &format!("classes[{i}].{key}"), expected);
            require(!class.name.is_empty(), "name", "expected a name")?;
            require(is_class_name(&class.name), "name", CLASS_NAME_RULE)?;
            // Some servers ignore case in paths and would confuse two names that differ only in case.
            let is_new = names.insert(class.name.to_ascii_lowercase());
            require(is_new, "name", "expected a name that no other class has, in whatever case")?;
            require(!class.deadline.is_zero(), "deadline", "expected a time above 0")?;
            require(!class.aim().is_zero(), "aim", "expected a time above 0")?;
            require(is_non_negative(class.aim_stretch), "aim_stretch", "expected a number of 0 or more")?;
            require(is_non_negative(class.worth), "worth", "expected a number of 0 or more")?;
            require(is_non_negative(class.late_worth), "late_worth", "expected a number of 0 or more")?;
            let keyed = class.effect == Effect::Keyed;
            require(
                !keyed || class.dedup.is_some(),
                "dedup",
                "expected { group = \"all\", \"zone\" or \"cell\", window = a time } for a keyed class",
            )?;
            require(keyed || class.dedup.is_none(), "dedup", "expected no dedup: the class is not keyed")?;
        }
        let mut names = HashSet::new();
        for (i, tenant) in self.tenants.iter().enumerate() {
            let require =
                |holds, key: &str, expected: &str| require(holds, &format!("tenants[{i}].{key}"), expected);
            require(!tenant.name.is_empty(), "name", "expected a name")?;
            require(names.insert(&tenant.name), "name", "expected a name that no other tenant has")?;
            require(is_non_negative(tenant.quota_per_s), "quota_per_s", "expected a number of 0 or more")?;
            require(is_non_negative(tenant.share), "share", "expected a number of 0 or more")?;
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

/// Checks the server list at `key`. With `unique`, each `uid` must be non-empty and occur once. A list that a
/// roster assembled may repeat a `uid`: its last entry counts.
pub(super) fn check_servers(key: &str, servers: &[Server], unique: bool) -> Result<(), Problem> {
    let mut names = HashSet::new();
    for (i, server) in servers.iter().enumerate() {
        let error = |field: &str, expected: &str| Err(Problem::new(format!("{key}[{i}].{field}"), expected));
        if unique && (server.uid.is_empty() || !names.insert(&server.uid)) {
            return error("uid", "expected a name that no other server has");
        }
        if !(server.weight.is_finite() && server.weight >= 0.0) {
            return error("weight", "expected a number of 0 or more");
        }
    }
    Ok(())
}
