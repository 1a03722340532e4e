//! Sending: statements, and packets within the rate limit.

use super::*;

impl Gossip {
    /// Replaces this node's statement and queues it as an update. Its number is above `above`.
    pub(super) fn publish_statement(&mut self, lifecycle: Lifecycle, suspicions: Vec<Suspicion>, above: u64) {
        let number = self.own_statement.statement.number.max(above).saturating_add(1);
        let statement = Statement {
            key: self.secret.hint(),
            number,
            lifecycle,
            suspicions,
            ..self.own_statement.statement.clone()
        };
        self.own_statement = SignedStatement::new(statement, &self.secret);
        self.updates.push(self.me);
    }

    pub(super) fn relayed_statement(&self, id: MemberId) -> Option<RelayedStatement> {
        if id == self.me {
            return Some(RelayedStatement { relay_age_ms: 0, signed: self.own_statement.clone() });
        }
        let member = self.members.all.get(&id)?;
        let relay_age_ms = millis(self.now.saturating_sub(member.made_at));
        Some(RelayedStatement { relay_age_ms, signed: member.signed.clone() })
    }

    /// Sends a message to a member, with this node's own statement if `own` is set, and with as many updates
    /// as fit if `updates` is set. Returns whether it was sent.
    pub(super) fn send(&mut self, to: MemberId, message: Message, own: bool, updates: bool) -> bool {
        let Some(member) = self.members.all.get(&to) else { return false };
        let Statement { address, instance, .. } = member.signed.statement;
        // A member that was never heard may not know this node, and would ignore the packet without its
        // statement.
        let own = own || !member.has_been_heard();
        self.send_to_address(address, Some(to), instance, message, own, updates)
    }

    /// The header of the next packet, for a process that supports versions up to `max_version`.
    pub(super) fn header(&mut self, max_version: u8, to_instance: u64) -> Header {
        self.last_packet_number += 1;
        Header {
            version: max_version.min(VERSION),
            max_version: VERSION,
            from: self.me,
            key: self.secret.hint(),
            instance: self.instance,
            to_instance,
            number: self.last_packet_number,
        }
    }

    pub(super) fn send_to_address(
        &mut self,
        address: SocketAddr,
        to: Option<MemberId>,
        to_instance: u64,
        message: Message,
        own: bool,
        updates: bool,
    ) -> bool {
        let max_version =
            to.and_then(|to| self.members.all.get(&to)).map_or(MIN_VERSION, |member| member.max_version);
        let header = self.header(max_version, to_instance);
        let mut body = Body { message, accusations: Vec::new(), updates: Vec::new() };
        body.updates.extend(own.then(|| self.relayed_statement(self.me)).flatten());
        if body.message == Message::Welcome {
            let others = self.random_members(INTRODUCED_MEMBERS);
            body.updates.extend(
                others.into_iter().filter(|id| Some(*id) != to).filter_map(|id| self.relayed_statement(id)),
            );
        }
        let nodes = self.members.all.len();
        if let Some(to) = to.filter(|_| updates) {
            // An accused member is the first to be informed (Lifeguard's buddy system).
            let number = self.members.all.get(&to).map_or(0, |member| member.signed.statement.number);
            let accused = |accuser| Accusation { accused: to, number, accuser };
            body.accusations.extend(self.members.accusers(to).map(accused).take(1));
            let remaining = MAX_ACCUSATIONS - body.accusations.len();
            body.accusations.extend(self.updates.accusations(remaining, transmission_limit(nodes)));
        }
        let mut packet = Packet { header, body };
        let size = packet.size();
        let is_update_packet =
            matches!(packet.body.message, Message::Updates | Message::Digest { .. } | Message::Request(_));
        let min_size = size + UDP_HEADER_BYTES;
        // Probes and their responses may use the update budget, but not the other way round: a member that
        // does not answer is accused. Payloads may use the probe budget only while much of it is left.
        let is_payload = matches!(packet.body.message, Message::Payload(_));
        let probe_budget_spare =
            self.probe_budget.left(self.now) >= min_size as f64 + self.probe_budget.capacity() / 2.0;
        let fits = !is_update_packet && !is_payload && self.take_budget((min_size, 0))
            || self.take_budget((0, min_size))
            || is_payload && probe_budget_spare && self.take_budget((min_size, 0));
        if !fits {
            self.counters.throttled += 1;
            return false;
        }
        if updates && self.updates.has_updates() {
            let max_size = if self.eager_passes > 0 { MAX_PIGGYBACK_BYTES } else { MAX_PACKET_BYTES };
            let space = MAX_PACKET_BYTES
                .saturating_sub(size)
                .min(self.update_budget.left(self.now) as usize)
                .min(max_size);
            for id in self.pick_updates(space, to, own) {
                packet.body.updates.extend(self.relayed_statement(id));
            }
        }
        let Some(bytes) = packet.encode_signed(&self.secret) else { return false };
        // The updates were picked to fit the budget that is left.
        self.take_budget((0, bytes.len().saturating_sub(size)));
        self.send_bytes(address, bytes);
        true
    }

