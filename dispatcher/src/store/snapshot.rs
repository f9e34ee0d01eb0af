//! Reads `overrides.snapshot`, which releases before the overrides log wrote, at process start, so that overrides survive the
//! upgrade. The first line contains the format and the BLAKE3 hash of the rest; each further line is one record.

use lineroute_control::overrides::{decode, decode_hex, Record};
use std::fs;
use std::io;
use std::path::Path;
use tracing::error;

const FILE_NAME: &str = "overrides.snapshot";
const SET_ASIDE_NAME: &str = "overrides.bad";
const FORMAT: &str = "lineroute-overrides 1";
/// Maximum size of a snapshot; the table it was written from is bounded.
const MAX_BYTES: u64 = 16 << 20;

/// The records of the snapshot in this directory, if there is one. An unreadable snapshot is renamed and logged; it does not
/// prevent the start.
pub fn load(dir: &Path) -> Vec<Record> {
    let path = dir.join(FILE_NAME);
    match read(&path) {
        Ok(records) => records,
        Err(reason) => {
            let aside = dir.join(SET_ASIDE_NAME);
            let moved = fs::rename(&path, &aside);
            error!(reason, file = %path.display(), aside = %aside.display(), moved = moved.is_ok(),
                "can't read the overrides snapshot; moving it aside");
            Vec::new()
        }
    }
}

fn read(path: &Path) -> Result<Vec<Record>, String> {
    match fs::metadata(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Ok(file) if file.len() > MAX_BYTES => return Err(format!("file is too large: {} bytes", file.len())),
        _ => {}
    }
    let text = fs::read_to_string(path).map_err(|e| e.to_string())?;
    let (head, body) = text.split_once('\n').ok_or("the first line is missing")?;
    let hash = head.strip_prefix(FORMAT).ok_or("the first line does not name a supported format")?.trim();
    if blake3::hash(body.as_bytes()).to_hex().as_str() != hash {
        return Err("checksum mismatch: the file is truncated or was changed".into());
    }
    let record = |line: &str| decode(&decode_hex(line)?).ok();
    let lines = body.lines();
    lines.map(|line| record(line).ok_or(format!("invalid record: {line:.20}"))).collect()
}

#[cfg(test)]
mod tests {
    use super::super::tests::{records, temp_dir};
    use super::*;
    use lineroute_control::overrides::encode;
    use rstest::rstest;

    /// A snapshot as earlier releases wrote it.
    fn text(records: &[Record]) -> String {
        let hex = |bytes: Vec<u8>| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
        let body: String = records.iter().map(|record| hex(encode(record)) + "\n").collect();
        format!("{FORMAT} {}\n{body}", blake3::hash(body.as_bytes()).to_hex())
    }

    #[test]
    fn snapshots_of_earlier_releases_are_read() {
        let dir = temp_dir("snapshot");
        fs::create_dir_all(&dir).expect("a folder");
        assert!(load(&dir).is_empty(), "nothing was written yet");
        let records = records(2);
        fs::write(dir.join(FILE_NAME), text(&records)).expect("a file");
        assert_eq!(load(&dir), records);
        let _ = fs::remove_dir_all(dir);
    }

    #[rstest]
    #[case::cut(|text: &str| text[..text.len() - 20].into())]
    #[case::cut_at_a_line(|text: &str| text.lines().take(2).collect::<Vec<_>>().join("\n") + "\n")]
    #[case::changed(|text: &str| text.replacen("77", "78", 1))]
    #[case::empty(|_: &str| String::new())]
    #[case::other_format(|text: &str| text.replacen("overrides 1", "overrides 9", 1))]
    #[case::not_text(|_: &str| "\u{0}".repeat(100))]
    fn a_truncated_or_corrupt_snapshot_is_set_aside(#[case] corrupt: fn(&str) -> String) {
        let dir = temp_dir(&format!("torn-{:?}", std::thread::current().id()));
        fs::create_dir_all(&dir).expect("a folder");
        fs::write(dir.join(FILE_NAME), corrupt(&text(&records(2)))).expect("a file");
        assert!(load(&dir).is_empty());
        assert!(dir.join(SET_ASIDE_NAME).exists() && !dir.join(FILE_NAME).exists());
        let _ = fs::remove_dir_all(dir);
    }
}
