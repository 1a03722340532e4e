//! Tests of a single replica, driven input by input.

mod support;

use dunelink_replication::{
    Entry, HardState, Input, Member, Membership, Message, Output, Payload, Record, RecoveredState, Replica,
    Settings, Snapshot,
};
use support::machine::member;
use support::{MILLISECOND, SECOND};

const START_TIME: u64 = SECOND;
/// Just after the time until which a restarted replica withholds its vote.
const VOTES_ALLOWED_AT: u64 = START_TIME + 601 * MILLISECOND;

fn voters() -> Vec<Member> {
    (0..3).map(|position| member(position, 1)).collect()
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(vec![term as u8]) }
}

/// Recovered state of a voter whose entries have the given terms.
fn recovered_state(term: u64, terms: &[u64]) -> RecoveredState {
    let membership = Membership::of_voters(voters());
    RecoveredState {
        hard_state: Some(HardState { term, voted_for: None }),
        snapshot: Some(Snapshot { index: 0, term: 0, membership, state: Vec::new() }),
        entries: terms.iter().zip(1..).map(|(term, index)| entry(index, *term)).collect(),
    }
}

struct ReplicaDriver {
    replica: Replica,
    now: u64,
    /// Outputs of the last input.
    outputs: Vec<Output>,
    /// Sequence numbers of unsynced writes.
    unsynced_writes: Vec<u64>,
}

impl ReplicaDriver {
    fn new(recovered_state: RecoveredState) -> Self {
        let replica = Replica::new(Settings::default(), member(0, 1), None, recovered_state, 1, START_TIME);
        let mut driver = Self { replica, now: START_TIME, outputs: Vec::new(), unsynced_writes: Vec::new() };
        driver.handle(START_TIME, Input::Tick);
        driver
    }

    fn handle(&mut self, now: u64, input: Input) {
        self.now = now;
        self.outputs.clear();
        self.replica.handle(now, input, &mut self.outputs);
        let writes = self.outputs.iter().filter_map(|output| match output {
            Output::Write { sequence, .. } => Some(*sequence),
            _ => None,
        });
        self.unsynced_writes.extend(writes);
    }

    fn receive(&mut self, from: usize, message: Message) {
        self.handle(self.now, Input::Received { from: member(from, 1).id, message });
    }

    /// Syncs all writes and collects the outputs.
    fn sync(&mut self) {
        let mut all_outputs = Vec::new();
        while !self.unsynced_writes.is_empty() {
            let sequence = self.unsynced_writes.remove(0);
            self.handle(self.now, Input::Written { sequence });
            all_outputs.append(&mut self.outputs);
        }
        self.outputs = all_outputs;
    }

    fn count_sent(&self, matches_message: impl Fn(&Message) -> bool) -> usize {
        let sent =
            |output: &&Output| matches!(output, Output::Send { message, .. } if matches_message(message));
        self.outputs.iter().filter(sent).count()
    }

    fn records(&self) -> Vec<Record> {
        let records = self.outputs.iter().filter_map(|output| match output {
            Output::Write { records, .. } => Some(records.clone()),
            _ => None,
        });
        records.flatten().collect()
    }

