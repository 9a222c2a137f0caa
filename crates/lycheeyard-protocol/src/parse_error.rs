use thiserror::Error;

/// Why a piece of text is not a valid value of a protocol type.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ParseError {
    /// An identifier was empty, too long or held a character outside `a-z A-Z 0-9 . _ -`.
    #[error("{kind} `{text}` must be 1 to 128 characters of letters, digits, `.`, `_` or `-`")]
    Identifier {
        /// The type that was expected.
        kind: &'static str,
        /// The rejected text.
        text: String,
    },
    /// A number could not be read or was out of range.
    #[error("{kind} `{text}` must be a whole number in range")]
    Number {
        /// The type that was expected.
        kind: &'static str,
        /// The rejected text.
        text: String,
    },
    /// A shape was not of the form `WORKERSxACCELERATORS` with both at least 1.
    #[error("shape `{0}` must look like `2x8`: workers x accelerators, both at least 1")]
    Shape(String),
    /// An enum name was not one of the known ones.
    #[error("`{text}` is not one of {expected}")]
    Variant {
        /// The rejected text.
        text: String,
        /// The accepted names.
        expected: &'static str,
    },
}
