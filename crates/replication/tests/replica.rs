//! One replica, driven message by message.

mod support;

use dunelink_replication::{
    Entry, HardState, Input, Member, Membership, Message, Output, Payload, Record, RecoveredState, Replica,
    Settings, Snapshot,
};
use support::machine::member;
use support::{MILLISECOND, SECOND};

const START: u64 = SECOND;
const AFTER_PROMISE: u64 = START + 601 * MILLISECOND;

fn voters() -> Vec<Member> {
    (0..3).map(|place| member(place, 1)).collect()
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(vec![term as u8]) }
}

/// Recovered state of a voter with entries of the given terms.
fn recovered(term: u64, terms: &[u64]) -> RecoveredState {
    let membership = Membership::of_voters(voters());
    RecoveredState {
        hard_state: Some(HardState { term, voted_for: None }),
        snapshot: Some(Snapshot { index: 0, term: 0, membership, state: Vec::new() }),
        entries: terms.iter().zip(1..).map(|(term, index)| entry(index, *term)).collect(),
    }
}

struct Single {
    replica: Replica,
    now: u64,
    /// Outputs of the last input.
    out: Vec<Output>,
    sequences: Vec<u64>,
}

impl Single {
    fn new(recovered: RecoveredState) -> Self {
        let replica = Replica::new(Settings::default(), member(0, 1), None, recovered, 1, START);
        let mut single = Self { replica, now: START, out: Vec::new(), sequences: Vec::new() };
        single.input(START, Input::Tick);
        single
    }

    fn input(&mut self, now: u64, input: Input) {
        self.now = now;
        self.out.clear();
        self.replica.handle(now, input, &mut self.out);
        let writes = self.out.iter().filter_map(|output| match output {
            Output::Write { sequence, .. } => Some(*sequence),
            _ => None,
        });
        self.sequences.extend(writes);
    }

    fn receive(&mut self, from: usize, message: Message) {
        self.input(self.now, Input::Received { from: member(from, 1).id, message });
    }

    /// Syncs all writes; the outputs of all of it.
    fn sync(&mut self) {
        let mut all = Vec::new();
        while !self.sequences.is_empty() {
            let sequence = self.sequences.remove(0);
            self.input(self.now, Input::Written { sequence });
            all.append(&mut self.out);
        }
        self.out = all;
    }

    fn sent(&self, wanted: impl Fn(&Message) -> bool) -> usize {
        let sent = |output: &&Output| matches!(output, Output::Send { message, .. } if wanted(message));
        self.out.iter().filter(sent).count()
    }

    fn records(&self) -> Vec<Record> {
        let records = self.out.iter().filter_map(|output| match output {
            Output::Write { records, .. } => Some(records.clone()),
            _ => None,
        });
        records.flatten().collect()
    }

    /// Becomes leader by the votes of replica 1.
    fn elect(&mut self) {
        let deadline = self.replica.next_deadline();
        self.input(deadline, Input::Tick);
        let requested_term = self.replica.term() + 1;
        self.receive(1, Message::PreVoteReply { term: requested_term - 1, requested_term, granted: true });
        self.sync();
        self.receive(1, Message::VoteReply { term: requested_term, granted: true });
        assert!(self.replica.is_leader());
    }

    fn vote(term: u64, last: (u64, u64), from: usize, handover: bool) -> Message {
        let (last_index, last_term) = last;
        Message::VoteRequest { term, last_index, last_term, candidate: member(from, 1), handover }
    }

    fn append(&mut self, term: u64, prev: (u64, u64), entries: Vec<Entry>, commit_index: u64) {
        let (prev_index, prev_term) = prev;
        self.receive(1, Message::Append { term, prev_index, prev_term, entries, commit_index });
    }

    fn heartbeat(&mut self, from: usize, term: u64, round: u64) {
        let leader = member(from, 1);
        self.receive(
            from,
            Message::Heartbeat { term, round, commit_index: 0, leader_holds_lease: false, leader },
        );
    }
}

fn granted(message: &Message) -> bool {
    matches!(message, Message::VoteReply { granted: true, .. })
}

