//! The operators' line door: one call a connection, one line each way. A call is a line of text; the answer
//! begins with `OK` or `ERR`. This reads calls and says nothing of sockets or time.
//!
//! Guarded against: lines that never end (a bound in bytes), bytes that are not text, words beyond those that
//! a call takes, and names that no override could hold.

use crate::overrides::LONGEST_NAME;

/// A call line holds so many bytes at most, its end of line included.
pub const MAX_LINE: usize = 256;

/// What an operator asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Health,
    /// Nothing new goes to this worker until it is uncordoned.
    Cordon(String),
    /// The worker may serve again.
    Uncordon(String),
}

/// Where the line stands after the bytes that have come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// No end of line yet, and there is room for more.
    More,
    /// A whole line, read as a call, or the reason why it can't be one.
    Whole(Result<Call, String>),
}

/// Reads what has come on a connection so far. Bytes after the first end of line are not looked at.
pub fn read(bytes: &[u8]) -> Read {
    match bytes.iter().position(|b| *b == b'\n') {
        Some(end) => Read::Whole(call(&bytes[..end])),
        None if bytes.len() >= MAX_LINE => {
            Read::Whole(Err(format!("the line is longer than {MAX_LINE} bytes")))
        }
        None => Read::More,
    }
}

/// Reads one line, its end of line taken away.
///
/// # Errors
/// A reason that can follow `ERR`: the line is empty, not text, or no call that is known.
pub fn call(line: &[u8]) -> Result<Call, String> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let text = std::str::from_utf8(line).map_err(|_| "the line is not UTF-8 text".to_owned())?;
    if text.chars().any(|c| c.is_control() && c != '\t') {
        return Err("the line holds control characters".into());
    }
    let words: Vec<&str> = text.split_whitespace().collect();
    let worker = |call: &str| match words.as_slice() {
        [_, id] if id.len() <= LONGEST_NAME => Ok(id.to_string()),
        [_, _] => Err(format!("{call} ID: the id is longer than {LONGEST_NAME} bytes")),
        _ => Err(format!("{call} takes one worker id: {call} ID")),
    };
    match words.first().map(|w| w.to_ascii_lowercase()).as_deref() {
        None => Err("the line is empty; calls are health, cordon ID, uncordon ID".into()),
        Some("health") if words.len() == 1 => Ok(Call::Health),
        Some("health") => Err("health takes nothing more".into()),
        Some("cordon") => worker("cordon").map(Call::Cordon),
        Some("uncordon") => worker("uncordon").map(Call::Uncordon),
        Some(_) => Err("unknown call; calls are health, cordon ID, uncordon ID".into()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_read() {
        assert_eq!(read(b"health\n"), Read::Whole(Ok(Call::Health)));
        assert_eq!(read(b"cordon w-1\r\n"), Read::Whole(Ok(Call::Cordon("w-1".into()))));
        assert_eq!(read(b"UNCORDON  w-1 \nmore"), Read::Whole(Ok(Call::Uncordon("w-1".into()))));
        assert_eq!(read(b"cord"), Read::More);
    }

    #[test]
    fn bad_lines_are_refused_with_a_reason() {
        for line in
            [&b"\n"[..], b"  \r\n", b"dance\n", b"cordon\n", b"cordon a b\n", b"health x\n", b"\xff\xfe\n"]
        {
            assert!(matches!(read(line), Read::Whole(Err(_))), "{line:?}");
        }
        let long = vec![b'a'; MAX_LINE];
        assert!(matches!(read(&long), Read::Whole(Err(_))));
        let name = format!("cordon {}\n", "w".repeat(LONGEST_NAME + 1));
        assert!(matches!(read(name.as_bytes()), Read::Whole(Err(_))));
    }
}
