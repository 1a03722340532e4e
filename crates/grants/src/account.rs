//! What the allocator knows of one tenant at one node.

use std::collections::VecDeque;

use dunelink_protocol::TenantDemand;

/// What is issued ahead to a node, in seconds of its demand.
const AHEAD_S: f64 = 0.5;
/// Grants to a node that are told apart.
const GRANTS_KEPT: usize = 16;
/// Requests by which a node may exceed its ceiling while less than one is issued to it ahead: chance brings several
/// between two reports.
pub(crate) const SPARSE_REQUESTS: f64 = 3.0;

/// How much a tenant's bucket holds for the nodes that ask.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Supply {
    /// Units beyond what was issued, divided by the nodes.
    pub(crate) spare_each: f64,
    /// Whether that is a request for each.
    pub(crate) is_plenty: bool,
    /// Whether it would not be one for each if the bucket were full.
    pub(crate) is_crowded: bool,
}

/// What grants of one number gave a node beside a ceiling.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Granted {
    /// Number of the grants.
    pub(crate) round: u64,
    /// Units up to which the node may go on.
    pub(crate) ceiling: f64,
    /// Units by which the ceiling may be exceeded.
    pub(crate) lent: f64,
    /// Units a second at which the node goes on when no more grants come.
    pub(crate) rate_per_s: f64,
}

/// Grants that may be in force at a node: the last that it is known to have taken, and those sent since.
#[derive(Debug, Default, Clone)]
struct Grants(VecDeque<Granted>);

impl Grants {
    fn send(&mut self, granted: Granted) {
        if self.0.len() >= GRANTS_KEPT {
            // A node that takes so long is about to count as silent: the two oldest are one.
            let oldest = self.0.pop_front().unwrap_or_default();
            if let Some(next) = self.0.front_mut() {
                next.ceiling = next.ceiling.max(oldest.ceiling);
                next.lent = next.lent.max(oldest.lent);
                next.rate_per_s = next.rate_per_s.max(oldest.rate_per_s);
            }
        }
        self.0.push_back(granted);
    }

    /// The node has taken the grants of that number: older ones are void.
    fn taken(&mut self, round: u64) {
        while self.0.len() > 1 && self.0.front().is_some_and(|granted| granted.round < round) {
            self.0.pop_front();
        }
    }
}

/// What one node reported of one tenant, and what was issued to it.
#[derive(Debug, Default, Clone)]
pub(crate) struct Account {
    pub(crate) incarnation: u64,
    /// Whether the node's last report told of the tenant.
    pub(crate) is_told: bool,
    /// Units a second asked for.
    pub(crate) rate_per_s: f64,
    pub(crate) request_units: f64,
    /// Units let pass, as last reported.
    pub(crate) passed: f64,
    /// The part of `passed` that was inherited with the node's history.
    inherited: f64,
    /// Units up to which it may go on as far as is known; they are taken out of the bucket.
    ceiling: f64,
    /// Grants that may be in force. What they lend stays in the bucket until it is used.
    grants: Grants,
    /// Units kept back for it since it fell silent.
    pub(crate) set_aside: f64,
}

impl Account {
    /// An account as a new leader takes it over: all that the node holds counts as issued.
    pub(crate) fn taken_over(told: &TenantDemand) -> Self {
        let mut account = Self { incarnation: told.incarnation, ..Self::default() };
        account.update(told);
        account.inherited = told.admitted;
        account.ceiling = told.admitted + told.available;
        let (ceiling, rate_per_s) = (account.ceiling, told.granted_rate_per_s);
        account.grants.send(Granted { round: 0, ceiling, lent: told.borrowed, rate_per_s });
        account
    }

    /// Takes in a report that was made after grants number `round` had come. What the node has used or holds beyond what
    /// was issued to it and kept back for it is returned, in units; below zero where it has taken a lower ceiling.
    pub(crate) fn take(&mut self, told: &TenantDemand, round: u64) -> f64 {
        let mut lost = 0.0;
        if self.incarnation != told.incarnation {
            // What was issued and lent to the start before counts as spent.
            lost = self.lent();
            *self = Self { incarnation: told.incarnation, ..Self::default() };
        }
        self.update(told);
        self.grants.taken(round);
        let reached = self.passed + told.available;
        let beyond = (reached - self.ceiling).max(0.0);
        let returned = self.lower(reached);
        (beyond - std::mem::take(&mut self.set_aside)).max(0.0) + lost - returned
    }

