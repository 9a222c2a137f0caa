use lycheeyard_protocol::RunnerId;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;

const HEX_RADIX: u32 = 16;

/// A runner's answer, stored so that a retry of the caller gets the same answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// The runner that answered.
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

/// Bytes in a form that JSON can represent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredBytes {
    /// UTF-8 text.
    Text(String),
    /// Other bytes, in hexadecimal.
    Hex(String),
}

impl StoredBytes {
    /// Converts bytes to their stored form.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        if let Ok(text) = std::str::from_utf8(bytes) {
            return Self::Text(text.to_owned());
        }
        let mut hex = String::with_capacity(bytes.len() * 2);
        for byte in bytes {
            // Writing to a `String` cannot fail.
            let _ = write!(hex, "{byte:02x}");
        }
        Self::Hex(hex)
    }

    /// The bytes; `None` if the stored form is not valid hexadecimal.
    #[must_use]
    pub fn bytes(&self) -> Option<Vec<u8>> {
        match self {
            Self::Text(text) => Some(text.clone().into_bytes()),
            Self::Hex(hex) => hex.as_bytes().chunks(2).map(decode_hex_pair).collect(),
        }
    }
}

fn decode_hex_pair(pair: &[u8]) -> Option<u8> {
    let digit = |byte: &u8| char::from(*byte).to_digit(HEX_RADIX);
    let [high, low] = pair else { return None };
    u8::try_from(digit(high)? * HEX_RADIX + digit(low)?).ok()
}