fn appended(message: &Message) -> bool {
    matches!(message, Message::AppendAccepted { .. })
}

#[test]
fn a_vote_is_told_after_it_is_synced() {
    let mut single = Single::new(recovered(1, &[1]));
    single.now = AFTER_PROMISE;
    single.receive(1, Single::vote(2, (1, 1), 1, false));
    assert_eq!(single.sent(granted), 0);
    assert!(
        single
            .records()
            .contains(&Record::HardState(HardState { term: 2, voted_for: Some(member(1, 1).id) }))
    );
    single.sync();
    assert_eq!(single.sent(granted), 1);
    single.receive(2, Single::vote(2, (9, 1), 2, false));
    assert_eq!(single.sent(granted), 0, "one vote a term");
}

#[test]
fn a_restarted_replica_gives_no_vote_while_it_may_have_promised() {
    let mut single = Single::new(recovered(1, &[1]));
    single.now = START + 599 * MILLISECOND;
    single.receive(1, Single::vote(2, (1, 1), 1, false));
    assert_eq!(single.replica.term(), 1);
    assert!(single.out.is_empty());
    single.receive(1, Single::vote(2, (1, 1), 1, true));
    single.sync();
    assert_eq!(single.sent(granted), 1, "the old leader gave up its lease");
}

#[test]
fn a_follower_gives_no_vote_while_it_hears_a_leader() {
    let mut single = Single::new(recovered(1, &[1]));
    single.now = AFTER_PROMISE;
    single.heartbeat(1, 1, 1);
    single.now += 599 * MILLISECOND;
    single.receive(2, Single::vote(2, (1, 1), 2, false));
    assert_eq!(single.replica.term(), 1);
    single.now += 2 * MILLISECOND;
    single.receive(2, Single::vote(2, (1, 1), 2, false));
    single.sync();
    assert_eq!(single.sent(granted), 1);
}

#[test]
fn a_heartbeat_in_a_new_term_is_answered_after_the_term_is_synced_and_later_ones_at_once() {
    let answered = |message: &Message| matches!(message, Message::HeartbeatReply { term: 3, .. });
    let mut single = Single::new(recovered(1, &[1]));
    single.heartbeat(1, 3, 1);
    assert_eq!(single.sent(answered), 0);
    single.sync();
    assert_eq!(single.sent(answered), 1);
    single.append(3, (1, 1), vec![entry(2, 3)], 0);
    assert_eq!(single.sent(appended), 0);
    single.heartbeat(1, 3, 2);
    assert_eq!(single.sent(answered), 1, "entries that are not synced do not hold it up");
}

#[test]
fn entries_of_an_earlier_term_are_not_committed_by_counting() {
    let mut single = Single::new(recovered(3, &[1, 2]));
    single.elect();
    let term = single.replica.term();
    single.sync();
    single.receive(1, Message::AppendAccepted { term, match_index: 2 });
    assert_eq!(single.replica.commit_index(), 0);
    single.receive(1, Message::AppendAccepted { term, match_index: 3 });
    assert_eq!(single.replica.commit_index(), 3);
}

#[test]
fn a_leader_counts_itself_after_its_own_write() {
    let mut single = Single::new(recovered(1, &[]));
    single.elect();
    let term = single.replica.term();
    single.receive(1, Message::AppendAccepted { term, match_index: 1 });
    assert_eq!(single.replica.commit_index(), 0);
    single.sync();
    assert_eq!(single.replica.commit_index(), 1);
}

#[test]
fn conflicting_entries_are_removed_on_the_disk_too() {
    let mut single = Single::new(recovered(2, &[1, 1, 1]));
    single.heartbeat(1, 3, 1);
    single.append(3, (1, 1), vec![entry(2, 2)], 0);
    let records = single.records();
    let truncated = records.iter().position(|record| *record == Record::Truncate { from: 2 });
    let added = records.iter().position(|record| *record == Record::Append(entry(2, 2)));
    assert!(truncated.expect("truncated") < added.expect("added"));
    assert_eq!(single.replica.status(single.now).synced_index, 1, "the removed ones no longer count");
    single.sync();
    assert_eq!(single.replica.status(single.now).synced_index, 2);
}

