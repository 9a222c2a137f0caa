use lycheeyard_protocol::RunnerId;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;

const HEX: u32 = 16;

/// A runner's answer as it is kept for the caller's retries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// The runner.
    pub runner: RunnerId,
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<StoredHeader>,
    /// The body.
    pub body: StoredBytes,
}

/// A header of a stored answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredHeader {
    /// The name.
    pub name: String,
    /// The value.
    pub value: StoredBytes,
}

/// Bytes in a form that JSON text can hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredBytes {
    /// UTF-8 text.
    Text(String),
    /// Other bytes, in hexadecimal.
    Hex(String),
}

impl StoredBytes {
    /// Takes bytes in.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        if let Ok(text) = std::str::from_utf8(bytes) {
            return Self::Text(text.to_owned());
        }
        let mut hex = String::with_capacity(bytes.len() * 2);
        for byte in bytes {
            let _ = write!(hex, "{byte:02x}");
        }
        Self::Hex(hex)
    }

    /// The bytes; none when the stored form is damaged.
    #[must_use]
    pub fn bytes(&self) -> Option<Vec<u8>> {
        match self {
            Self::Text(text) => Some(text.clone().into_bytes()),
            Self::Hex(hex) => hex.as_bytes().chunks(2).map(read_pair).collect(),
        }
    }
}

fn read_pair(pair: &[u8]) -> Option<u8> {
    let digit = |byte: &u8| char::from(*byte).to_digit(HEX);
    let [high, low] = pair else { return None };
    u8::try_from(digit(high)? * HEX + digit(low)?).ok()
}
