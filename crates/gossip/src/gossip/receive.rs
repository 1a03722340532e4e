//! What comes in, from the address that it came from to what it changes.

use std::collections::HashSet;

use super::*;

impl Gossip {
    pub(super) fn packet(&mut self, source: SocketAddr, bytes: &[u8]) {
        if !self.sources.listens(self.now, source.ip()) {
            self.figures.rate_limited += 1;
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
                self.figures.malformed += 1;
                return;
            }
        };
        let Header { from, instance, to_instance, number, speaks, .. } = packet.header;
        if !self.ring.contains(from) {
            self.figures.unauthenticated += 1;
            return;
        }
        let hello = matches!(packet.body.message, Message::Join | Message::Welcome);
        // What names another process was recorded, or is from one that does not know this one yet: it costs
        // no state.
        let for_me = to_instance == self.instance;
        if !for_me && !hello && from == self.me {
            self.figures.replayed += 1;
            return;
        }
        self.figures.signatures_checked += 1;
        if !packet.holds(bytes, &self.ring) {
            self.figures.unauthenticated += 1;
            return;
        }
        let now = self.now;
        let bucket = self.by_member.entry(from).or_insert_with(|| Bucket::ceiling(LISTEN, now));
        if !bucket.take(now, 1.0) {
            self.figures.rate_limited += 1;
            return;
        }
        if from == self.me {
            return self.twin(instance, &packet);
        }
        if !for_me {
            // Who knocks is told of to those that knock next: its statement is its own and counts whenever it
            // came.
            if let (Message::Join, [own]) = (&packet.body.message, &packet.body.news[..])
                && own.signed.statement.author == from
            {
                self.take(own, true);
            }
            self.figures.replayed += u64::from(!matches!(packet.body.message, Message::Join));
            // It is told which process this is. The answer is shorter than what asks for it.
            if !matches!(packet.body.message, Message::Welcome) {
                self.tell_at(source, Some(from), instance, Message::Welcome, true, false);
            }
            return;
        }
        // Its own statement comes first: it may be the first that is heard of it, or of its new process.
        for carried in &packet.body.news {
            if carried.signed.statement.author == from {
                self.take(carried, true);
            }
        }
        let gone = self.members.all.get(&from).is_some_and(|m| m.standing == Liveness::Dead);
        if !self.members.hear(now, from, instance, number, speaks) {
            self.figures.replayed += 1;
            return;
        }
        if gone {
            // Where one is back, others may be.
            self.join_at = self.join_at.min(now + self.random.u64(SYNC.1..SYNC.0 / 4));
            self.note_up(from);
        }
        self.figures.accepted += 1;
        self.prober.heard(self.now);
        let given = matches!(packet.body.message, Message::Given { .. } | Message::Welcome);
        let more = !matches!(packet.body.message, Message::Given { more: false });
        let new = packet.body.news.iter().filter(|carried| self.take(carried, !given)).count();
        if given {
            self.round = (true, self.round.1 || new > 0);
            if more {
                // There is more of that part: whoever is asked next gives others of it.
                self.sync_from = self.asked_from;
            }
            // As much is compared as there seems to be a packet's worth missing of.
            self.sums = match more {
                true => (self.sums / 2).max(SUMS_LEAST),
                false if new < FEW => (2 * self.sums).min(SUMS_SENT),
                false => self.sums,
            };
        }
        if given && self.eager > 0 {
            self.sync_at = self.sync_at.min(self.now + EAGER.0);
        }
        for accusation in &packet.body.accusations {
            self.accused(*accusation);
        }
        self.answer(from, packet.body.message, bytes);
    }

    /// A packet or a statement of this node's own name that this process did not make.
    pub(super) fn twin(&mut self, instance: u64, packet: &Packet) {
        for carried in &packet.body.news {
            self.take(carried, true);
        }
        if instance != self.instance {
            self.twins += 1;
            self.note(2, self.me, LogEvent::DuplicateName);
        }
    }

    /// Takes in a statement, if its author signed it and it is newer than what is known; whether it was. What
    /// is news is told on; what was asked for is not.
    pub(super) fn take(&mut self, carried: &Carried, is_news: bool) -> bool {
        let signed = &carried.signed;
        let Statement { author, number, instance, ref suspicions, .. } = signed.statement;
        if author == self.me {
            // Of a process before this one, or beside it: this one goes on above that.
            let other = instance != self.instance && number >= self.own.statement.number;
            if other && self.checked(signed) {
                let Statement { stance, suspicions, .. } = self.own.statement.clone();
                self.restate(stance, suspicions, number);
                self.twins += 1;
                if self.twins > 3 {
                    self.note(2, self.me, LogEvent::DuplicateName);
                }
            }
            return false;
        }
        if !self.ring.contains(author) || !self.members.is_newer(signed) || !self.checked(signed) {
            return false;
        }
        if Evidence::makes_no_sense(suspicions) {
            self.note(3, author, LogEvent::InvalidAges(self.name(author)));
        }
        let standing = |members: &Members| members.all.get(&author).map(|m| m.standing);
        let before = standing(&self.members);
        if !self.members.take(self.now, signed.clone(), u64::from(carried.held_ms) * 1000) {
            return false;
        }
        self.news.settled(author);
        // One that answers an accusation is news to all, however it was heard. Where all is new, it is asked
        // for, and who has just begun has nothing that others would not have.
        if is_news && !self.news.is_crowded() && !self.learns() || before == Some(Liveness::Suspect) {
            self.news.heat(author);
        }
        if before != Some(Liveness::Alive) && standing(&self.members) == Some(Liveness::Alive) {
            self.note_up(author);
        }
        true
    }

    pub(super) fn checked(&mut self, signed: &Signed) -> bool {
        self.figures.signatures_checked += 1;
        signed.holds(&self.ring)
    }

    pub(super) fn accused(&mut self, accusation: Accusation) {
        if accusation.accused != self.me {
            if self.ring.contains(accusation.accuser) {
                self.accuse(accusation);
            }
            return;
        }
        let due = self.refuted_at == 0 || self.now.saturating_sub(self.refuted_at) >= REFUTE;
        if accusation.number >= self.own.statement.number && due {
            self.refuted_at = self.now;
            self.prober.own_health(false);
            let Statement { stance, suspicions, .. } = self.own.statement.clone();
            self.restate(stance, suspicions, 0);
            self.round_at = self.round_at.min(self.now + AT_ONCE);
        }
    }

    pub(super) fn answer(&mut self, from: MemberId, message: Message, bytes: &[u8]) {
        match message {
            // Who is known by it is asked at once, so that it knows this node too.
            Message::Welcome => {
                if self.members.all.get(&from).is_none_or(|member| member.speaks < SUMS_FROM) {
                    self.sync_at = self.sync_at.min(self.now + SYNC.1);
                    let number = self.random.u64(..);
                    self.tell(from, Message::Ping { number, bare: false }, true, true);
                }
            }
            Message::Ping { number, bare } => drop(self.tell(from, Message::Ack(number), false, !bare)),
            Message::Ack(number) => {
                if let Some(asker) = self.prober.errand_done(from, number) {
                    self.tell(asker, Message::Proof(bytes.to_vec()), false, false);
                } else {
                    self.prober.answered(from, number);
                }
            }
            Message::PingFor { target, number } => {
                if self.members.all.contains_key(&target)
                    && self.prober.errand(self.now, from, target, number)
                {
                    self.tell(target, Message::Ping { number, bare: true }, true, false);
                }
            }
            Message::Proof(bytes) => self.proof(&bytes),
            // A stranger's knock was answered before.
            Message::News | Message::Join | Message::Given { .. } => {}
            Message::Digest { from: first, to: last, known } => self.compare(from, first, last, &known),
            Message::Carried(bytes) => {
                let instance =
                    self.members.all.get(&from).map_or(0, |member| member.signed.statement.instance);
                self.out.push(Output::PayloadReceived(from, instance, bytes));
            }
            Message::Want(ids) => self.give(from, ids),
            Message::Sums { from: first, to: last, salt, known } => {
                self.compare_sums(from, (first, last), salt, known);
            }
        }
    }

    /// Another member's answer, signed by that member: that it holds a number drawn by this node shows that
    /// it is new.
    pub(super) fn proof(&mut self, bytes: &[u8]) {
        let Ok(packet) = parse(bytes) else { return };
        let (from, Message::Ack(number)) = (packet.header.from, &packet.body.message) else { return };
        self.figures.signatures_checked += 1;
        if packet.holds(bytes, &self.ring) {
            self.prober.answered(from, *number);
        }
    }

    pub(super) fn compare(
        &mut self,
        from: MemberId,
        first: MemberId,
        last: MemberId,
        known: &[(MemberId, u64)],
    ) {
        if first > last {
            return;
        }
        let theirs = |id: MemberId| known.iter().find(|(other, _)| *other == id).map(|(_, number)| *number);
        let mut give: Vec<MemberId> = self.members.all.range(first..=last).map(|(id, _)| *id).collect();
        give.retain(|id| {
            let ours = self.members.all.get(id).map(|m| m.signed.statement.number);
            *id != from && theirs(*id) < ours
        });
        let want: Vec<MemberId> = known
            .iter()
            .filter(|(id, number)| {
                let ours = self.members.all.get(id).map(|m| m.signed.statement.number);
                *id != self.me && self.ring.contains(*id) && ours < Some(*number)
            })
            .map(|(id, _)| *id)
            .collect();
        // Not always the same first ones, if not all fit.
        self.random.shuffle(&mut give);
        let differs = !give.is_empty() || !want.is_empty();
        self.give(from, give);
        if !want.is_empty() {
            self.tell(from, Message::Want(want), false, false);
        }
        if differs {
            self.sync_at = self.sync_at.min(self.now + SYNC.1);
        }
    }

    /// Gives what the other lacks, by its sums; asks it soon if it has what this node lacks.
    fn compare_sums(
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
        let (mut give, mut shared) = (Vec::new(), 0);
        for (id, member) in self.members.all.range(first..=last).filter(|(id, _)| **id != from) {
            if known.contains(&member.signed.sum(salt)) {
                shared += 1;
            } else {
                give.push(*id);
            }
        }
        // The other's own statement, and this node's, are among the sums.
        let both = [from, self.me].iter().filter(|id| (first..=last).contains(id)).count();
        if known.len() > shared + both {
            self.sync_at = self.sync_at.min(self.now + SYNC.1);
        }
        // Not always the same first ones, if not all fit.
        self.random.shuffle(&mut give);
        self.give(from, give);
    }
}
