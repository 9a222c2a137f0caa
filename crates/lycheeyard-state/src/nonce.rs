use lycheeyard_protocol::{Nonce, ParseError};

/// Makes a random nonce.
///
/// # Errors
/// Never fails in practice, since the generated text is a valid identifier.
pub fn make_nonce() -> Result<Nonce, ParseError> {
    format!("{:032x}", rand::random::<u128>()).parse()
}
