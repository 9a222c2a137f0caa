use crate::ParseError;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::{fmt, fmt::Write as _, str::FromStr};

const DIGEST_HEX_LENGTH: usize = 64;

/// The SHA-256 digest of some content, in hexadecimal.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(String);

impl Digest {
    /// The digest of `content`.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        let mut text = String::with_capacity(DIGEST_HEX_LENGTH);
        for byte in Sha256::digest(content) {
            // Writing to a `String` cannot fail.
            let _ = write!(text, "{byte:02x}");
        }
        Self(text)
    }

    /// The digest as hexadecimal text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for Digest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        if text.len() != DIGEST_HEX_LENGTH || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(ParseError::Identifier {
                kind: "Digest",
                text: text.chars().take(DIGEST_HEX_LENGTH).collect(),
            });
        }
        Ok(Self(text.to_ascii_lowercase()))
    }
}

impl TryFrom<String> for Digest {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.0
    }
}