#[test]
fn removed_entries_do_not_count_when_an_older_write_ends() {
    let mut single = Single::new(recovered(2, &[1]));
    single.heartbeat(1, 3, 1);
    single.append(3, (1, 1), vec![entry(2, 3), entry(3, 3)], 0);
    single.heartbeat(2, 4, 1);
    let (prev_index, prev_term) = (1, 1);
    single.receive(
        2,
        Message::Append { term: 4, prev_index, prev_term, entries: vec![entry(2, 4)], commit_index: 0 },
    );
    let last = single.sequences.pop().expect("the write of the new entry");
    single.sync();
    assert_eq!(single.replica.status(single.now).synced_index, 1);
    single.input(single.now, Input::Written { sequence: last });
    assert_eq!(single.replica.status(single.now).synced_index, 2);
}

#[test]
fn entries_beyond_what_was_compared_are_not_committed() {
    let mut single = Single::new(recovered(2, &[1, 1, 1]));
    single.heartbeat(1, 3, 1);
    single.append(3, (1, 1), Vec::new(), 3);
    assert_eq!(single.replica.commit_index(), 1);
}

#[test]
fn a_snapshot_over_conflicting_entries_removes_those_from_its_index_on_first() {
    let mut single = Single::new(recovered(2, &[1, 2, 2, 2]));
    single.heartbeat(1, 3, 1);
    let membership = Membership::of_voters(voters());
    let header = dunelink_replication::TransferHeader::Snapshot { index: 3, term: 3, membership };
    single.receive(1, Message::Chunk { term: 3, header, offset: 0, total_bytes: 2, bytes: vec![7, 7] });
    let records = single.records();
    assert_eq!(records[0], Record::Truncate { from: 3 });
    assert!(matches!(&records[1], Record::Snapshot(snapshot) if snapshot.index == 3));
    assert!(single.out.contains(&Output::Restore { index: 3, state: vec![7, 7] }));
    assert_eq!(single.sent(appended), 0);
    single.sync();
    assert_eq!(single.sent(appended), 1);
    let mut disk = recovered(2, &[1, 2, 2, 2]);
    records.into_iter().for_each(|record| disk.replay(record));
    assert!(disk.entries.is_empty());
}

#[test]
fn the_founding_snapshot_removes_nothing_from_an_empty_log() {
    let mut single = Single::new(RecoveredState::default());
    single.heartbeat(1, 1, 1);
    let membership = Membership::of_voters(voters());
    let header = dunelink_replication::TransferHeader::Snapshot { index: 0, term: 0, membership };
    single.receive(1, Message::Chunk { term: 1, header, offset: 0, total_bytes: 0, bytes: Vec::new() });
    let records = single.records();
    assert!(!records.iter().any(|record| matches!(record, Record::Truncate { .. })), "{records:?}");
    assert!(records.iter().any(|record| matches!(record, Record::Snapshot(snapshot) if snapshot.index == 0)));
    single.sync();
    assert_eq!(single.sent(appended), 1, "a replica that joins can be sent entries");
}

#[test]
fn promises_that_were_refused_are_asked_for_again_within_a_heartbeat() {
    let mut single = Single::new(recovered(1, &[1]));
    single.input(single.replica.next_deadline(), Input::Tick);
    let pre_vote_request = |message: &Message| matches!(message, Message::PreVoteRequest { term: 2, .. });
    assert_eq!(single.sent(pre_vote_request), 2);
    single.receive(1, Message::PreVoteReply { term: 1, requested_term: 2, granted: false });
    single.receive(2, Message::PreVoteReply { term: 1, requested_term: 2, granted: false });
    let next = single.replica.next_deadline();
    assert!(next <= single.now + Settings::default().heartbeat_interval, "{} us", next - single.now);
    single.input(next, Input::Tick);
    assert_eq!(single.sent(pre_vote_request), 2);
    assert_eq!(single.replica.term(), 1, "asking costs no term");
}

