//! What is sent: statements, and packets within the ceiling.

use super::*;

impl Gossip {
    /// Makes this node's statement anew, and tells it.
    pub(super) fn restate(&mut self, stance: Stance, suspicions: Vec<Suspicion>, above: u64) {
        let number = self.own.statement.number.max(above).saturating_add(1);
        let statement =
            Statement { key: self.secret.hint(), number, stance, suspicions, ..self.own.statement.clone() };
        self.own = Signed::new(statement, &self.secret);
        self.news.heat(self.me);
    }

    pub(super) fn carried(&self, id: MemberId) -> Option<Carried> {
        if id == self.me {
            return Some(Carried { held_ms: 0, signed: self.own.clone() });
        }
        let member = self.members.all.get(&id)?;
        let held_ms = millis(self.now.saturating_sub(member.made_at));
        Some(Carried { held_ms, signed: member.signed.clone() })
    }

    /// Sends a message to a member, with this node's own statement if so, and as much news as there is room
    /// for.
    pub(super) fn tell(&mut self, to: MemberId, message: Message, own: bool, news: bool) -> bool {
        let Some(member) = self.members.all.get(&to) else { return false };
        let Statement { address, instance, .. } = member.signed.statement;
        // Who was never heard may not know this node, and would not listen to it.
        let own = own || !member.was_heard();
        self.tell_at(address, Some(to), instance, message, own, news)
    }

    /// The header of the next packet, for a process that speaks up to this version.
    pub(super) fn header(&mut self, speaks: u8, to_instance: u64) -> Header {
        self.packets += 1;
        Header {
            version: speaks.min(VERSION),
            speaks: VERSION,
            from: self.me,
            key: self.secret.hint(),
            instance: self.instance,
            to_instance,
            number: self.packets,
        }
    }

    pub(super) fn tell_at(
        &mut self,
        address: SocketAddr,
        to: Option<MemberId>,
        to_instance: u64,
        message: Message,
        own: bool,
        news: bool,
    ) -> bool {
        let speaks =
            to.and_then(|to| self.members.all.get(&to)).map_or(VERSION_LEAST, |member| member.speaks);
        let header = self.header(speaks, to_instance);
        let mut body = Body { message, accusations: Vec::new(), news: Vec::new() };
        body.news.extend(own.then(|| self.carried(self.me)).flatten());
        if body.message == Message::Welcome {
            let others = self.some_present(INTRODUCED);
            body.news
                .extend(others.into_iter().filter(|id| Some(*id) != to).filter_map(|id| self.carried(id)));
        }
        let nodes = self.members.all.len();
        if let Some(to) = to.filter(|_| news) {
            // Who is accused hears it first of all (Lifeguard's buddy system).
            let number = self.members.all.get(&to).map_or(0, |member| member.signed.statement.number);
            let accused = |accuser| Accusation { accused: to, number, accuser };
            body.accusations.extend(self.members.accusers(to).map(accused).take(1));
            let room = ACCUSATIONS_MOST - body.accusations.len();
            body.accusations.extend(self.news.accusations(room, tellings(nodes)));
        }
        let mut packet = Packet { header, body };
        let size = packet.size();
        let all_news =
            matches!(packet.body.message, Message::News | Message::Digest { .. } | Message::Want(_));
        let base = size + HEADERS;
        // Probes and answers may take of what is for news, not the other way: who is silent is accused. What
        // is carried takes of theirs only where much of it is left.
        let is_carried = matches!(packet.body.message, Message::Carried(_));
        let spare = self.for_probes.left(self.now) >= base as f64 + self.for_probes.depth() / 2.0;
        let fits = !all_news && !is_carried && self.affords((base, 0))
            || self.affords((0, base))
            || is_carried && spare && self.affords((base, 0));
        if !fits {
            self.figures.throttled += 1;
            return false;
        }
        if news && self.news.is_hot() {
            let most = if self.eager > 0 { BESIDE } else { MAX_PACKET_BYTES };
            let space =
                MAX_PACKET_BYTES.saturating_sub(size).min(self.for_news.left(self.now) as usize).min(most);
            for id in self.pick_news(space, to, own) {
                packet.body.news.extend(self.carried(id));
            }
        }
        let Some(bytes) = packet.seal(&self.secret) else { return false };
        // What was picked fits what is left.
        self.affords((0, bytes.len().saturating_sub(size)));
        self.send(address, bytes);
        true
    }

