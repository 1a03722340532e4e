//! Delivery of final answers, each sent and counted once.

use std::sync::Arc;

use tokio::sync::oneshot;

use crate::counts::{FinalOutcome, RequestCounters};
use crate::types::Answer;

/// Sends the final answer and counts it, or counts the client as having left if nobody waits any more. A
/// streamed answer is counted when its body ends.
pub(crate) fn deliver_answer(
    counters: &Arc<RequestCounters>,
    class: usize,
    client: oneshot::Sender<Answer>,
    mut answer: Answer,
) {
    if let Answer::Served(response) = &mut answer
        && response.body_mut().attach_transfer(|| counters.begin_transfer(class))
    {
        // If the client has left, the answer is dropped here and counted so by the `Transfer` in its body.
        let _ = client.send(answer);
        return;
    }
    let outcome = match &answer {
        Answer::Served(_) => FinalOutcome::Served,
        Answer::Refused { .. } => FinalOutcome::Refused,
        Answer::Failed { .. } => FinalOutcome::Failed,
    };
    // Counted before it is sent: a client that has its answer must find it in the counts.
    match client.is_closed() {
        true => counters.count_client_left(),
        false => {
            counters.count_outcome(class, outcome);
            let _ = client.send(answer);
        }
    }
}
