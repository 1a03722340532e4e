//! Clock differences, derived from events that all nodes observed at the same moment.

use std::collections::BTreeMap;

use crate::Micros;

/// Times of shared events, by a key that identifies the event in all logs, such as the epoch of a view.
type Moments = BTreeMap<String, Micros>;

/// How much to shift each log's times so that they are on the first log's clock. `None` for logs that share
/// no event with an aligned log, directly or through others.
///
/// The difference of two logs is the median over their shared events, so that a single delayed node or event
/// does not affect it.
pub fn offsets(logs: &[Moments]) -> Vec<Option<Micros>> {
    let mut offsets: Vec<Option<Micros>> = vec![None; logs.len()];
    if let Some(first) = offsets.first_mut() {
        *first = Some(0);
    }
    // The log that shares most events with an aligned one is aligned next.
    loop {
        let mut best_match: Option<(usize, usize, Micros)> = None;
        for (index, log) in logs.iter().enumerate().filter(|(index, _)| offsets[*index].is_none()) {
            for (aligned, offset) in offsets.iter().enumerate().filter_map(|(index, o)| Some((index, (*o)?)))
            {
                let mut clock_differences = differences(&logs[aligned], log);
                if clock_differences.len() > best_match.map_or(0, |(shared, ..)| shared) {
                    let middle = clock_differences.len() / 2;
                    let median = *clock_differences.select_nth_unstable(middle).1;
                    best_match = Some((clock_differences.len(), index, offset.saturating_add(median)));
                }
            }
        }
        let Some((_, index, offset)) = best_match else { return offsets };
        offsets[index] = Some(offset);
    }
}

fn differences(first: &Moments, second: &Moments) -> Vec<Micros> {
    second.iter().filter_map(|(key, index)| Some(first.get(key)?.saturating_sub(*index))).collect()
}
