use crate::error::CliError;
use error_stack::Report;
use getopts::Matches;
use hyper::header::HeaderValue;
use lycheeyard_protocol::Digest;
use std::fmt;

const KEY_VARIABLE: &str = "LYCHEEYARD_KEY";
const KEY_FILE_VARIABLE: &str = "LYCHEEYARD_KEY_FILE";

/// The key that authenticates a caller or an operator; `Debug` output redacts it.
#[derive(Clone, Eq, PartialEq)]
pub struct AccessKey(String);

impl AccessKey {
    /// Generates a random 128-bit key.
    pub fn random() -> Self {
        Self(format!("{:032x}", rand::random::<u128>()))
    }

    /// Derives the key that a local cluster assigns to an organisation from the operators' key.
    #[must_use]
    pub fn for_organisation(&self, organisation: &str) -> Self {
        Self(format!("{organisation}.{}", self.0))
    }

    /// Returns the digest that settings and tickets store in place of the key.
    pub fn digest(&self) -> Digest {
        Digest::of(self.0.as_bytes())
    }

    /// Returns the key in clear text, to be shown to its owner only.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Takes the key from the first source that is set: `--access-key`, `--access-key-file`,
    /// `LYCHEEYARD_KEY`, `LYCHEEYARD_KEY_FILE`.
    ///
    /// # Errors
    /// Fails when the key file cannot be read.
    pub fn resolve(matches: &Matches) -> Result<Option<Self>, Report<CliError>> {
        if let Some(text) = matches.opt_str("access-key") {
            return Ok(Some(Self(text)));
        }
        if let Some(path) = matches.opt_str("access-key-file") {
            return Self::read_file(&path).map(Some);
        }
        if let Some(key) = Self::from_env() {
            return Ok(Some(key));
        }
        let path = std::env::var(KEY_FILE_VARIABLE).ok();
        path.map(|path| Self::read_file(&path)).transpose()
    }

    /// Reads the key from `LYCHEEYARD_KEY`; an empty value counts as unset.
    pub fn from_env() -> Option<Self> {
        let text = std::env::var(KEY_VARIABLE).ok();
        text.filter(|text| !text.is_empty()).map(Self)
    }

    /// Formats the key as the value of an `Authorization` header that is redacted from debug
    /// output.
    ///
    /// # Errors
    /// Fails when the key contains characters that an HTTP header cannot carry.
    pub fn authorization_header(&self) -> Result<HeaderValue, Report<CliError>> {
        let value = HeaderValue::from_str(&format!("Bearer {}", self.0));
        let mut value = value.map_err(|_| {
            usage_error("the access key contains characters that an HTTP header cannot carry")
        })?;
        value.set_sensitive(true);
        Ok(value)
    }

    fn read_file(path: &str) -> Result<Self, Report<CliError>> {
        let text = std::fs::read_to_string(path).map_err(|err| {
            usage_error(&format!("the access key file {path} cannot be read: {err}"))
        })?;
        Ok(Self(text.trim().to_owned()))
    }
}

impl fmt::Debug for AccessKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccessKey(redacted)")
    }
}

fn usage_error(text: &str) -> Report<CliError> {
    Report::new(CliError::Usage(text.to_owned()))
}
