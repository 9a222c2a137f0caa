use crate::error::CliError;
use error_stack::Report;
use serde::de::DeserializeOwned;
use serde_path_to_error::{Path as SerdePath, Segment};
use std::path::Path;

/// Reads a JSON document from a file with the extension `.json`, and a TOML document from any
/// other.
///
/// # Errors
/// Fails when the file cannot be read or parsed; the reason names the invalid field by its path.
pub fn read_document<T: DeserializeOwned>(path: &str) -> Result<T, Report<CliError>> {
    let text =
        std::fs::read_to_string(path).map_err(|err| document_error(path, &err.to_string()))?;
    let is_json = Path::new(path).extension().is_some_and(|ext| ext == "json");
    let result = if is_json {
        read_json(&text)
    } else {
        read_toml(&text)
    };
    result.map_err(|reason| document_error(path, &reason))
}

fn read_json<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut reader)
        .map_err(|err| with_path(err.path(), &err.inner().to_string()))?;
    reader.end().map_err(|err| err.to_string())?;
    Ok(value)
}

fn read_toml<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let reader = toml::Deserializer::parse(text).map_err(|err| err.to_string())?;
    serde_path_to_error::deserialize(reader)
        .map_err(|err| with_path(err.path(), err.inner().message()))
}

/// Prefixes the reason with the path of the invalid field; omits the path when the whole document
/// is invalid.
fn with_path(path: &SerdePath, reason: &str) -> String {
    let is_whole_document = path
        .iter()
        .all(|segment| matches!(segment, Segment::Unknown));
    if is_whole_document {
        return reason.to_owned();
    }
    format!("{path}: {reason}")
}

fn document_error(path: &str, reason: &str) -> Report<CliError> {
    Report::new(CliError::Document {
        path: path.to_owned(),
        reason: reason.trim_end().to_owned(),
    })
}
