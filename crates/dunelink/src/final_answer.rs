//! The final answer: given once, and counted.

use std::sync::Arc;

use tokio::sync::oneshot;

use crate::counts::{Counters, FinalOutcome};
use crate::types::Answer;

/// Gives the final answer and counts it, or its client as left if nobody waits any more. One that is passed on as
/// it comes counts once it has come to its end.
pub(crate) fn deliver_answer(
    counters: &Arc<Counters>,
    class: usize,
    client: oneshot::Sender<Answer>,
    mut answer: Answer,
) {
    if let Answer::Served(response) = &mut answer
        && response.body_mut().attach_transfer(|| counters.begin_transfer(class))
    {
        // Where nobody waits, it is dropped, and counts as left.
        let _ = client.send(answer);
        return;
    }
    let outcome = match &answer {
        Answer::Served(_) => FinalOutcome::Served,
        Answer::Refused { .. } => FinalOutcome::Refused,
        Answer::Failed { .. } => FinalOutcome::Failed,
    };
    // Counted first: who has the answer must find it in the counts.
    match client.is_closed() {
        true => counters.count_client_left(),
        false => {
            counters.count_outcome(class, outcome);
            let _ = client.send(answer);
        }
    }
}
