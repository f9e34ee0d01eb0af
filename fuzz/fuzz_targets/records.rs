//! Any bytes as records: what is one is the same again when it is written, and changes only as records may.
#![no_main]

use libfuzzer_sys::fuzz_target;
use lineroute_work::record::{Effect, Record};
use std::time::Duration;

fuzz_target!(|data: &[u8]| {
    let Some(mut record) = Record::decode(data) else { return };
    assert_eq!(Record::decode(&record.encode()).as_ref(), Some(&record));
    let (left, may) = (Duration::from_secs(1), record.may_have_run());
    let (answered, out) = (record.answer.is_some(), record.attempt_in_flight().is_some());
    let intended = record.begin_attempt("w", left).is_ok();
    assert!(!(intended && (answered || out || (may && record.request.effect == Effect::Once))));
    assert!(!intended || record.attempt_in_flight().is_some());
});
