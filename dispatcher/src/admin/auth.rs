//! The bearer key of the admin listener.

use std::fmt;

/// A key holds so many characters at least.
const LEAST: usize = 16;

/// One key, or two while one is being replaced. Only their hashes are kept.
#[derive(Clone, PartialEq)]
pub struct AdminKeys(Vec<blake3::Hash>);

impl fmt::Debug for AdminKeys {
    /// Never shows the keys.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "AdminKeys({})", self.0.len())
    }
}

impl AdminKeys {
    /// Reads a key file: a key a line; empty lines and those that begin with # count for nothing.
    ///
    /// # Errors
    /// Says what is wrong, never what the file holds.
    pub fn parse(text: &str) -> Result<AdminKeys, String> {
        let lines = text.lines().map(str::trim).enumerate();
        let keys: Vec<_> = lines.filter(|(_, l)| !l.is_empty() && !l.starts_with('#')).collect();
        let plain = |key: &str| key.len() >= LEAST && key.bytes().all(|b| b.is_ascii_graphic());
        if let Some((at, _)) = keys.iter().find(|(_, key)| !plain(key)) {
            let words = format!("a key is {LEAST} or more printable characters without spaces");
            return Err(format!("line {} is no key: {words}", at + 1));
        }
        match keys.len() {
            1 | 2 => Ok(AdminKeys(keys.iter().map(|(_, key)| blake3::hash(key.as_bytes())).collect())),
            0 => Err("holds no key: a line of 16 or more printable characters is one".into()),
            more => Err(format!("holds {more} keys: two at most, while one is being replaced")),
        }
    }

    /// Whether this is a key. Takes as long for a wrong one as for a right one: hashes are compared, in
    /// constant time, and all of them.
    pub fn accepts(&self, key: &str) -> bool {
        let given = blake3::hash(key.as_bytes());
        self.0.iter().fold(false, |admitted, own| admitted | (*own == given))
    }
}

/// The key of a key file that a client uses: the first.
///
/// # Errors
/// As [`AdminKeys::parse`].
pub fn first_key(text: &str) -> Result<String, String> {
    AdminKeys::parse(text)?;
    let mut lines = text.lines().map(str::trim);
    lines.find(|l| !l.is_empty() && !l.starts_with('#')).map(Into::into).ok_or_else(|| "holds no key".into())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_key_or_two_are_admitted_and_nothing_else() {
        let keys = AdminKeys::parse("# old\nabcdefghijklmnop\n\nponmlkjihgfedcba\n").expect("keys");
        assert!(keys.accepts("abcdefghijklmnop") && keys.accepts("ponmlkjihgfedcba"));
        for wrong in ["", "abcdefghijklmno", "abcdefghijklmnopq", "# old"] {
            assert!(!keys.accepts(wrong), "{wrong}");
        }
        assert_eq!(
            first_key("#\n abcdefghijklmnop\nx"),
            Err("line 3 is no key: a key is 16 or more printable characters without spaces".into())
        );
        assert_eq!(first_key("\nabcdefghijklmnop\n"), Ok("abcdefghijklmnop".into()));
        assert!(AdminKeys::parse("").unwrap_err().contains("no key"));
        assert!(AdminKeys::parse(&"abcdefghijklmnop\n".repeat(3)).unwrap_err().contains("3 keys"));
        assert_eq!(format!("{keys:?}"), "AdminKeys(2)");
    }
}
