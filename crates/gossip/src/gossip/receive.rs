//! Handling of received packets, from rate limits and signatures to their effects.

use std::collections::HashSet;

use super::*;

impl Gossip {
    pub(super) fn handle_packet(&mut self, source: SocketAddr, bytes: &[u8]) {
        if !self.source_limits.accepts(self.now, source.ip()) {
            self.counters.rate_limited += 1;
            return;
        }
        let packet = match parse(bytes) {
            Ok(packet) => packet,
            Err(
                ParseError::Length
                | ParseError::BadMagic
                | ParseError::UnsupportedVersion(_)
                | ParseError::Malformed,
            ) => {
                self.counters.malformed += 1;
                return;
            }
        };
        let Header { from, instance, to_instance, number, max_version, .. } = packet.header;
        if !self.ring.contains(from) {
            self.counters.unauthenticated += 1;
            return;
        }
        let is_handshake = matches!(packet.body.message, Message::Join | Message::Welcome);
        // A packet addressed to another process is a replay, or its sender does not know this process yet: it
        // must not change the state.
        let addressed_to_this_process = to_instance == self.instance;
        if !addressed_to_this_process && !is_handshake && from == self.me {
            self.counters.replayed += 1;
            return;
        }
        self.counters.signatures_checked += 1;
        if !packet.verify(bytes, &self.ring) {
            self.counters.unauthenticated += 1;
            return;
        }
        let now = self.now;
        let bucket = self
            .member_limits
            .entry(from)
            .or_insert_with(|| TokenBucket::per_second(MAX_PACKETS_PER_SECOND, now));
        if !bucket.take(now, 1.0) {
            self.counters.rate_limited += 1;
            return;
        }
        if from == self.me {
            return self.handle_duplicate_name(instance, &packet);
        }
        if !addressed_to_this_process {
            // The sender is introduced to members that join later: its statement is signed and valid whenever
            // it was sent.
            if let (Message::Join, [own]) = (&packet.body.message, &packet.body.updates[..])
                && own.signed.statement.author == from
            {
                self.merge_statement(own, true);
            }
            self.counters.replayed += u64::from(!matches!(packet.body.message, Message::Join));
            // Tells the sender which process this is. The response is shorter than the packet it answers.
            if !matches!(packet.body.message, Message::Welcome) {
                self.send_to_address(source, Some(from), instance, Message::Welcome, true, false);
            }
            return;
        }
        // The sender's own statement comes first: this may be the first packet from it, or from its new
        // process.
        for relayed in &packet.body.updates {
            if relayed.signed.statement.author == from {
                self.merge_statement(relayed, true);
            }
        }
        let was_dead = self.members.all.get(&from).is_some_and(|m| m.liveness == Liveness::Dead);
        if !self.members.record_packet(now, from, instance, number, max_version) {
            self.counters.replayed += 1;
            return;
        }
        if was_dead {
            // Where one member is back, others may be: for example, after a partition.
            self.join_at = self.join_at.min(now + self.random.u64(SYNC_INTERVAL.1..SYNC_INTERVAL.0 / 4));
            self.log_member_up(from);
        }
        self.counters.accepted += 1;
        self.prober.record_packet(self.now);
        let is_response = matches!(packet.body.message, Message::Response { .. } | Message::Welcome);
        let more = !matches!(packet.body.message, Message::Response { more: false });
        let new_count =
            packet.body.updates.iter().filter(|relayed| self.merge_statement(relayed, !is_response)).count();
        if is_response {
            self.sync_pass = (true, self.sync_pass.1 || new_count > 0);
            if more {
                // There is more in this part: the next member that is asked returns other statements of it.
                self.sync_from = self.requested_from;
            }
            // The number of checksums adapts so that about one packet of statements is missing in each part.
            self.checksum_count = match more {
                true => (self.checksum_count / 2).max(MIN_CHECKSUMS),
                false if new_count < SMALL_RESPONSE => (2 * self.checksum_count).min(MAX_CHECKSUMS_SENT),
                false => self.checksum_count,
            };
        }
        if is_response && self.eager_passes > 0 {
            self.sync_at = self.sync_at.min(self.now + NEXT_SYNC_DELAY.0);
        }
        for accusation in &packet.body.accusations {
            self.handle_accusation(*accusation);
        }
        self.handle_message(from, packet.body.message, bytes);
    }