    /// Takes bytes of probes and of news from the ceiling, if there are as many.
    fn affords(&mut self, (probes, news): (usize, usize)) -> bool {
        let now = self.now;
        let fits = self.for_probes.left(now) >= probes as f64 && self.for_news.left(now) >= news as f64;
        if fits {
            self.for_probes.take(now, probes as f64);
            self.for_news.take(now, news as f64);
        }
        fits
    }

    pub(super) fn pick_news(&mut self, space: usize, to: Option<MemberId>, own: bool) -> Vec<MemberId> {
        let (members, me, mine) = (&self.members, self.me, self.own.size());
        let size = |id: MemberId| match id == me {
            true => Some(mine),
            false => members.all.get(&id).map(|member| member.signed.size()),
        };
        let nodes = members.all.len();
        // What adds nothing to what enough others say is passed on once at most.
        let suspects = self.news.hot().any(|id| {
            members.all.get(&id).is_some_and(|member| !member.signed.statement.suspicions.is_empty())
        });
        let words = if suspects { self.evidence.words(self.now, members) } else { BTreeMap::new() };
        let enough = 2.0 * evidence::witnesses_needed(nodes + 1);
        let said = |server: u64| words.get(&server).map_or(0.0, |w| w.iter().map(|w| w.weight).sum());
        let most = if self.news.is_crowded() { CROWDED } else { tellings(nodes) };
        let useful = |id: MemberId| {
            let suspicions = members.all.get(&id).map_or(&[][..], |m| &m.signed.statement.suspicions);
            let adds = suspicions.is_empty() || suspicions.iter().any(|s| said(s.server) < enough);
            if adds || id == me { most } else { 1 }
        };
        let mut picked = self.news.pick(space, size, useful);
        picked.retain(|id| Some(*id) != to && !(own && *id == me));
        picked
    }

    pub(super) fn send(&mut self, address: SocketAddr, bytes: Vec<u8>) {
        self.figures.packets_sent += 1;
        self.figures.bytes_sent += (bytes.len() + HEADERS) as u64;
        self.out.push(Output::Send(address, bytes));
    }

    /// Sends what is known of these, as much as fits one packet and the ceiling.
    pub(super) fn give(&mut self, to: MemberId, ids: Vec<MemberId>) {
        let left = self.for_news.left(self.now);
        let left = if self.learns() { left.max(self.for_probes.left(self.now)) } else { left };
        let mut space = (left as usize).min(MAX_PACKET_BYTES).saturating_sub(FRAME);
        let mut news = Vec::new();
        let wanted = ids.len();
        for carried in ids.into_iter().filter_map(|id| self.carried(id)) {
            let size = carried.signed.size();
            if size <= space {
                space -= size;
                news.push(carried);
            }
        }
        // Who compares is also told that there is nothing.
        let Some(member) = self.members.all.get(&to) else { return };
        if news.is_empty() && (wanted > 0 || member.speaks < SUMS_FROM) {
            return;
        }
        let (statement, speaks) = (&member.signed.statement, member.speaks);
        let (address, to_instance) = (statement.address, statement.instance);
        let header = self.header(speaks, to_instance);
        let message =
            if speaks >= SUMS_FROM { Message::Given { more: news.len() < wanted } } else { Message::News };
        let body = Body { message, accusations: Vec::new(), news };
        // Who asks nobody whether it is there yet has the part for that to give.
        if let Some(bytes) = (Packet { header, body }).seal(&self.secret)
            && (self.affords((0, bytes.len() + HEADERS))
                || self.learns() && self.affords((bytes.len() + HEADERS, 0)))
        {
            self.send(address, bytes);
        }
    }
}
