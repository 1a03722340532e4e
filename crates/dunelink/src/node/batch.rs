//! A GraphQL batch: its parts run in the order that [`Order`] says, and their answers come back as one.

use std::time::Duration;

use bytes::Bytes;
use dunelink_graphql::{End, Fate, Media, Order, Rejection, Step, is_json, join};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;

use super::one::One;
use crate::answer_body::AnswerBody;
use crate::http::graphql;
use crate::intake::Claimed;
use crate::types::Answer;

/// The parts of a batch, each a request of its own.
pub(super) struct Batch {
    pub(super) parts: Vec<Part>,
    pub(super) media: Media,
    /// The most bytes of a part's answer.
    pub(super) body_most: usize,
    /// The id of the batch itself; its parts' begin with it.
    pub(super) _claimed: Claimed,
}

pub(super) struct Part {
    /// Whether it only reads.
    pub(super) reads: bool,
    /// What is sent, or why it is not.
    pub(super) one: Result<One, Rejection>,
}

/// What became of a part.
enum Outcome {
    /// A server's answer.
    Answered(Bytes),
    /// What the node says of it.
    Said(Fate),
    Rejected(Rejection),
}

impl Outcome {
    /// Answers are joined, so that each has to be held.
    async fn of(answer: Answer, most: usize) -> (Outcome, End) {
        match answer {
            Answer::Served(response) => match response.into_body().bytes(most).await {
                Ok(body) if is_json(&body) => (Outcome::Answered(body), End::Served),
                _ => (Outcome::Said(Fate::Unreadable), End::Served),
            },
            Answer::Refused { retry_after } => (Outcome::Said(Fate::Refused(retry_after)), End::Refused),
            Answer::Failed { timed_out } => (Outcome::Said(Fate::Failed { timed_out }), End::Failed),
        }
    }

    fn body(&self) -> Bytes {
        match self {
            Outcome::Answered(body) => body.clone(),
            Outcome::Said(fate) => fate.body(),
            Outcome::Rejected(rejection) => rejection.body(),
        }
    }
}

impl Batch {
    pub(super) fn refuse(self, retry_after: Duration) -> Answer {
        for one in self.parts.into_iter().filter_map(|part| part.one.ok()) {
            let _ = one.refuse(Some(retry_after));
        }
        Answer::Refused { retry_after: Some(retry_after) }
    }

    pub(super) async fn answer(self) -> Answer {
        let Batch { parts, media, body_most, _claimed } = self;
        let mut order = Order::new(parts.iter().map(|part| part.reads));
        let mut waiting: Vec<Option<Result<One, Rejection>>> =
            parts.into_iter().map(|part| Some(part.one)).collect();
        let mut outcomes: Vec<Option<Outcome>> = waiting.iter().map(|_| None).collect();
        let mut out = FuturesUnordered::new();
        while !order.is_over() {
            for step in order.next() {
                let (Step::Send(at) | Step::Skip(at)) = step;
                match (waiting.get_mut(at).and_then(Option::take), step) {
                    (Some(Ok(one)), Step::Send(_)) => out.push(async move { (at, one.answer().await) }),
                    (Some(Ok(one)), Step::Skip(_)) => {
                        let _ = one.refuse(None);
                        outcomes[at] = Some(Outcome::Said(Fate::Skipped));
                    }
                    (Some(Err(rejection)), _) => {
                        outcomes[at] = Some(Outcome::Rejected(rejection));
                        order.ended(at, End::Rejected);
                    }
                    (None, _) => {}
                }
            }
            if let Some((at, answer)) = out.next().await {
                let (outcome, end) = Outcome::of(answer, body_most).await;
                outcomes[at] = Some(outcome);
                order.ended(at, end);
            }
        }
        whole(outcomes.into_iter().flatten().collect(), media)
    }
}

/// The answers as one. Where all parts were refused, so is the batch; otherwise each client has to see which part
/// came to what.
fn whole(outcomes: Vec<Outcome>, media: Media) -> Answer {
    let refused = |outcome: &Outcome| matches!(outcome, Outcome::Said(Fate::Refused(_) | Fate::Skipped));
    if outcomes.iter().all(refused) {
        let retry_after = |outcome: &Outcome| match outcome {
            Outcome::Said(Fate::Refused(after)) => *after,
            _ => None,
        };
        return Answer::Refused { retry_after: outcomes.iter().filter_map(retry_after).max() };
    }
    let answered = outcomes.iter().any(|outcome| matches!(outcome, Outcome::Answered(_)));
    let failed = |timed_out| {
        let is = |o: &Outcome| matches!(o, Outcome::Said(Fate::Failed { timed_out: t }) if *t == timed_out);
        outcomes.iter().any(is)
    };
    // A client that looks at the status alone must not take a batch for done of which nothing was.
    let status = match answered {
        true => StatusCode::OK,
        false if failed(true) => StatusCode::GATEWAY_TIMEOUT,
        false if failed(false) => StatusCode::BAD_GATEWAY,
        false if media == Media::Json => StatusCode::OK,
        false => StatusCode::BAD_REQUEST,
    };
    let bodies: Vec<Bytes> = outcomes.iter().map(Outcome::body).collect();
    Answer::Served(graphql(status, media, AnswerBody::from(join(&bodies))))
}
