//! How far apart clocks are, from what all nodes came to know at the same moment.

use std::collections::BTreeMap;

use crate::Micros;

/// Moments by what makes them one moment for all, such as the epoch of a view.
type Moments = BTreeMap<String, Micros>;

/// By how much to move each log's times so that they are on the first one's clock. Those that share no moment
/// with others that could be moved, directly or through others, are left as they are: `None`.
///
/// Two logs' difference is the median over the moments that they share, so that one late node or one odd
/// moment moves nothing.
pub fn offsets(logs: &[Moments]) -> Vec<Option<Micros>> {
    let mut offsets: Vec<Option<Micros>> = vec![None; logs.len()];
    if let Some(first) = offsets.first_mut() {
        *first = Some(0);
    }
    // Whoever shares most moments with one that is placed comes next.
    loop {
        let mut best: Option<(usize, usize, Micros)> = None;
        for (at, log) in logs.iter().enumerate().filter(|(at, _)| offsets[*at].is_none()) {
            for (placed, offset) in offsets.iter().enumerate().filter_map(|(at, o)| Some((at, (*o)?))) {
                let mut apart = differences(&logs[placed], log);
                if apart.len() > best.map_or(0, |(shared, ..)| shared) {
                    let middle = apart.len() / 2;
                    let median = *apart.select_nth_unstable(middle).1;
                    best = Some((apart.len(), at, offset.saturating_add(median)));
                }
            }
        }
        let Some((_, at, offset)) = best else { return offsets };
        offsets[at] = Some(offset);
    }
}

fn differences(one: &Moments, other: &Moments) -> Vec<Micros> {
    other.iter().filter_map(|(what, at)| Some(one.get(what)?.saturating_sub(*at))).collect()
}
