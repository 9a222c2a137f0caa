use crate::error::CliError;
use error_stack::Report;
use serde::de::DeserializeOwned;
use std::path::Path;

/// Reads a document in TOML, or in JSON when the file's name ends in `.json`.
///
/// # Errors
/// Fails with the path of the field that is wrong.
pub fn read_document<T: DeserializeOwned>(path: &str) -> Result<T, Report<CliError>> {
    let text = std::fs::read_to_string(path).map_err(|err| refuse(path, err.to_string()))?;
    let is_json = Path::new(path).extension().is_some_and(|ext| ext == "json");
    if is_json {
        let mut reader = serde_json::Deserializer::from_str(&text);
        serde_path_to_error::deserialize(&mut reader)
            .map_err(|err| refuse(path, format!("{}: {}", err.path(), err.inner())))
    } else {
        let reader =
            toml::Deserializer::parse(&text).map_err(|err| refuse(path, err.to_string()))?;
        serde_path_to_error::deserialize(reader)
            .map_err(|err| refuse(path, format!("{}: {}", err.path(), err.inner().message())))
    }
}

fn refuse(path: &str, reason: String) -> Report<CliError> {
    Report::new(CliError::Document {
        path: path.to_owned(),
        reason,
    })
}
