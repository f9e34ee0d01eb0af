//! Pins the encoding of frames, log entries and durable changes. Members of earlier builds and files on disk must
//! stay readable, so these bytes must never change. They were produced by the build of commit 42234eb.

use lineroute_fleet::frame::{
    Entry, Frame, HealthCheckRequest, LeaseOutcome, LeaseRequest, LeaseResponse, OwnerReport, Proposal,
    RaftMessage, ReplicaAnnouncement, Snapshot,
};
use lineroute_fleet::ledger::{Command, Ledger};
use lineroute_fleet::log::{HardState, LogChange};
use lineroute_fleet::{Incarnation, Member, Resource};

const INCARNATION: Incarnation = Incarnation { member: Member(3), number: 300 };

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn probe() -> Resource {
    Resource::new("probe/a").expect("a name")
}

fn entry() -> Entry {
    Entry { kind: 1, term: 2, index: 3, data: vec![4, 5] }
}

fn snapshot() -> Snapshot {
    Snapshot { index: 1, term: 2, voters: vec![3], learners: vec![4], data: vec![5] }
}

fn assert_frame(frame: Frame, bytes: &str) {
    assert_eq!(hex(&frame.encode()), bytes, "{frame:?}");
}

#[test]
fn consensus_frames_keep_their_bytes() {
    let message = RaftMessage {
        kind: 1,
        to: 2,
        from: 3,
        term: 4,
        log_term: 5,
        index: 6,
        entries: vec![entry()],
        commit: 7,
        commit_term: 8,
        snapshot: Some(snapshot()),
        request_snapshot: 9,
        reject: true,
        reject_hint: 10,
        context: vec![11],
        priority: -12,
    };
    assert_frame(Frame::Raft(message), "0101020304050601010203020405070801010201030104010509010a010b17");
    let announcement = ReplicaAnnouncement { replica_id: 1, configured: vec![2, 3] };
    assert_frame(Frame::Announcement(announcement), "0201020203");
}

#[test]
fn lease_frames_keep_their_bytes() {
    let request = LeaseRequest {
        incarnation: INCARNATION,
        number: 1,
        renew: vec![(Resource::incarnation(INCARNATION), 2)],
        acquire: vec![Resource::orphaned_work(INCARNATION)],
        watch: vec![probe()],
        release: vec![(probe(), 3)],
        settle: vec![(INCARNATION, 4)],
    };
    assert_frame(
        Frame::LeaseRequest(request),
        "0303ac0201010a6c6966652f332f33303002010c6573746174652f332f333030010770726f62652f61010770726f62652f61030103ac0204",
    );
    let response = |outcome| Frame::LeaseResponse(LeaseResponse { number: 7, outcome });
    assert_frame(response(LeaseOutcome::NotLeader(Some(Member(2)))), "0407000102");
    assert_frame(response(LeaseOutcome::DeclaredDead(9)), "04070109");
    let held = LeaseOutcome::Held {
        resources: vec![(probe(), 1)],
        others: vec![(probe(), INCARNATION, 2)],
        orphaned_work: vec![INCARNATION],
        voters: vec![Member(1)],
    };
    assert_frame(response(held), "040702010770726f62652f6101010770726f62652f6103ac02020103ac020101");
}

#[test]
fn other_frames_keep_their_bytes() {
    assert_frame(Frame::Swim(vec![1, 2]), "00020102");
    assert_frame(Frame::Leave(INCARNATION), "0503ac02");
    assert_frame(
        Frame::OwnerReport(OwnerReport { resource: probe(), token: 5, payload: vec![6] }),
        "060770726f62652f61050106",
    );
    let request = HealthCheckRequest { resource: probe(), payload: vec![7] };
    assert_frame(Frame::HealthCheckRequest(request), "070770726f62652f610107");
}

#[test]
fn log_entries_and_the_ledger_keep_their_bytes() {
    let commands = [
        (Command::RaiseTokenFloor { floor: 100 }, "0064"),
        (
            Command::Grant { resource: probe(), holder: INCARNATION, expected_token: 0 },
            "010770726f62652f6103ac0200",
        ),
        (Command::Release { resource: probe(), token: 5 }, "020770726f62652f6105"),
        (Command::DeclareDead { incarnation: INCARNATION }, "0303ac02"),
        (Command::Settle { incarnation: INCARNATION, token: 6 }, "0403ac0206"),
    ];
    let mut ledger = Ledger::default();
    for (command, bytes) in commands {
        assert_eq!(hex(&Proposal { command: command.clone() }.encode()), bytes, "{command:?}");
        ledger.apply(command);
    }
    assert_eq!(hex(&ledger.encode()), "65010770726f62652f616503ac020103ac020103ac02");
}

#[test]
fn durable_changes_keep_their_bytes() {
    let hard_state = Some(HardState { term: 1, vote: 2, commit: 3 });
    let change = LogChange { snapshot: Some(snapshot()), entries: vec![entry()], hard_state };
    let bytes = postcard::to_stdvec(&change).expect("it can be written");
    assert_eq!(hex(&bytes), "0101020103010401050101020302040501010203");
}
