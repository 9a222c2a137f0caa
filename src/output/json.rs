use crate::error::CliError;
use error_stack::Report;
use serde::Serialize;

/// Formats a result as JSON on one line, for `--json`.
///
/// # Errors
/// Fails when the value has no JSON form.
pub fn format_json<T: Serialize + ?Sized>(value: &T) -> Result<String, Report<CliError>> {
    serde_json::to_string(value).map_err(|err| Report::new(CliError::Encode(err.to_string())))
}
