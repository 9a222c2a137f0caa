use serde_json::{Map, Value};
use std::time::{Duration, SystemTime};

/// The fields that are the same for all lines, or printed apart from the others.
const COMMON_FIELDS: &[&str] = &["timestamp", "level", "message", "target", "job"];

/// A log line of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// When it was written, on the clock of the instance.
    pub at: SystemTime,
    /// The instance that wrote it, or the file if the instance is not known.
    pub instance: String,
    /// What happened.
    pub message: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line of JSON. A prefix, as tools that collect logs add it, is allowed; its last word names the instance.
    /// Returns `None` if the line is broken.
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let start = text.find('{')?;
        let (prefix, json) = text.split_at(start);
        let fields: Map<String, Value> = serde_json::from_str(json.trim_end()).ok()?;
        let timestamp = fields.get("timestamp")?.as_str()?;
        Some(Self {
            at: humantime::parse_rfc3339(timestamp).ok()?,
            instance: prefix.split_whitespace().last().unwrap_or(file).to_owned(),
            message: fields.get("message")?.as_str()?.to_owned(),
            fields,
        })
    }

    /// Returns the value of a field as text, if the line has it.
    pub fn text(&self, name: &str) -> Option<String> {
        self.fields.get(name).map(unquoted)
    }

    /// Returns the value of a field as a number, also if it is written as text.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }

    /// Returns the value of a field in milliseconds as a duration.
    pub fn millis(&self, name: &str) -> Option<Duration> {
        self.number(name).map(Duration::from_millis)
    }

    /// Whether the line is about a job.
    pub fn is_about(&self, job: &str) -> bool {
        self.fields.get("job").is_some_and(|value| value == job)
    }

    /// Formats the fields that are special to this kind of line.
    pub fn detail(&self) -> String {
        let own = self
            .fields
            .iter()
            .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        let details: Vec<String> = own
            .map(|(name, value)| format!("{name}={}", unquoted(value)))
            .collect();
        details.join(" ")
    }
}

fn unquoted(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
