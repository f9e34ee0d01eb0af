//! Protocol of the line-based admin console: one command per connection, one line in each direction. A
//! command is a line of text; the answer begins with `OK` or `ERR`. This module only parses commands.
//!
//! Rejected are lines that exceed the size limit, bytes that are not UTF-8 text, surplus arguments, and names
//! that are too long for an override.

use crate::overrides::MAX_NAME_LEN;

/// Maximum length of a command line in bytes, including the line terminator.
pub const MAX_LINE: usize = 256;

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Asks whether this process can serve requests.
    Health,
    /// Excludes a worker from new jobs until it is uncordoned.
    Cordon(String),
    /// Makes a worker eligible for jobs again.
    Uncordon(String),
}

/// Result of parsing the bytes received so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parsed {
    /// The line is incomplete and below the size limit.
    Incomplete,
    /// A complete line: the command, or the reason why it is invalid.
    Complete(Result<Command, String>),
}

/// Parses the bytes received on a connection so far. Bytes after the first line are ignored.
pub fn parse(bytes: &[u8]) -> Parsed {
    match bytes.iter().position(|b| *b == b'\n') {
        Some(end) => Parsed::Complete(parse_line(&bytes[..end])),
        None if bytes.len() >= MAX_LINE => {
            Parsed::Complete(Err(format!("the line is longer than {MAX_LINE} bytes")))
        }
        None => Parsed::Incomplete,
    }
}

/// Parses one line without its terminator.
///
/// # Errors
///
/// The reason to send after `ERR`: the line is empty, not text, or not a known command.
fn parse_line(line: &[u8]) -> Result<Command, String> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let text = std::str::from_utf8(line).map_err(|_| "the line is not UTF-8 text".to_owned())?;
    if text.chars().any(|c| c.is_control() && c != '\t') {
        return Err("the line holds control characters".into());
    }
    let words: Vec<&str> = text.split_whitespace().collect();
    let worker = |command: &str| match words.as_slice() {
        [_, id] if id.len() <= MAX_NAME_LEN => Ok(id.to_string()),
        [_, _] => Err(format!("{command} ID: the id is longer than {MAX_NAME_LEN} bytes")),
        _ => Err(format!("{command} takes one worker id: {command} ID")),
    };
    match words.first().map(|w| w.to_ascii_lowercase()).as_deref() {
        None => Err("the line is empty; calls are health, cordon ID, uncordon ID".into()),
        Some("health") if words.len() == 1 => Ok(Command::Health),
        Some("health") => Err("health takes nothing more".into()),
        Some("cordon") => worker("cordon").map(Command::Cordon),
        Some("uncordon") => worker("uncordon").map(Command::Uncordon),
        Some(_) => Err("unknown call; calls are health, cordon ID, uncordon ID".into()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn commands_are_parsed() {
        assert_eq!(parse(b"health\n"), Parsed::Complete(Ok(Command::Health)));
        assert_eq!(parse(b"cordon w-1\r\n"), Parsed::Complete(Ok(Command::Cordon("w-1".into()))));
        assert_eq!(parse(b"UNCORDON  w-1 \nmore"), Parsed::Complete(Ok(Command::Uncordon("w-1".into()))));
        assert_eq!(parse(b"cord"), Parsed::Incomplete);
    }

    #[test]
    fn invalid_lines_are_rejected_with_a_reason() {
        for line in
            [&b"\n"[..], b"  \r\n", b"dance\n", b"cordon\n", b"cordon a b\n", b"health x\n", b"\xff\xfe\n"]
        {
            assert!(matches!(parse(line), Parsed::Complete(Err(_))), "{line:?}");
        }
        let long = vec![b'a'; MAX_LINE];
        assert!(matches!(parse(&long), Parsed::Complete(Err(_))));
        let name = format!("cordon {}\n", "w".repeat(MAX_NAME_LEN + 1));
        assert!(matches!(parse(name.as_bytes()), Parsed::Complete(Err(_))));
    }
}
