use crate::error::CliError;
use error_stack::Report;
use getopts::Matches;
use hyper::header::HeaderValue;
use lycheeyard_protocol::Digest;
use std::fmt;

const KEY_VARIABLE: &str = "LYCHEEYARD_KEY";
const KEY_FILE_VARIABLE: &str = "LYCHEEYARD_KEY_FILE";

/// The key that a caller or an operator presents; it is never printed.
#[derive(Clone, Eq, PartialEq)]
pub struct AccessKey(String);

impl AccessKey {
    /// Makes a random key.
    pub fn random() -> Self {
        Self(format!("{:032x}", rand::random::<u128>()))
    }

    /// The key that a local cluster gives to an organisation, made from the operators' key.
    #[must_use]
    pub fn of_organisation(&self, organisation: &str) -> Self {
        Self(format!("{organisation}.{}", self.0))
    }

    /// The digest that settings and tickets hold in place of the key.
    pub fn digest(&self) -> Digest {
        Digest::of(self.0.as_bytes())
    }

    /// The key's text, to be shown to its owner only.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Looks the key up: option, file option, variable, file variable.
    ///
    /// # Errors
    /// Fails when the named file cannot be read.
    pub fn find(matches: &Matches) -> Result<Option<Self>, Report<CliError>> {
        if let Some(text) = matches.opt_str("access-key") {
            return Ok(Some(Self(text)));
        }
        if let Some(path) = matches.opt_str("access-key-file") {
            return Self::read(&path).map(Some);
        }
        if let Some(key) = Self::from_env() {
            return Ok(Some(key));
        }
        let path = std::env::var(KEY_FILE_VARIABLE).ok();
        path.map(|path| Self::read(&path)).transpose()
    }

    /// The key of the environment, where one is set.
    pub fn from_env() -> Option<Self> {
        let text = std::env::var(KEY_VARIABLE).ok();
        text.filter(|text| !text.is_empty()).map(Self)
    }

    /// The key as the value of an `Authorization` header that is left out of debug output.
    ///
    /// # Errors
    /// Fails when the key holds characters that a header cannot carry.
    pub fn header(&self) -> Result<HeaderValue, Report<CliError>> {
        let value = HeaderValue::from_str(&format!("Bearer {}", self.0));
        let mut value = value.map_err(|_| refuse("the access key holds unusable characters"))?;
        value.set_sensitive(true);
        Ok(value)
    }

    fn read(path: &str) -> Result<Self, Report<CliError>> {
        let text = std::fs::read_to_string(path)
            .map_err(|err| refuse(&format!("the access key file {path} cannot be read: {err}")))?;
        Ok(Self(text.trim().to_owned()))
    }
}

impl fmt::Debug for AccessKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccessKey(redacted)")
    }
}

fn refuse(text: &str) -> Report<CliError> {
    Report::new(CliError::Usage(text.to_owned()))
}
