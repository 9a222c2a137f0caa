use lycheeyard_protocol::{Digest, ParseError};
use std::{fmt, str::FromStr};
use subtle::{Choice, ConstantTimeEq};

/// The digests of the keys that make a caller an operator.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OperatorKeys(Vec<Digest>);

impl OperatorKeys {
    /// Makes the set of the given digests.
    #[must_use]
    pub fn new(digests: Vec<Digest>) -> Self {
        Self(digests)
    }

    /// Whether no key makes a caller an operator.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The digests as text.
    pub(crate) fn texts(&self) -> impl Iterator<Item = &str> {
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

/// A key that a caller presents; it is never printed.
#[derive(Clone)]
pub(crate) struct PresentedKey(Digest);

impl PresentedKey {
    /// Takes the key of an `Authorization` header's value.
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

/// Whether a key has one of the digests; every digest is compared, each in constant time.
pub(crate) fn fits<'a>(key: &PresentedKey, digests: impl Iterator<Item = &'a str>) -> bool {
    let own = key.0.as_str().as_bytes();
    let mut found = Choice::from(0);
    for digest in digests {
        found |= own.ct_eq(digest.to_ascii_lowercase().as_bytes());
    }
    found.into()
}
