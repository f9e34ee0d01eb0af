//! The bearer key of the admin listener.

use std::fmt;

/// Minimum length of a key.
const MIN_KEY_LENGTH: usize = 16;

/// One key, or two while one is being replaced. Only their hashes are kept.
#[derive(Clone, PartialEq)]
pub struct AdminKeys(Vec<blake3::Hash>);

impl fmt::Debug for AdminKeys {
    /// Shows how many keys there are, never the keys.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "AdminKeys({})", self.0.len())
    }
}

impl AdminKeys {
    /// Parses a key file: one key per line; empty lines and those that begin with # are ignored.
    ///
    /// # Errors
    /// Describes the problem without disclosing the contents of the file.
    pub fn parse(text: &str) -> Result<AdminKeys, String> {
        let lines = text.lines().map(str::trim).enumerate();
        let keys: Vec<_> = lines.filter(|(_, l)| !l.is_empty() && !l.starts_with('#')).collect();
        let plain = |key: &str| key.len() >= MIN_KEY_LENGTH && key.bytes().all(|b| b.is_ascii_graphic());
        if let Some((at, _)) = keys.iter().find(|(_, key)| !plain(key)) {
            let message = format!("a key is {MIN_KEY_LENGTH} or more printable characters without spaces");
            return Err(format!("line {} is not a valid key: {message}", at + 1));
        }
        match keys.len() {
            1 | 2 => Ok(AdminKeys(keys.iter().map(|(_, key)| blake3::hash(key.as_bytes())).collect())),
            0 => Err("holds no key: a line of 16 or more printable characters is required".into()),
            more => Err(format!("holds {more} keys: two at most, while one is being replaced")),
        }
    }

    /// Whether this is one of the keys. Takes the same time for wrong and right ones: all hashes are compared, each in
    /// constant time.
    pub fn accepts(&self, key: &str) -> bool {
        let provided = blake3::hash(key.as_bytes());
        self.0.iter().fold(false, |admitted, own| admitted | (*own == provided))
    }
}

/// The key that a client uses: the first one in its key file.
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
    fn accepts_one_or_two_keys_and_nothing_else() {
        let keys = AdminKeys::parse("# old\nabcdefghijklmnop\n\nponmlkjihgfedcba\n").expect("keys");
        assert!(keys.accepts("abcdefghijklmnop") && keys.accepts("ponmlkjihgfedcba"));
        for wrong in ["", "abcdefghijklmno", "abcdefghijklmnopq", "# old"] {
            assert!(!keys.accepts(wrong), "{wrong}");
        }
        assert_eq!(
            first_key("#\n abcdefghijklmnop\nx"),
            Err("line 3 is not a valid key: a key is 16 or more printable characters without spaces".into())
        );
        assert_eq!(first_key("\nabcdefghijklmnop\n"), Ok("abcdefghijklmnop".into()));
        assert!(AdminKeys::parse("").unwrap_err().contains("no key"));
        assert!(AdminKeys::parse(&"abcdefghijklmnop\n".repeat(3)).unwrap_err().contains("3 keys"));
        assert_eq!(format!("{keys:?}"), "AdminKeys(2)");
    }
}