    /// Handles a packet or statement under this node's own name that this process did not make.
    pub(super) fn handle_duplicate_name(&mut self, instance: u64, packet: &Packet) {
        for relayed in &packet.body.updates {
            self.merge_statement(relayed, true);
        }
        if instance != self.instance {
            self.duplicate_name_count += 1;
            self.log_event(2, self.me, LogEvent::DuplicateName);
        }
    }

    /// Merges a statement if its author signed it and it is newer than the known one; returns whether it was.
    /// Updates are passed on; statements that were requested are not.
    pub(super) fn merge_statement(&mut self, relayed: &RelayedStatement, is_update: bool) -> bool {
        let signed = &relayed.signed;
        let Statement { author, number, instance, ref suspicions, .. } = signed.statement;
        if author == self.me {
            // From an earlier process of this name, or a concurrent one: this process continues above its
            // number.
            let is_foreign = instance != self.instance && number >= self.own_statement.statement.number;
            if is_foreign && self.verify_statement(signed) {
                let Statement { lifecycle, suspicions, .. } = self.own_statement.statement.clone();
                self.publish_statement(lifecycle, suspicions, number);
                self.duplicate_name_count += 1;
                if self.duplicate_name_count > 3 {
                    self.log_event(2, self.me, LogEvent::DuplicateName);
                }
            }
            return false;
        }
        if !self.ring.contains(author) || !self.members.is_newer(signed) || !self.verify_statement(signed) {
            return false;
        }
        if Evidence::has_invalid_age(suspicions) {
            self.log_event(3, author, LogEvent::InvalidAges(self.name(author)));
        }
        let liveness = |members: &Members| members.all.get(&author).map(|m| m.liveness);
        let before = liveness(&self.members);
        if !self.members.merge(self.now, signed.clone(), u64::from(relayed.relay_age_ms) * 1000) {
            return false;
        }
        self.updates.drop_accusations(author);
        // A refutation is passed on to all, however it was received. Other statements are not pushed while
        // the queue is full, as nodes request what they lack, or while this node is bootstrapping, as it
        // knows nothing that others lack.
        if is_update && !self.updates.is_full() && !self.is_bootstrapping()
            || before == Some(Liveness::Suspect)
        {
            self.updates.push(author);
        }
        if before != Some(Liveness::Alive) && liveness(&self.members) == Some(Liveness::Alive) {
            self.log_member_up(author);
        }
        true
    }

    pub(super) fn verify_statement(&mut self, signed: &SignedStatement) -> bool {
        self.counters.signatures_checked += 1;
        signed.verify(&self.ring)
    }

    pub(super) fn handle_accusation(&mut self, accusation: Accusation) {
        if accusation.accused != self.me {
            if self.ring.contains(accusation.accuser) {
                self.accuse(accusation);
            }
            return;
        }
        let may_refute =
            self.refuted_at == 0 || self.now.saturating_sub(self.refuted_at) >= MIN_REFUTE_INTERVAL;
        if accusation.number >= self.own_statement.statement.number && may_refute {
            self.refuted_at = self.now;
            self.prober.record_own_health(false);
            let Statement { lifecycle, suspicions, .. } = self.own_statement.statement.clone();
            self.publish_statement(lifecycle, suspicions, 0);
            self.gossip_at = self.gossip_at.min(self.now + URGENT_DELAY);
        }
    }

