//! Text log of override records, appended to and read by several processes.
//!
//! Each record is one line: its encoding in hexadecimal, a space, and a checksum. Each append starts with a
//! newline, so that a line truncated by a kill or a full disk does not corrupt the next one; empty lines are
//! ignored. Records may occur in any order and more than once: [`super::Table`] merges them.

use super::codec::{decode, encode, MAX_RECORD};
use super::record::Record;
use crate::fingerprint;

/// Number of hexadecimal digits of a checksum.
const CHECKSUM_DIGITS: usize = 16;
/// Maximum length of a line without its terminator.
const MAX_LINE: usize = 2 * MAX_RECORD + 1 + CHECKSUM_DIGITS;

/// Formats a record as it is appended to the log.
pub fn log_line(record: &Record) -> String {
    let bytes = encode(record);
    let checksum = fingerprint(&bytes);
    let mut line = String::with_capacity(MAX_LINE);
    line.push('\n');
    for byte in &bytes {
        line.push_str(&format!("{byte:02x}"));
    }
    line.push_str(&format!(" {checksum:016x}\n"));
    line
}

/// Incremental reader of a log.
#[derive(Debug, Default)]
pub struct LogReader {
    /// The current, unterminated line.
    line: Vec<u8>,
    /// The current line exceeds the maximum length.
    is_overlong: bool,
    malformed: u64,
}

impl LogReader {
    /// Reads the next bytes and returns the records completed by them.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Record> {
        let mut records = Vec::new();
        for byte in bytes {
            match byte {
                b'\n' => records.extend(self.end_line()),
                _ if self.line.len() < MAX_LINE => self.line.push(*byte),
                _ => self.is_overlong = true,
            }
        }
        records
    }

    /// Number of invalid lines so far: truncated or corrupted.
    pub fn malformed(&self) -> u64 {
        self.malformed
    }

    fn end_line(&mut self) -> Option<Record> {
        let line = std::mem::take(&mut self.line);
        let is_overlong = std::mem::take(&mut self.is_overlong);
        if line.is_empty() {
            return None;
        }
        let record = parse(&line).filter(|_| !is_overlong);
        self.malformed += u64::from(record.is_none());
        record
    }
}

fn parse(line: &[u8]) -> Option<Record> {
    let (digits, checksum) = std::str::from_utf8(line).ok()?.split_once(' ')?;
    let bytes = decode_hex(digits)?;
    let is_intact = checksum.len() == CHECKSUM_DIGITS
        && u64::from_str_radix(checksum, 16).is_ok_and(|sum| sum == fingerprint(&bytes));
    decode(&bytes).ok().filter(|_| is_intact)
}

/// Decodes hexadecimal digits; `None` if the text is malformed.
pub fn decode_hex(digits: &str) -> Option<Vec<u8>> {
    let pairs = digits.as_bytes().chunks(2).map(|pair| {
        let text = std::str::from_utf8(pair).ok().filter(|text| text.len() == 2)?;
        u8::from_str_radix(text, 16).ok()
    });
    pairs.collect()
}