#[test]
fn one_change_of_the_membership_at_a_time() {
    let mut single = Single::new(recovered(1, &[]));
    single.elect();
    let term = single.replica.term();
    single.input(single.now, Input::Join(member(5, 1)));
    assert!(single.replica.membership().learners.is_empty(), "nothing is committed in this term yet");
    single.receive(1, Message::AppendAccepted { term, match_index: 1 });
    single.sync();
    single.input(single.now, Input::Join(member(6, 1)));
    let learners = single.replica.membership().learners.len();
    assert_eq!(learners, 2);
    single.input(single.now, Input::Join(member(7, 1)));
    assert_eq!(single.replica.membership().learners.len(), learners);
    single.receive(1, Message::AppendAccepted { term, match_index: 2 });
    single.sync();
    assert_eq!(single.replica.membership().learners.len(), learners + 1);
}

#[test]
fn a_failed_write_is_tried_again_with_all_that_came_after_it() {
    let mut single = Single::new(recovered(1, &[1]));
    single.heartbeat(1, 2, 1);
    single.sync();
    single.append(2, (1, 1), vec![entry(2, 2)], 0);
    let first = single.sequences.remove(0);
    single.append(2, (2, 2), vec![entry(3, 2)], 0);
    let second = single.sequences.remove(0);
    single.input(single.now, Input::WriteFailed { sequence: first });
    single.input(single.now, Input::Written { sequence: second });
    assert_eq!(single.sent(appended), 0, "it came after a failed one");
    single.append(2, (3, 2), vec![entry(4, 2)], 0);
    assert!(single.records().is_empty());
    assert_eq!(single.replica.next_deadline(), single.now + 100 * MILLISECOND);
    single.input(single.now + 100 * MILLISECOND, Input::Tick);
    let records = single.records();
    let expected: Vec<Record> = (2..=4).map(|index| Record::Append(entry(index, 2))).collect();
    assert_eq!(records[0], Record::Truncate { from: 2 });
    assert_eq!(records[1..], expected);
    assert!(single.sequences[0] > second + 1, "a number is skipped");
    single.sync();
    assert_eq!(single.sent(|message| matches!(message, Message::AppendAccepted { match_index: 4, .. })), 1);
}

#[test]
fn a_replica_with_a_failing_disk_does_not_stand() {
    let mut single = Single::new(recovered(1, &[1]));
    single.heartbeat(1, 2, 1);
    let sequence = single.sequences.remove(0);
    single.input(single.now, Input::WriteFailed { sequence });
    for _ in 0..50 {
        single.input(single.replica.next_deadline(), Input::Tick);
        assert_eq!(single.sent(|message| matches!(message, Message::PreVoteRequest { .. })), 0);
        if let Some(sequence) = single.sequences.pop() {
            single.input(single.now, Input::WriteFailed { sequence });
        }
    }
    assert!(single.now > START + 2 * SECOND);
}

#[test]
fn founders_keep_the_membership_before_they_vote() {
    let mut out = Vec::new();
    let founding = Some(voters());
    let mut replica =
        Replica::new(Settings::default(), member(0, 1), founding, RecoveredState::default(), 1, START);
    replica.handle(START, Input::Tick, &mut out);
    let Some(Output::Write { records, .. }) =
        out.iter().find(|output| matches!(output, Output::Write { .. }))
    else {
        panic!("no write: {out:?}");
    };
    let mut disk = RecoveredState::default();
    records.iter().cloned().for_each(|record| disk.replay(record));
    assert_eq!(disk.snapshot.map(|snapshot| snapshot.membership.voters), Some(voters()));
}

#[test]
fn messages_for_a_stalled_disk_do_not_pile_up() {
    let mut single = Single::new(recovered(1, &[1]));
    single.heartbeat(1, 2, 1);
    for round in 2..200 {
        single.heartbeat(1, 2, round);
        single.append(2, (1, 1), vec![entry(2, 2)], 0);
        single.append(2, (1, 1), Vec::new(), 0);
    }
    single.sync();
    assert!(single.out.len() < 5, "{} outputs", single.out.len());
    assert_eq!(single.sent(|message| matches!(message, Message::AppendAccepted { match_index: 2, .. })), 1);
}
