//! Decodes arbitrary bytes as records. A decoded record must survive a round trip, and its state transitions must be valid.
#![no_main]

use libfuzzer_sys::fuzz_target;
use lineroute_work::record::{Effect, Record};
use std::time::Duration;

fuzz_target!(|data: &[u8]| {
    let Some(mut record) = Record::decode(data) else { return };
    assert_eq!(Record::decode(&record.encode()).as_ref(), Some(&record));
    let (left, may_have_run) = (Duration::from_secs(1), record.may_have_run());
    let (answered, in_flight) = (record.answer.is_some(), record.attempt_in_flight().is_some());
    let began = record.begin_attempt("w", left).is_ok();
    assert!(!(began && (answered || in_flight || (may_have_run && record.request.effect == Effect::Once))));
    assert!(!began || record.attempt_in_flight().is_some());
});
