//! SHA-256 hash of a customer's key, by which callers are authenticated.

use std::fmt;
use std::str::FromStr;

use celerytide_types::data;
use sha2::{Digest as _, Sha256};
use snafu::{OptionExt, Snafu};

const HASH_BYTES: usize = 32;
const HASH_HEX_DIGITS: usize = 2 * HASH_BYTES;
const HEX_RADIX: u32 = 16;

/// Error: a text is not 64 hex digits.
#[derive(Debug, Snafu)]
#[snafu(display("not a SHA-256 in hex"))]
pub struct InvalidKeyHash;

data! {
    /// SHA-256 of a customer's key; written as hex digits in documents.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    #[serde(try_from = "String", into = "String")]
    pub struct KeyHash([u8; HASH_BYTES]);
}

impl KeyHash {
    /// Hashes `key`.
    pub fn of(key: &str) -> KeyHash {
        KeyHash(Sha256::digest(key.as_bytes()).into())
    }

    /// First eight bytes of the hash, big-endian, used as the index key.
    pub(crate) fn prefix(&self) -> u64 {
        let (first, _) = self.0.split_first_chunk().unwrap_or((&[0; 8], &[]));
        u64::from_be_bytes(*first)
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyHash {
    type Err = InvalidKeyHash;

    fn from_str(text: &str) -> Result<KeyHash, InvalidKeyHash> {
        let mut bytes = [0; HASH_BYTES];
        let digits = Some(text).filter(|text| text.len() == HASH_HEX_DIGITS);
        let digits = digits.context(InvalidKeyHashSnafu)?.as_bytes();
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = parse_byte(pair).context(InvalidKeyHashSnafu)?;
        }
        Ok(KeyHash(bytes))
    }
}

fn parse_byte(pair: &[u8]) -> Option<u8> {
    let digit = |at: usize| char::from(*pair.get(at)?).to_digit(HEX_RADIX);
    u8::try_from(digit(0)? * HEX_RADIX + digit(1)?).ok()
}

impl TryFrom<String> for KeyHash {
    type Error = InvalidKeyHash;

    fn try_from(text: String) -> Result<KeyHash, InvalidKeyHash> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> String {
        hash.to_string()
    }
}