    /// Sets the ceiling to the highest that may be in force; what becomes free by that is returned.
    fn lower(&mut self, reached: f64) -> f64 {
        let before = self.ceiling.max(reached);
        self.ceiling = self.grants.0.iter().map(|granted| granted.ceiling).fold(reached, f64::max);
        (before - self.ceiling).max(0.0)
    }

    /// Raises the ceiling by what is issued, or tells a lower one where the node holds more than it wants by a request.
    /// The ceiling to be told is returned.
    pub(crate) fn issue(&mut self, supply: &Supply, issued: f64) -> f64 {
        let slack = if self.is_sparse() { 0.0 } else { self.request_units };
        let most = self.wanted(supply) + slack;
        if issued <= 0.0 && self.unused() > most {
            return self.passed + most;
        }
        self.ceiling = self.ceiling.max(self.passed) + issued;
        self.ceiling
    }

    /// Units by which the node may exceed its ceiling as far as is known.
    pub(crate) fn lent(&self) -> f64 {
        self.grants.0.iter().map(|granted| granted.lent).fold(0.0, f64::max)
    }

    /// Units a second that it may be going on at without a word from the leader, as far as is known.
    pub(crate) fn granted_rate(&self) -> f64 {
        self.grants.0.iter().map(|granted| granted.rate_per_s).fold(0.0, f64::max)
    }

    /// Notes what is granted to it.
    pub(crate) fn grant(&mut self, granted: Granted) {
        self.grants.send(granted);
    }

    /// The node has fallen silent: what was lent to it counts as spent until it reports. It is returned.
    pub(crate) fn give_up_lent(&mut self) -> f64 {
        let lent = self.lent();
        self.grants.0.iter_mut().for_each(|granted| granted.lent = 0.0);
        self.set_aside += lent;
        lent
    }

    fn update(&mut self, told: &TenantDemand) {
        self.is_told = true;
        self.rate_per_s = told.rate_per_s;
        self.request_units = told.mean_request_units;
        self.passed = told.admitted;
    }

    /// Units let pass since the node told its history.
    pub(crate) fn passed_since_inherited(&self) -> f64 {
        (self.passed - self.inherited).max(0.0)
    }

    /// Units issued and not used yet.
    pub(crate) fn unused(&self) -> f64 {
        (self.ceiling - self.passed).max(0.0)
    }

    /// Whether less than a request would be issued to it ahead. Whole requests issued to many such nodes would wait at
    /// some for what others ask, so they go beyond their ceilings instead.
    fn is_sparse(&self) -> bool {
        self.rate_per_s * AHEAD_S < self.request_units
    }

    /// Units by which a node of very many may exceed its ceiling, by the chance that `pass_share` is.
    pub(crate) fn chance_overdraft(&self, pass_share: f64, largest: f64) -> f64 {
        match (self.is_sparse(), pass_share >= 1.0) {
            (true, _) => largest * SPARSE_REQUESTS,
            (false, true) => largest,
            (false, false) => 0.0,
        }
    }

    /// Units to be issued.
    pub(crate) fn lacks(&self, supply: &Supply) -> f64 {
        (self.wanted(supply) - self.unused()).max(0.0)
    }

    /// Units that it had better hold.
    fn wanted(&self, supply: &Supply) -> f64 {
        if self.rate_per_s <= 0.0 {
            return 0.0;
        }
        match (self.is_sparse(), supply) {
            (true, Supply { is_plenty: true, spare_each, .. }) => {
                (spare_each - self.request_units).clamp(0.0, self.request_units)
            }
            (true, Supply { is_crowded: true, .. }) => 0.0,
            (true, _) => self.request_units,
            (false, _) => self.rate_per_s * AHEAD_S,
        }
    }
}
