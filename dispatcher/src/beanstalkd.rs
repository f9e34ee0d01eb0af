//! The parts of the beanstalkd protocol that listener and targets share: reading lines, names, limits, and the
//! encoding of a final answer as a job.

use crate::flow::Answer;
use crate::memory::{LeasedBuffer, MemoryLease};
use bytes::Bytes;
use std::fmt::Write;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// Maximum length of a command line with its CRLF, as in beanstalkd.
pub const MAX_LINE_BYTES: usize = 224;
/// Maximum length of a job body, beanstalkd's default.
pub const MAX_JOB_BYTES: usize = 65_535;
const MAX_NAME_BYTES: usize = 200;
/// The word for a value that is absent.
pub const ABSENT: &str = "-";

/// The result of reading a line.
#[derive(Debug, PartialEq)]
pub enum Line {
    Text(String),
    /// Too long, or not UTF-8. It has been skipped up to its end.
    Invalid,
    /// The connection was closed.
    End,
}

/// Reads up to CRLF. A line feed alone does not end a line.
pub async fn read_line(input: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Line> {
    let (mut line, mut invalid) = (Vec::new(), false);
    loop {
        let chunk = input.fill_buf().await?;
        if chunk.is_empty() {
            return Ok(Line::End);
        }
        let end = chunk.iter().position(|&b| b == b'\n');
        let used = end.map_or(chunk.len(), |at| at + 1);
        if line.len() + used > MAX_LINE_BYTES {
            // Only the last two bytes are kept: a carriage return may precede the next line feed.
            invalid = true;
            let last = if used > 1 { chunk[used - 2] } else { line.last().copied().unwrap_or(0) };
            line = vec![last, chunk[used - 1]];
        } else {
            line.extend_from_slice(&chunk[..used]);
        }
        input.consume(used);
        if line.ends_with(b"\r\n") {
            line.truncate(line.len() - 2);
            return Ok(match String::from_utf8(line) {
                Ok(text) if !invalid => Line::Text(text),
                _ => Line::Invalid,
            });
        }
    }
}

/// Number of bytes to lease for a body of `size` bytes: the CRLF that follows it is read with it.
pub const fn body_lease(size: usize) -> usize {
    size + 2
}

/// Reads a body of `size` bytes and the CRLF that follows it into leased memory of [`body_lease`] bytes; `None` if something else
/// follows.
pub async fn read_body(
    input: &mut (impl AsyncBufRead + Unpin),
    size: usize,
    lease: MemoryLease,
) -> io::Result<Option<Bytes>> {
    let mut body = LeasedBuffer::default();
    body.extend_room(lease);
    input.read_exact(body.fill()).await?;
    let terminated = body.as_ref().ends_with(b"\r\n");
    body.truncate(size);
    Ok(terminated.then(|| body.freeze()))
}

/// Discards `bytes` bytes of the input.
pub async fn skip(input: &mut (impl AsyncBufRead + Unpin), mut bytes: u64) -> io::Result<()> {
    while bytes > 0 {
        let chunk = input.fill_buf().await?;
        if chunk.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let used = chunk.len().min(usize::try_from(bytes).unwrap_or(usize::MAX));
        input.consume(used);
        bytes -= used as u64;
    }
    Ok(())
}

/// Whether `name` is a valid tube name.
pub fn is_valid_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-+/;.$_()".contains(&b);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.starts_with('-') && name.bytes().all(plain)
}

/// Encodes text as one word of a line: percent-encodes everything but printable ASCII characters, the percent sign, and the word
/// `-`, which stands for an absent value. Different texts have different encodings.
pub fn encode_word(text: &str) -> String {
    let mut word = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_graphic() && byte != b'%' && text != ABSENT {
            word.push(char::from(byte));
        } else {
            let _ = write!(word, "%{byte:02X}");
        }
    }
    word
}

/// Encodes an answer as a job: the first line holds the job's id, its outcome and the number of seconds after
/// which a retry makes sense; the result follows.
pub fn encode_answer(id: u64, answer: &Answer) -> Bytes {
    let (word, after, result) = match answer {
        Answer::Served(result) => ("served", Duration::ZERO, &result[..]),
        Answer::Refused(after) => ("refused", *after, &b""[..]),
        // Streamed answers go to HTTP listeners only.
        Answer::Passing(_) | Answer::Failed => ("failed", Duration::ZERO, &b""[..]),
    };
    let mut body = format!("{id} {word} {:.3}\n", after.as_secs_f64()).into_bytes();
    body.extend_from_slice(result);
    body.into()
}

/// Decodes a worker's answer into the job's id, the outcome and the result.
pub fn decode_answer(body: &Bytes) -> Option<(u64, &str, Bytes)> {
    let end = body.iter().position(|&b| b == b'\n').unwrap_or(body.len());
    let line = std::str::from_utf8(&body[..end]).ok()?;
    let mut words = line.split(' ');
    let (id, word) = (words.next()?.parse().ok()?, words.next()?);
    Some((id, word, body.slice((end + 1).min(body.len())..)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_end_with_crlf_and_are_limited_in_length() {
        let long = "x".repeat(MAX_LINE_BYTES * 3);
        let text = format!("stats\r\nnot\nyet\r\n{long}\r\nquit\r\npart");
        let mut input = text.as_bytes();
        let runtime = actix_rt::System::new();
        runtime.block_on(async {
            let mut next = || futures_util::FutureExt::now_or_never(read_line(&mut input));
            assert_eq!(next().unwrap().unwrap(), Line::Text("stats".into()));
            assert_eq!(next().unwrap().unwrap(), Line::Text("not\nyet".into()));
            assert_eq!(next().unwrap().unwrap(), Line::Invalid);
            assert_eq!(next().unwrap().unwrap(), Line::Text("quit".into()));
            assert_eq!(next().unwrap().unwrap(), Line::End);
        });
    }

    #[test]
    fn answers_decode_to_what_was_encoded() {
        let body = encode_answer(7, &Answer::Served("two\nlines".into()));
        assert_eq!(&body[..], b"7 served 0.000\ntwo\nlines");
        assert_eq!(decode_answer(&body), Some((7, "served", "two\nlines".into())));
        let body = encode_answer(8, &Answer::Refused(Duration::from_millis(450)));
        assert_eq!(decode_answer(&body), Some((8, "refused", Bytes::new())));
        assert_eq!(decode_answer(&"no answer".into()), None);
    }
}
