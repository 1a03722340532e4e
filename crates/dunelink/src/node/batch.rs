//! A GraphQL batch: its parts run in the order that [`BatchSchedule`] determines, and their answers are joined
//! into one.

use std::time::Duration;

use bytes::Bytes;
use dunelink_graphql::{
    BatchSchedule, BatchStep, FailureResponse, PartStatus, Rejection, ResponseMediaType, is_json,
    join_responses,
};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;

use super::single_request::SingleRequest;
use crate::answer_body::AnswerBody;
use crate::http::graphql_response;
use crate::intake::IdClaim;
use crate::types::Answer;

/// The parts of a batch, each a request of its own.
pub(super) struct Batch {
    pub(super) parts: Vec<BatchPart>,
    pub(super) media: ResponseMediaType,
    /// The maximum length of a part's answer in bytes.
    pub(super) max_body_bytes: usize,
    /// The id of the batch itself; the ids of its parts start with it.
    pub(super) _id_claim: IdClaim,
}

pub(super) struct BatchPart {
    /// Whether it only reads.
    pub(super) read_only: bool,
    /// The request to send, or why it was rejected.
    pub(super) request: Result<SingleRequest, Rejection>,
}

/// The outcome of a part.
enum PartOutcome {
    /// A server's answer.
    Answered(Bytes),
    /// The node's own answer, where there is none of a server.
    NodeAnswered(FailureResponse),
    Rejected(Rejection),
}

impl PartOutcome {
    /// Reads the answer into memory, because the answers of all parts are joined.
    async fn of(answer: Answer, max_bytes: usize) -> (PartOutcome, PartStatus) {
        match answer {
            Answer::Served(response) => match response.into_body().bytes(max_bytes).await {
                Ok(body) if is_json(&body) => (PartOutcome::Answered(body), PartStatus::Served),
                _ => (PartOutcome::NodeAnswered(FailureResponse::NotJson), PartStatus::Served),
            },
            Answer::Refused { retry_after } => {
                (PartOutcome::NodeAnswered(FailureResponse::Refused(retry_after)), PartStatus::Refused)
            }
            Answer::Failed { timed_out } => {
                (PartOutcome::NodeAnswered(FailureResponse::Failed { timed_out }), PartStatus::Failed)
            }
        }
    }

    fn body(&self) -> Bytes {
        match self {
            PartOutcome::Answered(body) => body.clone(),
            PartOutcome::NodeAnswered(fate) => fate.body(),
            PartOutcome::Rejected(rejection) => rejection.body(),
        }
    }
}

impl Batch {
    pub(super) fn refuse(self, retry_after: Duration) -> Answer {
        for request in self.parts.into_iter().filter_map(|part| part.request.ok()) {
            let _ = request.refuse(Some(retry_after));
        }
        Answer::Refused { retry_after: Some(retry_after) }
    }

    pub(super) async fn answer(self) -> Answer {
        let Batch { parts, media, max_body_bytes, _id_claim } = self;
        let mut order = BatchSchedule::new(parts.iter().map(|part| part.read_only));
        let mut pending: Vec<Option<Result<SingleRequest, Rejection>>> =
            parts.into_iter().map(|part| Some(part.request)).collect();
        let mut outcomes: Vec<Option<PartOutcome>> = pending.iter().map(|_| None).collect();
        let mut in_flight = FuturesUnordered::new();
        while !order.is_finished() {
            for step in order.next() {
                let (BatchStep::Send(index) | BatchStep::Skip(index)) = step;
                match (pending.get_mut(index).and_then(Option::take), step) {
                    (Some(Ok(request)), BatchStep::Send(_)) => {
                        in_flight.push(async move { (index, request.answer().await) })
                    }
                    (Some(Ok(request)), BatchStep::Skip(_)) => {
                        let _ = request.refuse(None);
                        outcomes[index] = Some(PartOutcome::NodeAnswered(FailureResponse::Skipped));
                    }
                    (Some(Err(rejection)), _) => {
                        outcomes[index] = Some(PartOutcome::Rejected(rejection));
                        order.finish(index, PartStatus::Rejected);
                    }
                    (None, _) => {}
                }
            }
            if let Some((index, answer)) = in_flight.next().await {
                let (outcome, end) = PartOutcome::of(answer, max_body_bytes).await;
                outcomes[index] = Some(outcome);
                order.finish(index, end);
            }
        }
        combine(outcomes.into_iter().flatten().collect(), media)
    }
}

/// Joins the answers. If all parts were refused, the batch is refused; otherwise the client needs to see the
/// outcome of each part.
fn combine(outcomes: Vec<PartOutcome>, media: ResponseMediaType) -> Answer {
    let is_refused = |outcome: &PartOutcome| {
        matches!(outcome, PartOutcome::NodeAnswered(FailureResponse::Refused(_) | FailureResponse::Skipped))
    };
    if outcomes.iter().all(is_refused) {
        let retry_after = |outcome: &PartOutcome| match outcome {
            PartOutcome::NodeAnswered(FailureResponse::Refused(after)) => *after,
            _ => None,
        };
        return Answer::Refused { retry_after: outcomes.iter().filter_map(retry_after).max() };
    }
    let any_answered = outcomes.iter().any(|outcome| matches!(outcome, PartOutcome::Answered(_)));
    let any_failed = |timed_out| {
        let has_failed = |o: &PartOutcome| {
            matches!(
                o,
                PartOutcome::NodeAnswered(FailureResponse::Failed { timed_out: t }) if *t == timed_out
            )
        };
        outcomes.iter().any(has_failed)
    };
    // A client that checks only the status must not consider a batch successful if none of its parts was.
    let status = match any_answered {
        true => StatusCode::OK,
        false if any_failed(true) => StatusCode::GATEWAY_TIMEOUT,
        false if any_failed(false) => StatusCode::BAD_GATEWAY,
        false if media == ResponseMediaType::Json => StatusCode::OK,
        false => StatusCode::BAD_REQUEST,
    };
    let bodies: Vec<Bytes> = outcomes.iter().map(PartOutcome::body).collect();
    Answer::Served(graphql_response(status, media, AnswerBody::from(join_responses(&bodies))))
}
