//! Keys for the authentication of datagrams.

use thiserror::Error;

/// Error in a key file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyFileError {
    /// A line is not a valid key.
    #[error("line {0} is not a key: expected 64 hexadecimal digits")]
    Line(usize),
    /// The file contains no key.
    #[error(
        "contains no key: expected one line of 64 hexadecimal digits, or two while a key is being replaced"
    )]
    None,
    /// The file contains more than two keys.
    #[error("contains {0} keys: at most two are allowed, while one is being replaced")]
    TooMany(usize),
    /// Both keys are the same.
    #[error("contains the same key twice")]
    Twice,
}

/// One or two keys. The first one authenticates outgoing datagrams; either one is accepted in incoming ones.
#[derive(Clone)]
pub struct KeyRing(Vec<[u8; 32]>);

impl std::fmt::Debug for KeyRing {
    /// Does not reveal the keys.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "KeyRing({} keys)", self.0.len())
    }
}

impl KeyRing {
    /// Parses a key file: one hexadecimal key per line; empty lines and lines that start with `#` are
    /// ignored.
    ///
    /// # Errors
    ///
    /// Names the invalid line, never its content.
    pub fn parse(text: &str) -> Result<KeyRing, KeyFileError> {
        let mut keys = Vec::new();
        for (at, line) in text.lines().enumerate() {
            let line = line.trim();
            if !line.is_empty() && !line.starts_with('#') {
                let key = blake3::Hash::from_hex(line).map_err(|_| KeyFileError::Line(at + 1))?;
                keys.push(*key.as_bytes());
            }
        }
        match keys.len() {
            0 => Err(KeyFileError::None),
            2 if keys[0] == keys[1] => Err(KeyFileError::Twice),
            1 | 2 => Ok(KeyRing(keys)),
            count => Err(KeyFileError::TooMany(count)),
        }
    }

    /// Computes the authentication tag under the first key.
    pub fn seal(&self, bytes: &[u8]) -> [u8; 16] {
        tag(&self.0[0], bytes)
    }

    /// Calls `act` with the key under which `sent` is the tag of `bytes`, or with all keys if there is none.
    pub fn with_matching_key<T>(&self, bytes: &[u8], received: &[u8; 16], act: impl Fn(&KeyRing) -> T) -> T {
        let mut single_keys = self.0.iter().map(|key| KeyRing(vec![*key]));
        act(&single_keys.find(|ring| ring.verifies(bytes, received)).unwrap_or_else(|| self.clone()))
    }

    /// Whether `sent` is the tag of `bytes` under any key, in time independent of the result.
    pub fn verifies(&self, bytes: &[u8], received: &[u8; 16]) -> bool {
        let padded = |tag: [u8; 16]| {
            let mut hash = [0; 32];
            hash[..16].copy_from_slice(&tag);
            blake3::Hash::from_bytes(hash)
        };
        // The comparison of hashes takes constant time.
        self.0.iter().fold(false, |matched, key| matched | (padded(tag(key, bytes)) == padded(*received)))
    }
}

fn tag(key: &[u8; 32], bytes: &[u8]) -> [u8; 16] {
    let hash = blake3::keyed_hash(key, bytes);
    hash.as_bytes()[..16].try_into().unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_contains_one_key_or_two_during_replacement() {
        let (a, b, c) = ("ab".repeat(32), "0C".repeat(32), "11".repeat(32));
        assert!(KeyRing::parse(&format!("# old\n\n  {a}\n")).is_ok());
        let two = KeyRing::parse(&format!("{a}\n{b}")).expect("two keys");
        let first = KeyRing::parse(&a).expect("a key");
        let second = KeyRing::parse(&b).expect("a key");
        assert!(two.verifies(b"x", &first.seal(b"x")) && two.verifies(b"x", &second.seal(b"x")));
        assert!(first.verifies(b"x", &two.seal(b"x")) && !second.verifies(b"x", &two.seal(b"x")));
        assert!(!two.verifies(b"y", &first.seal(b"x")));
        assert_eq!(KeyRing::parse("# none\n").unwrap_err(), KeyFileError::None);
        assert_eq!(KeyRing::parse(&format!("{a}\n{a}")).unwrap_err(), KeyFileError::Twice);
        assert_eq!(KeyRing::parse(&format!("{a}\n{b}\n{c}")).unwrap_err(), KeyFileError::TooMany(3));
        assert_eq!(KeyRing::parse(&format!("{a}\nsecret")).unwrap_err(), KeyFileError::Line(2));
        assert_eq!(format!("{two:?}"), "KeyRing(2 keys)");
    }
}
