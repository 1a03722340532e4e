//! What clients do: they want something, ask for it, hear an answer or leave, and ask again.

use cherryusher::Event;
use rand::Rng;

use super::clients::Want;
use super::events::{Due, Reply};
use super::nodes::Request;
use super::{BEGIN, World};
use crate::Micros;
use crate::experiment::{Effect, micros};
use crate::invariants::Invariant;
use crate::metrics::Ended;

impl World<'_> {
    pub(super) fn next_want(&mut self) {
        let (wait, comes) = self.clients.next(self.now, self.burst);
        let at = self.now + wait;
        if at < self.ends {
            self.agenda.put(at, if comes { Due::Want } else { Due::Idle });
        }
    }

    pub(super) fn wanted(&mut self) {
        let want = self.clients.want(self.now, None);
        self.ask_for(want);
        self.next_want();
    }

    pub(super) fn ask_for(&mut self, want: Want) {
        let number = self.next_number();
        self.wants.insert(number, want);
        self.ask(number);
    }

    pub(super) fn ask(&mut self, want: u64) {
        let Some(wanted) = self.wants.get_mut(&want) else { return };
        wanted.tries += 1;
        let (class, node) = (wanted.class, wanted.node);
        let (number, way) = (self.next_number(), self.way());
        let patience = micros(self.e.classes[class].deadline);
        self.requests.insert(number, Request::new(want, node, class, self.now + patience));
        self.agenda.put(self.now + way, Due::AtNode(number));
        self.agenda.put(self.now + patience, Due::Leaves(number));
    }

    /// A client hears its answer; it may ask again.
    pub(super) fn answered(&mut self, number: u64, reply: Reply) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        // Who has left hears nothing.
        if std::mem::replace(&mut request.client_gone, true) {
            return;
        }
        let want = request.want;
        self.let_go(number);
        self.concludes(want, reply);
    }

    fn concludes(&mut self, number: u64, reply: Reply) {
        let Some(want) = self.wants.get(&number) else { return };
        let class = &self.e.classes[want.class];
        let counted = want.start >= BEGIN + micros(self.e.settle);
        match reply {
            Reply::Served => {}
            Reply::Refused(_) => self.counts.refused += u64::from(counted),
            Reply::Failed => self.counts.failed += u64::from(counted),
        }
        if reply != Reply::Served {
            self.counts.turned(self.now - BEGIN);
            // What failed may have run; only a safe request is asked again then.
            let harmless = matches!(reply, Reply::Refused(_)) || class.effect == Effect::Safe;
            if harmless && want.tries <= self.e.clients.retries {
                let own = micros(self.e.clients.backoff) << (want.tries - 1).min(6);
                let own = own / 2 + (own as f64 / 2.0 * self.habits.random::<f64>()) as Micros;
                let told = match reply {
                    Reply::Refused(after) if want.heeds => after,
                    _ => 0,
                };
                self.agenda.put(self.now + own.max(told), Due::Ask(number));
                return;
            }
        }
        let Some(want) = self.wants.remove(&number) else { return };
        let took = self.now - want.start;
        let in_time = took <= micros(class.aim);
        let earned = want.worth * if in_time { 1.0 } else { class.late_worth };
        let served = (reply == Reply::Served).then_some((earned, took, in_time));
        let Want { start, class, tenant, worth, client, .. } = want;
        self.counts.ended(&Ended { start: start - BEGIN, class, tenant, worth, served });
        if let Some(client) = client {
            let thinks = self.clients.thinks();
            self.agenda.put(self.now + thinks, Due::Thought(client));
        }
    }

    /// A client's patience is over.
    pub(super) fn leaves(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        if std::mem::replace(&mut request.client_gone, true) {
            return;
        }
        let want = request.want;
        if !request.answered {
            request.answered = true;
            let node = request.node;
            self.rules
                .breach(Invariant::NoAnswer, self.now - BEGIN, || format!("request {number} at node {node}"));
            self.tell(node, Event::ClientLeft(number));
        }
        self.let_go(number);
        self.concludes(want, Reply::Failed);
    }
}
