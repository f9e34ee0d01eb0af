//! The beanstalkd protocol, as far as both sides of it share: reading lines, names, limits, and the form in
//! which one final answer is written as a job.

use crate::flow::Answer;
use bytes::Bytes;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// A command line's length with its end, as beanstalkd has it.
pub const MAX_LINE_BYTES: usize = 224;
/// A body's length, as beanstalkd has it by default.
pub const MAX_JOB_BYTES: usize = 65_535;
const MAX_NAME_BYTES: usize = 200;

/// What was read where a line should stand.
#[derive(Debug, PartialEq)]
pub enum Line {
    Text(String),
    /// Too long, or not text. It was passed over up to its end.
    Invalid,
    /// The connection has ended.
    End,
}

/// Reads up to CRLF. A line feed alone ends nothing.
pub async fn read_line(input: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Line> {
    let (mut line, mut bad) = (Vec::new(), false);
    loop {
        let chunk = input.fill_buf().await?;
        if chunk.is_empty() {
            return Ok(Line::End);
        }
        let end = chunk.iter().position(|&b| b == b'\n');
        let used = end.map_or(chunk.len(), |at| at + 1);
        if line.len() + used > MAX_LINE_BYTES {
            // Only its last byte matters still: a carriage return may stand before the line feed to come.
            bad = true;
            let last = if used > 1 { chunk[used - 2] } else { line.last().copied().unwrap_or(0) };
            line = vec![last, chunk[used - 1]];
        } else {
            line.extend_from_slice(&chunk[..used]);
        }
        input.consume(used);
        if line.ends_with(b"\r\n") {
            line.truncate(line.len() - 2);
            return Ok(match String::from_utf8(line) {
                Ok(text) if !bad => Line::Text(text),
                _ => Line::Invalid,
            });
        }
    }
}

/// Reads a body and the CRLF behind it. `None`: something else stands there, or the connection has ended.
pub async fn read_body(input: &mut (impl AsyncBufRead + Unpin), size: usize) -> io::Result<Option<Bytes>> {
    let mut body = vec![0; size + 2];
    input.read_exact(&mut body).await?;
    let whole = body.ends_with(b"\r\n");
    body.truncate(size);
    Ok(whole.then(|| body.into()))
}

/// Passes over so many bytes.
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

/// Whether this may name a tube.
pub fn is_valid_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-+/;.$_()".contains(&b);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.starts_with('-') && name.bytes().all(plain)
}

/// An answer as a job: the first line says which job, what became of it, and after how many seconds trying
/// again makes sense; the result follows.
pub fn encode_answer(id: u64, answer: &Answer) -> Bytes {
    let (word, after, result) = match answer {
        Answer::Served(result) => ("served", Duration::ZERO, &result[..]),
        Answer::Refused(after) => ("refused", *after, &b""[..]),
        // Only a front that brought an HTTP head gets an answer that passes.
        Answer::Passing(_) | Answer::Failed => ("failed", Duration::ZERO, &b""[..]),
    };
    let mut body = format!("{id} {word} {:.3}\n", after.as_secs_f64()).into_bytes();
    body.extend_from_slice(result);
    body.into()
}

/// What a worker's answer says: the job's id, the word for what became of it, and the result.
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
    fn lines_end_with_both_characters_and_stay_bounded() {
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
    fn an_answer_is_read_as_it_was_written() {
        let body = encode_answer(7, &Answer::Served("two\nlines".into()));
        assert_eq!(&body[..], b"7 served 0.000\ntwo\nlines");
        assert_eq!(decode_answer(&body), Some((7, "served", "two\nlines".into())));
        let body = encode_answer(8, &Answer::Refused(Duration::from_millis(450)));
        assert_eq!(decode_answer(&body), Some((8, "refused", Bytes::new())));
        assert_eq!(decode_answer(&"no answer".into()), None);
    }
}
