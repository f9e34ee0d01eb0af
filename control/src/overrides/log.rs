//! The log of override records as text: what several processes append to and each of them reads.
//!
//! A record is a line: its bytes in hexadecimal, a space, and a checksum. Each append begins with an end of line, so that a line
//! which was cut short (by a kill, or a full disk) spoils no other one; empty lines mean nothing. Records may come in any
//! order and more than once: [`super::Table`] merges them.

use super::codec::{decode, encode, MAX_RECORD};
use super::record::Record;
use crate::fingerprint;

/// Hexadecimal digits of a checksum.
const CHECKSUM_DIGITS: usize = 16;
/// The longest line, without its end.
const MAX_LINE: usize = 2 * MAX_RECORD + 1 + CHECKSUM_DIGITS;

/// A record as it is appended.
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

/// Reads a log from its beginning, as much at a time as there is.
#[derive(Debug, Default)]
pub struct LogReader {
    /// The line that has not ended yet.
    line: Vec<u8>,
    /// That line is too long to be one.
    is_overlong: bool,
    malformed: u64,
}

impl LogReader {
    /// Takes in what follows, and gives the records that are whole by now.
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

    /// Lines that were no records: cut short, or changed.
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
    let is_whole = checksum.len() == CHECKSUM_DIGITS
        && u64::from_str_radix(checksum, 16).is_ok_and(|sum| sum == fingerprint(&bytes));
    decode(&bytes).ok().filter(|_| is_whole)
}

/// Bytes from their hexadecimal digits; `None` where they are none.
pub fn decode_hex(digits: &str) -> Option<Vec<u8>> {
    let pairs = digits.as_bytes().chunks(2).map(|pair| {
        let text = std::str::from_utf8(pair).ok().filter(|text| text.len() == 2)?;
        u8::from_str_radix(text, 16).ok()
    });
    pairs.collect()
}
