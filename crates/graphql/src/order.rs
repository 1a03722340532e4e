//! The order in which a batch's parts run: as if one after the other, though what only reads runs at once.
//!
//! A part that may change something waits for all before it, and all behind it wait for it. After one that was not
//! served no other that may change something runs: the first may be running still, or its client will ask for it
//! again, and then it would be the later one.

/// How a part ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A server answered.
    Served,
    /// It did not run, or a repeat is harmless.
    Refused,
    /// It may have run.
    Failed,
    /// It was not to be passed on.
    Rejected,
    /// It was not begun, as one before it was not served.
    Skipped,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send this part.
    Send(usize),
    /// Leave this part; it has ended as [`End::Skipped`].
    Skip(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waits,
    Out,
    Over(End),
}

/// The parts of one batch.
///
/// ```
/// use dunelink_graphql::{End, Order, Step};
///
/// // A query, two mutations and a query.
/// let mut order = Order::new([true, false, false, true]);
/// assert_eq!(order.next(), [Step::Send(0)]);
/// order.ended(0, End::Served);
/// assert_eq!(order.next(), [Step::Send(1)]);
/// order.ended(1, End::Failed);
/// assert_eq!(order.next(), [Step::Skip(2), Step::Send(3)]);
/// order.ended(3, End::Served);
/// assert!(order.is_over());
/// ```
#[derive(Clone, Debug)]
pub struct Order {
    /// Whether a part only reads, and how it stands.
    parts: Vec<(bool, State)>,
    /// All parts before this one are over.
    from: usize,
    /// Whether one that may change something was not served.
    broken: bool,
}

impl Order {
    /// Of parts of which it is known whether they only read.
    pub fn new(reads: impl IntoIterator<Item = bool>) -> Order {
        let parts = reads.into_iter().map(|reads| (reads, State::Waits)).collect();
        Order { parts, from: 0, broken: false }
    }

    /// What can be begun now, each once.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut all_over = true;
        for at in self.from..self.parts.len() {
            let (reads, state) = self.parts[at];
            let begins = state == State::Waits && (reads || all_over);
            if begins && !reads && self.broken {
                self.parts[at].1 = State::Over(End::Skipped);
                steps.push(Step::Skip(at));
            } else if begins {
                self.parts[at].1 = State::Out;
                steps.push(Step::Send(at));
            }
            let over = matches!(self.parts[at].1, State::Over(_));
            if over && all_over {
                self.from = at + 1;
            }
            all_over &= over;
            // What is behind one that may change something waits for it.
            if !over && !reads {
                break;
            }
        }
        steps
    }

    /// A part that was sent has ended; another end of it is passed over.
    pub fn ended(&mut self, at: usize, end: End) {
        let Some((reads, state)) = self.parts.get_mut(at) else { return };
        if *state == State::Out {
            *state = State::Over(end);
            self.broken |= !*reads && end != End::Served;
        }
    }

    /// Whether all parts have ended.
    pub fn is_over(&self) -> bool {
        self.parts.iter().all(|(_, state)| matches!(state, State::Over(_)))
    }
}
