//! The final answer: given once, and counted.

use std::sync::Arc;

use tokio::sync::oneshot;

use crate::counts::{How, Tally};
use crate::types::Answer;

/// Gives the final answer and counts it, or its client as left if nobody waits any more. One that is passed on as
/// it comes counts once it has come to its end.
pub(crate) fn answered(
    tally: &Arc<Tally>,
    class: usize,
    waiting: oneshot::Sender<Answer>,
    mut answer: Answer,
) {
    if let Answer::Served(response) = &mut answer
        && response.body_mut().count(|| tally.passes(class))
    {
        // Where nobody waits, it is dropped, and counts as left.
        let _ = waiting.send(answer);
        return;
    }
    let how = match &answer {
        Answer::Served(_) => How::Served,
        Answer::Refused { .. } => How::Refused,
        Answer::Failed { .. } => How::Failed,
    };
    // Counted first: who has the answer must find it in the counts.
    match waiting.is_closed() {
        true => tally.left(),
        false => {
            tally.ended(class, how);
            let _ = waiting.send(answer);
        }
    }
}
