//! The overrides log on disk: records that were appended are read back, by any process.

use super::log_file::LogFile;
use super::*;
use lineroute_control::overrides::{OverrideRequest, Scope, Slot};
use std::fs::{self, OpenOptions};
use std::io::Write;

/// Path of a directory that does not exist.
pub fn temp_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("lineroute-store-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    dir
}

/// Records that cordon `count` workers.
pub fn records(count: usize) -> Vec<Record> {
    let mut table = Table::new("n1", 3_600_000);
    let set = |number| {
        let slot = Slot { worker: format!("w{number}").as_str().into(), scope: Scope::OutOfService };
        let order = OverrideRequest {
            slot,
            weight: None,
            until: now() + 60_000,
            by: "ama".into(),
            why: "test".into(),
        };
        (*table.set(order, now()).expect("set")).clone()
    };
    (0..count).map(set).collect()
}

fn read_back(dir: &Path) -> Table {
    let mut table = Table::new("n1", 3_600_000);
    Store::open(dir).expect("a directory").load(&mut table);
    table
}

fn workers_out(table: &Table) -> Vec<String> {
    table.active(now()).out_of_service.iter().map(|worker| worker.to_string()).collect()
}

#[test]
fn appended_records_are_read_back() {
    let dir = temp_dir("back");
    assert!(read_back(&dir).by_fingerprint().is_empty(), "nothing was written yet");
    LogFile::open(&dir).expect("a log").appender().append(&records(2)).expect("appended");
    assert_eq!(workers_out(&read_back(&dir)), ["w0", "w1"]);
    let _ = fs::remove_dir_all(dir);
}

/// With two processes that have the log open, each reads every record that the other has appended, exactly once.
#[test]
fn each_process_reads_records_that_the_other_appended() {
    let dir = temp_dir("both");
    let (mut one, mut other) = (LogFile::open(&dir).expect("a log"), LogFile::open(&dir).expect("a log"));
    let records = records(3);
    one.appender().append(&records[..1]).expect("appended");
    assert_eq!(other.read_new().expect("read"), records[..1]);
    other.appender().append(&records[1..]).expect("appended");
    assert_eq!(other.read_new().expect("read"), records[1..]);
    assert_eq!(one.read_new().expect("read"), records);
    assert_eq!(one.read_new().expect("read"), []);
    let _ = fs::remove_dir_all(dir);
}

/// Guards against losing records next to a line that was truncated when its writer was killed: those before it and those
/// appended after it must be read.
#[test]
fn a_truncated_line_does_not_affect_other_records() {
    let dir = temp_dir("torn-line");
    let records = records(3);
    LogFile::open(&dir).expect("a log").appender().append(&records[..2]).expect("appended");
    let path = dir.join("overrides.log");
    let size = fs::metadata(&path).expect("a file").len();
    OpenOptions::new().write(true).open(&path).and_then(|file| file.set_len(size - 9)).expect("it is cut");
    let mut log = LogFile::open(&dir).expect("a log");
    assert_eq!(log.read_new().expect("read"), records[..1]);
    log.appender().append(&records[2..]).expect("appended");
    assert_eq!(log.read_new().expect("read"), records[2..]);
    assert_eq!(log.malformed(), 1);
    let _ = fs::remove_dir_all(dir);
}

#[test]
fn binary_data_is_skipped() {
    let dir = temp_dir("no-text");
    let records = records(1);
    LogFile::open(&dir).expect("a log").appender().append(&records).expect("appended");
    let mut file = OpenOptions::new().append(true).open(dir.join("overrides.log")).expect("a file");
    file.write_all(&[0, 255, b'\n', 7]).expect("written");
    let mut log = LogFile::open(&dir).expect("a log");
    assert_eq!(log.read_new().expect("read"), records);
    let _ = fs::remove_dir_all(dir);
}

/// The log is compacted only by a process that has read all of it, while no other process has it open.
#[test]
fn only_a_process_with_exclusive_access_compacts_the_log() {
    let dir = temp_dir("compact");
    let records = records(4);
    let mut one = LogFile::open(&dir).expect("a log");
    one.appender().append(&records).expect("appended");
    assert!(!one.compactor().compact(&records[..1]).expect("tried"), "what was appended was not read");
    one.read_new().expect("read");
    let other = LogFile::open(&dir).expect("a log");
    assert!(!one.compactor().compact(&records[..1]).expect("tried"), "another process has it open");
    drop(other);
    assert!(one.compactor().compact(&records[..1]).expect("replaced"));
    assert!(one.read_new().is_err(), "it has to be opened anew");
    let mut anew = LogFile::open(&dir).expect("a log");
    assert_eq!(anew.read_new().expect("read"), records[..1]);
    let _ = fs::remove_dir_all(dir);
}

#[test]
fn an_unusable_directory_is_reported_by_setting() {
    let dir = temp_dir("file");
    fs::write(&dir, "a file").expect("a file");
    assert!(Store::open(&dir).err().expect("an error").contains("state_dir"));
    let _ = fs::remove_file(dir);
}