    /// Becomes leader with the votes of replica 1.
    fn elect(&mut self) {
        let deadline = self.replica.next_deadline();
        self.handle(deadline, Input::Tick);
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

fn is_granted_vote(message: &Message) -> bool {
    matches!(message, Message::VoteReply { granted: true, .. })
}

fn is_append_accepted(message: &Message) -> bool {
    matches!(message, Message::AppendAccepted { .. })
}

#[test]
fn vote_is_sent_after_sync() {
    let mut driver = ReplicaDriver::new(recovered_state(1, &[1]));
    driver.now = VOTES_ALLOWED_AT;
    driver.receive(1, ReplicaDriver::vote(2, (1, 1), 1, false));
    assert_eq!(driver.count_sent(is_granted_vote), 0);
    assert!(
        driver
            .records()
            .contains(&Record::HardState(HardState { term: 2, voted_for: Some(member(1, 1).id) }))
    );
    driver.sync();
    assert_eq!(driver.count_sent(is_granted_vote), 1);
    driver.receive(2, ReplicaDriver::vote(2, (9, 1), 2, false));
    assert_eq!(driver.count_sent(is_granted_vote), 0, "a replica votes once per term");
}

#[test]
fn restarted_replica_withholds_its_vote() {
    let mut driver = ReplicaDriver::new(recovered_state(1, &[1]));
    driver.now = START_TIME + 599 * MILLISECOND;
    driver.receive(1, ReplicaDriver::vote(2, (1, 1), 1, false));
    assert_eq!(driver.replica.term(), 1);
    assert!(driver.outputs.is_empty());
    driver.receive(1, ReplicaDriver::vote(2, (1, 1), 1, true));
    driver.sync();
    assert_eq!(driver.count_sent(is_granted_vote), 1, "the old leader gave up its lease");
}

#[test]
fn follower_of_a_live_leader_withholds_its_vote() {
    let mut driver = ReplicaDriver::new(recovered_state(1, &[1]));
    driver.now = VOTES_ALLOWED_AT;
    driver.heartbeat(1, 1, 1);
    driver.now += 599 * MILLISECOND;
    driver.receive(2, ReplicaDriver::vote(2, (1, 1), 2, false));
    assert_eq!(driver.replica.term(), 1);
    driver.now += 2 * MILLISECOND;
    driver.receive(2, ReplicaDriver::vote(2, (1, 1), 2, false));
    driver.sync();
    assert_eq!(driver.count_sent(is_granted_vote), 1);
}

#[test]
fn heartbeat_reply_waits_for_the_term_only() {
    let is_heartbeat_reply = |message: &Message| matches!(message, Message::HeartbeatReply { term: 3, .. });
    let mut driver = ReplicaDriver::new(recovered_state(1, &[1]));
    driver.heartbeat(1, 3, 1);
    assert_eq!(driver.count_sent(is_heartbeat_reply), 0);
    driver.sync();
    assert_eq!(driver.count_sent(is_heartbeat_reply), 1);
    driver.append(3, (1, 1), vec![entry(2, 3)], 0);
    assert_eq!(driver.count_sent(is_append_accepted), 0);
    driver.heartbeat(1, 3, 2);
    assert_eq!(driver.count_sent(is_heartbeat_reply), 1, "unsynced entries do not delay the reply");
}

#[test]
fn entries_of_earlier_terms_are_not_committed_by_counting_replicas() {
    let mut driver = ReplicaDriver::new(recovered_state(3, &[1, 2]));
    driver.elect();
    let term = driver.replica.term();
    driver.sync();
    driver.receive(1, Message::AppendAccepted { term, match_index: 2 });
    assert_eq!(driver.replica.commit_index(), 0);
    driver.receive(1, Message::AppendAccepted { term, match_index: 3 });
    assert_eq!(driver.replica.commit_index(), 3);
}

#[test]
fn leader_counts_itself_after_its_own_sync() {
    let mut driver = ReplicaDriver::new(recovered_state(1, &[]));
    driver.elect();
    let term = driver.replica.term();
    driver.receive(1, Message::AppendAccepted { term, match_index: 1 });
    assert_eq!(driver.replica.commit_index(), 0);
    driver.sync();
    assert_eq!(driver.replica.commit_index(), 1);
}

#[test]
fn conflicting_entries_are_removed_from_disk() {
    let mut driver = ReplicaDriver::new(recovered_state(2, &[1, 1, 1]));
    driver.heartbeat(1, 3, 1);
    driver.append(3, (1, 1), vec![entry(2, 2)], 0);
    let records = driver.records();
    let truncated = records.iter().position(|record| *record == Record::Truncate { from: 2 });
    let added = records.iter().position(|record| *record == Record::Append(entry(2, 2)));
    assert!(truncated.expect("truncated") < added.expect("added"));
    assert_eq!(
        driver.replica.status(driver.now).synced_index,
        1,
        "removed entries no longer count as synced"
    );
    driver.sync();
    assert_eq!(driver.replica.status(driver.now).synced_index, 2);
}

#[test]
fn removed_entries_stay_unsynced_when_an_older_write_completes() {
    let mut driver = ReplicaDriver::new(recovered_state(2, &[1]));
    driver.heartbeat(1, 3, 1);
    driver.append(3, (1, 1), vec![entry(2, 3), entry(3, 3)], 0);
    driver.heartbeat(2, 4, 1);
    let (prev_index, prev_term) = (1, 1);
    driver.receive(
        2,
        Message::Append { term: 4, prev_index, prev_term, entries: vec![entry(2, 4)], commit_index: 0 },
    );
    let last = driver.unsynced_writes.pop().expect("the write of the new entry");
    driver.sync();
    assert_eq!(driver.replica.status(driver.now).synced_index, 1);
    driver.handle(driver.now, Input::Written { sequence: last });
    assert_eq!(driver.replica.status(driver.now).synced_index, 2);
}

#[test]
fn unverified_entries_are_not_committed() {
    let mut driver = ReplicaDriver::new(recovered_state(2, &[1, 1, 1]));
    driver.heartbeat(1, 3, 1);
    driver.append(3, (1, 1), Vec::new(), 3);
    assert_eq!(driver.replica.commit_index(), 1);
}

#[test]
fn snapshot_removes_conflicting_entries_first() {
    let mut driver = ReplicaDriver::new(recovered_state(2, &[1, 2, 2, 2]));
    driver.heartbeat(1, 3, 1);
    let membership = Membership::of_voters(voters());
    let header = dunelink_replication::TransferHeader::Snapshot { index: 3, term: 3, membership };
    driver.receive(1, Message::Chunk { term: 3, header, offset: 0, total_bytes: 2, bytes: vec![7, 7] });
    let records = driver.records();
    assert_eq!(records[0], Record::Truncate { from: 3 });
    assert!(matches!(&records[1], Record::Snapshot(snapshot) if snapshot.index == 3));
    assert!(driver.outputs.contains(&Output::Restore { index: 3, state: vec![7, 7] }));
    assert_eq!(driver.count_sent(is_append_accepted), 0);
    driver.sync();
    assert_eq!(driver.count_sent(is_append_accepted), 1);
    let mut disk = recovered_state(2, &[1, 2, 2, 2]);
    records.into_iter().for_each(|record| disk.replay(record));
    assert!(disk.entries.is_empty());
}

#[test]
fn initial_snapshot_on_an_empty_log_truncates_nothing() {
    let mut driver = ReplicaDriver::new(RecoveredState::default());
    driver.heartbeat(1, 1, 1);
    let membership = Membership::of_voters(voters());
    let header = dunelink_replication::TransferHeader::Snapshot { index: 0, term: 0, membership };
    driver.receive(1, Message::Chunk { term: 1, header, offset: 0, total_bytes: 0, bytes: Vec::new() });
    let records = driver.records();
    assert!(!records.iter().any(|record| matches!(record, Record::Truncate { .. })), "{records:?}");
    assert!(records.iter().any(|record| matches!(record, Record::Snapshot(snapshot) if snapshot.index == 0)));
    driver.sync();
    assert_eq!(driver.count_sent(is_append_accepted), 1, "the joining replica is ready for entries");
}

#[test]
fn refused_pre_votes_are_requested_again_within_a_heartbeat() {
    let mut driver = ReplicaDriver::new(recovered_state(1, &[1]));
    driver.handle(driver.replica.next_deadline(), Input::Tick);
    let is_pre_vote_request = |message: &Message| matches!(message, Message::PreVoteRequest { term: 2, .. });
    assert_eq!(driver.count_sent(is_pre_vote_request), 2);
    driver.receive(1, Message::PreVoteReply { term: 1, requested_term: 2, granted: false });
    driver.receive(2, Message::PreVoteReply { term: 1, requested_term: 2, granted: false });
    let next = driver.replica.next_deadline();
    assert!(next <= driver.now + Settings::default().heartbeat_interval, "{} us", next - driver.now);
    driver.handle(next, Input::Tick);
    assert_eq!(driver.count_sent(is_pre_vote_request), 2);
    assert_eq!(driver.replica.term(), 1, "pre-votes do not change the term");
}

#[test]
fn membership_changes_are_sequential() {
    let mut driver = ReplicaDriver::new(recovered_state(1, &[]));
    driver.elect();
    let term = driver.replica.term();
    driver.handle(driver.now, Input::Join(member(5, 1)));
    assert!(driver.replica.membership().learners.is_empty(), "no entry of this term is committed yet");
    driver.receive(1, Message::AppendAccepted { term, match_index: 1 });
    driver.sync();
    driver.handle(driver.now, Input::Join(member(6, 1)));
    let learners = driver.replica.membership().learners.len();
    assert_eq!(learners, 2);
    driver.handle(driver.now, Input::Join(member(7, 1)));
    assert_eq!(driver.replica.membership().learners.len(), learners);
    driver.receive(1, Message::AppendAccepted { term, match_index: 2 });
    driver.sync();
    assert_eq!(driver.replica.membership().learners.len(), learners + 1);
}

#[test]
fn failed_write_is_retried_with_all_later_ones() {
    let mut driver = ReplicaDriver::new(recovered_state(1, &[1]));
    driver.heartbeat(1, 2, 1);
    driver.sync();
    driver.append(2, (1, 1), vec![entry(2, 2)], 0);
    let first = driver.unsynced_writes.remove(0);
    driver.append(2, (2, 2), vec![entry(3, 2)], 0);
    let second = driver.unsynced_writes.remove(0);
    driver.handle(driver.now, Input::WriteFailed { sequence: first });
    driver.handle(driver.now, Input::Written { sequence: second });
    assert_eq!(driver.count_sent(is_append_accepted), 0, "the write follows a failed one");
    driver.append(2, (3, 2), vec![entry(4, 2)], 0);
    assert!(driver.records().is_empty());
    assert_eq!(driver.replica.next_deadline(), driver.now + 100 * MILLISECOND);
    driver.handle(driver.now + 100 * MILLISECOND, Input::Tick);
    let records = driver.records();
    let expected: Vec<Record> = (2..=4).map(|index| Record::Append(entry(index, 2))).collect();
    assert_eq!(records[0], Record::Truncate { from: 2 });
    assert_eq!(records[1..], expected);
    assert!(driver.unsynced_writes[0] > second + 1, "the retry skips a sequence number");
    driver.sync();
    assert_eq!(
        driver.count_sent(|message| matches!(message, Message::AppendAccepted { match_index: 4, .. })),
        1
    );
}

#[test]
fn replica_with_a_failing_disk_does_not_campaign() {
    let mut driver = ReplicaDriver::new(recovered_state(1, &[1]));
    driver.heartbeat(1, 2, 1);
    let sequence = driver.unsynced_writes.remove(0);
    driver.handle(driver.now, Input::WriteFailed { sequence });
    for _ in 0..50 {
        driver.handle(driver.replica.next_deadline(), Input::Tick);
        assert_eq!(driver.count_sent(|message| matches!(message, Message::PreVoteRequest { .. })), 0);
        if let Some(sequence) = driver.unsynced_writes.pop() {
            driver.handle(driver.now, Input::WriteFailed { sequence });
        }
    }
    assert!(driver.now > START_TIME + 2 * SECOND);
}

#[test]
fn initial_voter_stores_the_membership_first() {
    let mut outputs = Vec::new();
    let initial_voters = Some(voters());
    let mut replica = Replica::new(
        Settings::default(),
        member(0, 1),
        initial_voters,
        RecoveredState::default(),
        1,
        START_TIME,
    );
    replica.handle(START_TIME, Input::Tick, &mut outputs);
    let Some(Output::Write { records, .. }) =
        outputs.iter().find(|output| matches!(output, Output::Write { .. }))
    else {
        panic!("no write: {outputs:?}");
    };
    let mut disk = RecoveredState::default();
    records.iter().cloned().for_each(|record| disk.replay(record));
    assert_eq!(disk.snapshot.map(|snapshot| snapshot.membership.voters), Some(voters()));
}

#[test]
fn messages_behind_a_stalled_disk_are_superseded() {
    let mut driver = ReplicaDriver::new(recovered_state(1, &[1]));
    driver.heartbeat(1, 2, 1);
    for round in 2..200 {
        driver.heartbeat(1, 2, round);
        driver.append(2, (1, 1), vec![entry(2, 2)], 0);
        driver.append(2, (1, 1), Vec::new(), 0);
    }
    driver.sync();
    assert!(driver.outputs.len() < 5, "{} outputs", driver.outputs.len());
    assert_eq!(
        driver.count_sent(|message| matches!(message, Message::AppendAccepted { match_index: 2, .. })),
        1
    );
}
