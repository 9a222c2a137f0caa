use lycheeyard_protocol::{Digest, ParseError};
use std::{fmt, str::FromStr};
use subtle::{Choice, ConstantTimeEq};

/// SHA-256 digests of the keys that grant operator access.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OperatorKeys(Vec<Digest>);

impl OperatorKeys {
    /// Creates the set from digests.
    #[must_use]
    pub fn new(digests: Vec<Digest>) -> Self {
        Self(digests)
    }

    /// Whether no key grants operator access.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The digests as hexadecimal text.
    pub(crate) fn digests(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(Digest::as_str)
    }
}

impl FromStr for OperatorKeys {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let parts = text.split(',').map(str::trim);
        let digests = parts.filter(|part| !part.is_empty()).map(str::parse);
        digests.collect::<Result<_, _>>().map(Self)
    }
}

impl fmt::Display for OperatorKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} digests", self.0.len())
    }
}

/// The digest of a key that a caller presents.
///
/// Its `Debug` output is redacted, so that it cannot reach a log.
#[derive(Clone)]
pub(crate) struct PresentedKey(Digest);

impl PresentedKey {
    /// Parses the value of an `Authorization` header; `None` if it holds no bearer token.
    pub fn from_header(value: &[u8]) -> Option<Self> {
        let key = value.strip_prefix(b"Bearer ")?.trim_ascii();
        (!key.is_empty()).then(|| Self(Digest::of(key)))
    }
}

impl fmt::Debug for PresentedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PresentedKey(redacted)")
    }
}

/// Whether a key matches one of the digests.
///
/// Always compares every digest, each in constant time, so that the response time does not reveal which one
/// matches.
pub(crate) fn matches_any<'a>(key: &PresentedKey, digests: impl Iterator<Item = &'a str>) -> bool {
    let presented = key.0.as_str().as_bytes();
    let mut matches = Choice::from(0);
    for digest in digests {
        matches |= presented.ct_eq(digest.to_ascii_lowercase().as_bytes());
    }
    matches.into()
}
