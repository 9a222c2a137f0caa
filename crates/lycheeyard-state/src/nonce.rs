use lycheeyard_protocol::{Nonce, ParseError};

/// Generates a random nonce.
///
/// # Errors
/// Does not fail in practice, because the generated text is always a valid identifier.
pub fn make_nonce() -> Result<Nonce, ParseError> {
    format!("{:032x}", rand::random::<u128>()).parse()
}
