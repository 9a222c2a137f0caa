use crate::error::CliError;
use error_stack::Report;
use serde::de::DeserializeOwned;
use serde_path_to_error::{Path as SerdePath, Segment};
use std::path::Path;

/// Reads a document in TOML, or in JSON when the file's name ends in `.json`.
///
/// # Errors
/// Fails with the path of the field that is wrong.
pub fn read_document<T: DeserializeOwned>(path: &str) -> Result<T, Report<CliError>> {
    let text = std::fs::read_to_string(path).map_err(|err| refuse(path, &err.to_string()))?;
    let is_json = Path::new(path).extension().is_some_and(|ext| ext == "json");
    let read = if is_json {
        read_json(&text)
    } else {
        read_toml(&text)
    };
    read.map_err(|reason| refuse(path, &reason))
}

fn read_json<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut reader)
        .map_err(|err| at(err.path(), &err.inner().to_string()))?;
    reader.end().map_err(|err| err.to_string())?;
    Ok(value)
}

fn read_toml<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let reader = toml::Deserializer::parse(text).map_err(|err| err.to_string())?;
    serde_path_to_error::deserialize(reader).map_err(|err| at(err.path(), err.inner().message()))
}

/// The reason with the path of the field that it is about, where it is about one.
fn at(path: &SerdePath, reason: &str) -> String {
    let is_whole = path
        .iter()
        .all(|segment| matches!(segment, Segment::Unknown));
    if is_whole {
        return reason.to_owned();
    }
    format!("{path}: {reason}")
}

fn refuse(path: &str, reason: &str) -> Report<CliError> {
    Report::new(CliError::Document {
        path: path.to_owned(),
        reason: reason.trim_end().to_owned(),
    })
}
