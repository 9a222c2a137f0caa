use std::{fmt, str::FromStr};
use tracing_subscriber::{EnvFilter, filter::ParseError};

/// Selects the log lines to write: a level, or `tracing` filter directives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogFilter(String);

impl LogFilter {
    pub(crate) fn directives(&self) -> &str {
        &self.0
    }
}

impl Default for LogFilter {
    fn default() -> Self {
        Self(String::from("info"))
    }
}

impl FromStr for LogFilter {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        EnvFilter::builder().parse(text)?;
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Display for LogFilter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}