    pub(super) fn handle_message(&mut self, from: MemberId, message: Message, bytes: &[u8]) {
        match message {
            // Pings the member at once, so that it learns about this node, too.
            Message::Welcome => {
                if self.members.all.get(&from).is_none_or(|member| member.max_version < CHECKSUMS_VERSION) {
                    self.sync_at = self.sync_at.min(self.now + SYNC_INTERVAL.1);
                    let number = self.random.u64(..);
                    self.send(from, Message::Ping { number, bare: false }, true, true);
                }
            }
            Message::Ping { number, bare } => drop(self.send(from, Message::Ack(number), false, !bare)),
            Message::Ack(number) => {
                if let Some(asker) = self.prober.take_relayed_probe(from, number) {
                    self.send(asker, Message::RelayedAck(bytes.to_vec()), false, false);
                } else {
                    self.prober.answered(from, number);
                }
            }
            Message::PingFor { target, number } => {
                if self.members.all.contains_key(&target)
                    && self.prober.add_relayed_probe(self.now, from, target, number)
                {
                    self.send(target, Message::Ping { number, bare: true }, true, false);
                }
            }
            Message::RelayedAck(bytes) => self.handle_relayed_ack(&bytes),
            // `Join` was answered before, the others have no further effect.
            Message::Updates | Message::Join | Message::Response { .. } => {}
            Message::Digest { from: first, to: last, known } => self.answer_digest(from, first, last, &known),
            Message::Payload(bytes) => {
                let instance =
                    self.members.all.get(&from).map_or(0, |member| member.signed.statement.instance);
                self.out.push(Output::PayloadReceived(from, instance, bytes));
            }
            Message::Request(ids) => self.send_statements(from, ids),
            Message::Checksums { from: first, to: last, salt, known } => {
                self.answer_checksums(from, (first, last), salt, known);
            }
        }
    }

    /// Handles another member's signed response, which a relay passed on: it contains a number drawn by this
    /// node, which shows that it is recent.
    pub(super) fn handle_relayed_ack(&mut self, bytes: &[u8]) {
        let Ok(packet) = parse(bytes) else { return };
        let (from, Message::Ack(number)) = (packet.header.from, &packet.body.message) else { return };
        self.counters.signatures_checked += 1;
        if packet.verify(bytes, &self.ring) {
            self.prober.answered(from, *number);
        }
    }

    pub(super) fn answer_digest(
        &mut self,
        from: MemberId,
        first: MemberId,
        last: MemberId,
        known: &[(MemberId, u64)],
    ) {
        if first > last {
            return;
        }
        let their_number =
            |id: MemberId| known.iter().find(|(known_id, _)| *known_id == id).map(|(_, number)| *number);
        let mut to_send: Vec<MemberId> = self.members.all.range(first..=last).map(|(id, _)| *id).collect();
        to_send.retain(|id| {
            let ours = self.members.all.get(id).map(|m| m.signed.statement.number);
            *id != from && their_number(*id) < ours
        });
        let to_request: Vec<MemberId> = known
            .iter()
            .filter(|(id, number)| {
                let ours = self.members.all.get(id).map(|m| m.signed.statement.number);
                *id != self.me && self.ring.contains(*id) && ours < Some(*number)
            })
            .map(|(id, _)| *id)
            .collect();
        // A random order, so that a different part is sent each time if not all fit.
        self.random.shuffle(&mut to_send);
        let differs = !to_send.is_empty() || !to_request.is_empty();
        self.send_statements(from, to_send);
        if !to_request.is_empty() {
            self.send(from, Message::Request(to_request), false, false);
        }
        if differs {
            self.sync_at = self.sync_at.min(self.now + SYNC_INTERVAL.1);
        }
    }

    /// Sends the statements that the other member lacks by its checksums, and synchronises soon if this node
    /// lacks some.
    fn answer_checksums(
        &mut self,
        from: MemberId,
        (first, last): (MemberId, MemberId),
        salt: u64,
        known: Vec<u16>,
    ) {
        if first > last {
            return;
        }
        let known: HashSet<u16> = known.into_iter().collect();
        let (mut to_send, mut matching) = (Vec::new(), 0);
        for (id, member) in self.members.all.range(first..=last).filter(|(id, _)| **id != from) {
            if known.contains(&member.signed.checksum(salt)) {
                matching += 1;
            } else {
                to_send.push(*id);
            }
        }
        // The checksums include the other member's own statement, and this node's.
        let own_statements = [from, self.me].iter().filter(|id| (first..=last).contains(id)).count();
        if known.len() > matching + own_statements {
            self.sync_at = self.sync_at.min(self.now + SYNC_INTERVAL.1);
        }
        // A random order, so that a different part is sent each time if not all fit.
        self.random.shuffle(&mut to_send);
        self.send_statements(from, to_send);
    }
}