    /// Takes bytes from the probe and update budgets, if both have enough.
    fn take_budget(&mut self, (probes, updates): (usize, usize)) -> bool {
        let now = self.now;
        let fits =
            self.probe_budget.left(now) >= probes as f64 && self.update_budget.left(now) >= updates as f64;
        if fits {
            self.probe_budget.take(now, probes as f64);
            self.update_budget.take(now, updates as f64);
        }
        fits
    }

    pub(super) fn pick_updates(&mut self, space: usize, to: Option<MemberId>, own: bool) -> Vec<MemberId> {
        let (members, me, own_size) = (&self.members, self.me, self.own_statement.size());
        let size = |id: MemberId| match id == me {
            true => Some(own_size),
            false => members.all.get(&id).map(|member| member.signed.size()),
        };
        let nodes = members.all.len();
        // A statement that adds nothing to sufficiently many reports is passed on at most once.
        let has_suspicions = self.updates.statements().any(|id| {
            members.all.get(&id).is_some_and(|member| !member.signed.statement.suspicions.is_empty())
        });
        let reports = if has_suspicions { self.evidence.reports(self.now, members) } else { BTreeMap::new() };
        let enough_weight = 2.0 * evidence::witnesses_needed(nodes + 1);
        let reported_weight =
            |server: u64| reports.get(&server).map_or(0.0, |w| w.iter().map(|w| w.weight).sum());
        let transmissions =
            if self.updates.is_full() { MAX_TRANSMISSIONS_WHEN_FULL } else { transmission_limit(nodes) };
        let max_transmissions = |id: MemberId| {
            let suspicions = members.all.get(&id).map_or(&[][..], |m| &m.signed.statement.suspicions);
            let adds_evidence =
                suspicions.is_empty() || suspicions.iter().any(|s| reported_weight(s.server) < enough_weight);
            if adds_evidence || id == me { transmissions } else { 1 }
        };
        let mut picked = self.updates.pick(space, size, max_transmissions);
        picked.retain(|id| Some(*id) != to && !(own && *id == me));
        picked
    }

    pub(super) fn send_bytes(&mut self, address: SocketAddr, bytes: Vec<u8>) {
        self.counters.packets_sent += 1;
        self.counters.bytes_sent += (bytes.len() + UDP_HEADER_BYTES) as u64;
        self.out.push(Output::Send(address, bytes));
    }

    /// Sends the statements of these members, as many as fit one packet and the budget.
    pub(super) fn send_statements(&mut self, to: MemberId, ids: Vec<MemberId>) {
        let left = self.update_budget.left(self.now);
        let left = if self.is_bootstrapping() { left.max(self.probe_budget.left(self.now)) } else { left };
        let mut space = (left as usize).min(MAX_PACKET_BYTES).saturating_sub(UPDATE_PACKET_OVERHEAD);
        let mut updates = Vec::new();
        let requested = ids.len();
        for relayed in ids.into_iter().filter_map(|id| self.relayed_statement(id)) {
            let size = relayed.signed.size();
            if size <= space {
                space -= size;
                updates.push(relayed);
            }
        }
        // A member that sent checksums gets a response even if it lacks nothing.
        let Some(member) = self.members.all.get(&to) else { return };
        if updates.is_empty() && (requested > 0 || member.max_version < CHECKSUMS_VERSION) {
            return;
        }
        let (statement, max_version) = (&member.signed.statement, member.max_version);
        let (address, to_instance) = (statement.address, statement.instance);
        let header = self.header(max_version, to_instance);
        let message = if max_version >= CHECKSUMS_VERSION {
            Message::Response { more: updates.len() < requested }
        } else {
            Message::Updates
        };
        let body = Body { message, accusations: Vec::new(), updates };
        // A bootstrapping node sends no probes yet, so that it can use their budget for statements.
        if let Some(bytes) = (Packet { header, body }).encode_signed(&self.secret)
            && (self.take_budget((0, bytes.len() + UDP_HEADER_BYTES))
                || self.is_bootstrapping() && self.take_budget((bytes.len() + UDP_HEADER_BYTES, 0)))
        {
            self.send_bytes(address, bytes);
        }
    }
}
