//! The override log: a truncated line loses no other record.

use lineroute_control::overrides::{
    log_line, LogReader, Merged, OverrideRequest, Record, Scope, Slot, Table,
};
use proptest::prelude::*;
use std::sync::Arc;

const NOW: u64 = 1_764_600_000_000;

fn records(count: usize) -> Vec<Arc<Record>> {
    let mut table = Table::new("n1", 3_600_000);
    let set = |number| {
        let slot = Slot { worker: format!("w{number}").as_str().into(), scope: Scope::OutOfService };
        let order =
            OverrideRequest { slot, weight: None, until: NOW + 60_000, by: "ama".into(), why: "test".into() };
        table.set(order, NOW).expect("set")
    };
    (0..count).map(set).collect()
}

fn text(records: &[Arc<Record>]) -> String {
    records.iter().map(|record| log_line(record)).collect()
}

proptest! {
    #[test]
    fn a_log_can_be_read_in_chunks_of_any_size(size in 1usize..200) {
        let records = records(5);
        let mut reader = LogReader::default();
        let read: Vec<Record> = text(&records).as_bytes().chunks(size).flat_map(|chunk| reader.feed(chunk)).collect();
        prop_assert_eq!(read, records.iter().map(|record| (**record).clone()).collect::<Vec<_>>());
        prop_assert_eq!(reader.malformed(), 0);
    }

    /// A writer was killed anywhere in its line, and others continue after it.
    #[test]
    fn a_truncated_line_loses_no_other_record(cut in 1usize..400, which in 0usize..4) {
        let records = records(5);
        let lines: Vec<String> = records.iter().map(|record| log_line(record)).collect();
        let cut = cut.min(lines[which].len() - 2);
        let truncated: String = lines.iter().enumerate().map(|(i, line)| if i == which { &line[..cut] } else { line }).collect();
        let mut reader = LogReader::default();
        let read = reader.feed(truncated.as_bytes());
        let others: Vec<Record> = (0..5).filter(|i| *i != which).map(|i| (*records[i]).clone()).collect();
        prop_assert_eq!(read, others);
        prop_assert!(reader.malformed() <= 1);
    }

    #[test]
    fn a_corrupted_line_is_never_a_different_record(at in 0usize..300, to in 0u8..=255) {
        let records = records(1);
        let mut bytes = text(&records).into_bytes();
        let at = at % bytes.len();
        prop_assume!(bytes[at] != to);
        bytes[at] = to;
        for record in LogReader::default().feed(&bytes) {
            prop_assert_eq!(&record, &*records[0]);
        }
    }
}

#[test]
fn an_endless_line_uses_bounded_memory() {
    let mut reader = LogReader::default();
    for _ in 0..1000 {
        assert!(reader.feed(&[b'a'; 1000]).is_empty());
    }
    let rest = [&b"\n"[..], text(&records(1)).as_bytes()].concat();
    assert_eq!((reader.feed(&rest).len(), reader.malformed()), (1, 1));
}

/// After the wall clock has been set back by an hour, a peer's record from the future is rejected, but a
/// record restored locally is not.
#[test]
fn what_was_kept_here_outlasts_a_clock_that_is_set_back() {
    let record = (*records(1)[0]).clone();
    let earlier = NOW - 3_600_000;
    assert_eq!(Table::new("n1", 3_600_000).merge(record.clone(), earlier), Merged::Future);
    let mut table = Table::new("n1", 3_600_000);
    assert_eq!(table.restore(record, earlier), Merged::New);
    assert_eq!(table.active(earlier).out_of_service.len(), 1);
}

/// Two processes of one dispatcher may issue the same stamp for two workers; each override can be cleared
/// separately.
#[test]
fn one_stamp_of_two_workers_clears_one_of_them() {
    let set = |worker: &str| {
        let mut table = Table::new("n1", 3_600_000);
        let slot = Slot { worker: worker.into(), scope: Scope::OutOfService };
        let order =
            OverrideRequest { slot, weight: None, until: NOW + 60_000, by: "ama".into(), why: "test".into() };
        (*table.set(order, NOW).expect("set")).clone()
    };
    let (first, second) = (set("w0"), set("w1"));
    assert_eq!(first.stamp, second.stamp);
    let mut table = Table::new("n1", 3_600_000);
    table.restore(first.clone(), NOW);
    table.restore(second.clone(), NOW);
    let invalid = table.clear(&first.stamp.to_string(), "ama", "test", NOW).expect_err("the id is ambiguous");
    assert_eq!(invalid.field, "id");
    let cleared = table.clear_slot(&second.slot, "ama", "test", NOW).expect("it can be cleared");
    assert!(cleared.is_some());
    let out: Vec<String> = table.active(NOW).out_of_service.iter().map(|worker| worker.to_string()).collect();
    assert_eq!(out, ["w0"]);
    assert_eq!(table.clear_slot(&second.slot, "ama", "test", NOW), Ok(None));
}
