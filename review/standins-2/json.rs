//! JSON values, as far as the messages of the platform need them.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Self {
        let fields = fields.into_iter();
        Self::Object(
            fields
                .map(|(name, value)| (name.to_owned(), value))
                .collect(),
        )
    }

    /// Returns a field of an object; null if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Object(fields) => fields.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(number) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let chars: Vec<char> = text.chars().collect();
        let mut parser = Parser { chars, at: 0 };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == parser.chars.len()).then_some(value)
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for Json {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl From<u64> for Json {
    #[allow(clippy::cast_precision_loss)]
    fn from(number: u64) -> Self {
        Self::Number(number as f64)
    }
}

impl From<bool> for Json {
    fn from(value: bool) -> Self {
        Self::Bool(value)
    }
}

impl From<Vec<Json>> for Json {
    fn from(list: Vec<Json>) -> Self {
        Self::List(list)
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(number) => write!(f, "{number}"),
            Self::Text(text) => write_text(f, text),
            Self::List(list) => {
                f.write_str("[")?;
                for (index, value) in list.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(f, "{comma}{value}")?;
                }
                f.write_str("]")
            }
            Self::Object(fields) => {
                f.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    f.write_str(if index > 0 { "," } else { "" })?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut std::fmt::Formatter<'_>, text: &str) -> std::fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' | '\\' => write!(f, "\\{c}")?,
            c if c < ' ' => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

struct Parser {
    chars: Vec<char>,
    at: usize,
}

impl Parser {
    fn skip_space(&mut self) {
        while self.chars.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
    }

    /// Skips white space and `c`; false if something else is next.
    fn eat(&mut self, c: char) -> bool {
        self.skip_space();
        let is_next = self.chars.get(self.at) == Some(&c);
        self.at += usize::from(is_next);
        is_next
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        for c in word.chars() {
            (self.chars.get(self.at) == Some(&c)).then_some(())?;
            self.at += 1;
        }
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.chars.get(self.at)? {
            'n' => self.word("null", Json::Null),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            '"' => self.string().map(Json::Text),
            '[' => self.elements().map(Json::List),
            '{' => self.fields().map(Json::Object),
            _ => self.digits().map(Json::Number),
        }
    }

    fn digits(&mut self) -> Option<f64> {
        let is_part = |c: &&char| c.is_ascii_digit() || "+-.eE".contains(**c);
        let digits: String = self.chars[self.at..].iter().take_while(is_part).collect();
        self.at += digits.len();
        digits.parse().ok()
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut text = String::new();
        loop {
            let c = *self.chars.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(text),
                '\\' => text.push(self.escape()?),
                c => text.push(c),
            }
        }
    }

    fn escape(&mut self) -> Option<char> {
        let c = *self.chars.get(self.at)?;
        self.at += 1;
        Some(match c {
            'n' => '\n',
            't' => '\t',
            'r' => '\r',
            'b' => '\u{8}',
            'f' => '\u{c}',
            'u' => {
                let digits: String = self.chars.get(self.at..self.at + 4)?.iter().collect();
                self.at += 4;
                char::from_u32(u32::from_str_radix(&digits, 16).ok()?).unwrap_or('?')
            }
            c => c,
        })
    }

    fn elements(&mut self) -> Option<Vec<Json>> {
        self.at += 1;
        let mut list = Vec::new();
        if self.eat(']') {
            return Some(list);
        }
        loop {
            list.push(self.value()?);
            if self.eat(']') {
                return Some(list);
            }
            self.eat(',').then_some(())?;
        }
    }

    fn fields(&mut self) -> Option<BTreeMap<String, Json>> {
        self.at += 1;
        let mut fields = BTreeMap::new();
        if self.eat('}') {
            return Some(fields);
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.eat(':').then_some(())?;
            let value = self.value()?;
            fields.insert(name, value);
            if self.eat('}') {
                return Some(fields);
            }
            self.eat(',').then_some(())?;
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 text with padding.
pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            let digit = bits >> (18 - 6 * place) & 63;
            let is_padding = place > chunk.len();
            text.push(if is_padding {
                '='
            } else {
                ALPHABET[digit as usize] as char
            });
        }
    }
    text
}

/// Decodes standard base64 text with padding.
pub fn from_base64(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    for chunk in text.as_bytes().chunks(4) {
        let mut bits: u32 = 0;
        let mut digits = 0;
        for c in chunk.iter().filter(|c| **c != b'=') {
            let digit = ALPHABET.iter().position(|other| other == c)?;
            bits = bits << 6 | u32::try_from(digit).ok()?;
            digits += 1;
        }
        bits <<= 6 * (4 - digits);
        let decoded = bits.to_be_bytes();
        bytes.extend(&decoded[1..digits.max(1)]);
    }
    Some(bytes)
}
