//! Pins the encoding of records and their ids. Members of earlier builds must be able to read them, so these bytes
//! must never change. They were produced by the build of commit 42234eb.

use lineroute_fleet::{Incarnation, Member};
use lineroute_work::record::{Answer, Effect, JobId, JobRequest, Record};
use std::time::Duration;

const OWNER: Incarnation = Incarnation { member: Member(3), number: 300 };
const RECOVERY_OWNER: Incarnation = Incarnation { member: Member(4), number: 5 };
const SECOND: Duration = Duration::from_secs(1);

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// A record with one attempt that was adopted by a recovery owner and answered.
fn record(effect: Effect, answer: Answer) -> Record {
    let request = JobRequest {
        class: "order".into(),
        tenant: Some("t".into()),
        reference: "r".into(),
        key: None,
        path: "/".into(),
        body: vec![1],
        effect,
    };
    let mut record = Record::new(JobId([7; 16]), request, OWNER, 2 * SECOND);
    record.begin_attempt("w1", SECOND).expect("no attempt is in flight");
    record.end_attempt(effect == Effect::Once, SECOND).expect("an attempt is in flight");
    record.adopt(RECOVERY_OWNER, 6, SECOND);
    record.set_answer(answer, Duration::ZERO).expect("no answer yet");
    record
}

#[test]
fn records_keep_their_bytes() {
    let id_and_request = "07070707070707070707070707070707056f72646572010174017200012f0101";
    let cases = [
        (Effect::Repeatable, Answer::Served(vec![2]), "00040506050000010277310101000102"),
        (Effect::ByKey(3 * SECOND), Answer::Refused(4 * SECOND), "010300040506050000010277310101010400"),
        (Effect::Once, Answer::InDoubt, "0204050605000001027731020103"),
    ];
    for (effect, answer, rest) in cases {
        assert_eq!(hex(&record(effect, answer).encode()), format!("{id_and_request}{rest}"), "{effect:?}");
    }
}

#[test]
fn ids_keep_their_bytes() {
    assert_eq!(hex(&JobId::of_reference(OWNER, "r").0), "43563c05d33135650991139c96519ac3");
}
