use super::LogLine;
use crate::error::CliError;
use error_stack::Report;
use std::collections::BTreeMap;

/// The lines of any number of log files, in the order of their times.
#[derive(Clone, Debug, Default)]
pub struct LogFiles {
    /// The lines, oldest first.
    pub lines: Vec<LogLine>,
    /// How many lines could not be read.
    pub broken: usize,
}

impl LogFiles {
    /// Reads files. Lines that are broken or cut off are counted and skipped.
    ///
    /// # Errors
    /// Fails when a file cannot be read.
    pub fn read(paths: &[String]) -> Result<Self, Report<CliError>> {
        let mut files = Self::default();
        for path in paths {
            let buf = std::fs::read(path).map_err(|err| {
                Report::new(CliError::Document {
                    path: path.clone(),
                    reason: err.to_string(),
                })
            })?;
            files.add(&String::from_utf8_lossy(&buf), path);
        }
        files.lines.sort_by_key(|line| line.at);
        Ok(files)
    }

    fn add(&mut self, text: &str, path: &str) {
        let mut instance = path.to_owned();
        for text in text.lines().filter(|text| !text.trim().is_empty()) {
            let Some(line) = LogLine::parse(text, &instance) else {
                self.broken += 1;
                continue;
            };
            if line.message == "node: started"
                && let Some(name) = line.text("instance")
            {
                instance = name;
            }
            self.lines.push(line);
        }
    }

    /// Returns what is missing in the files, for a note below the output; empty if nothing is.
    pub fn missing(&self) -> String {
        let mut notes = Vec::new();
        if self.broken > 0 {
            notes.push(format!("unreadable lines: {}", self.broken));
        }
        for (instance, lines) in self.left_out() {
            notes.push(format!("lines that {instance} left out: {lines}"));
        }
        if notes.is_empty() {
            return String::new();
        }
        format!("Missing: {}\n", notes.join("; "))
    }

    /// Returns how many lines each instance has left out because of its rate limit.
    fn left_out(&self) -> BTreeMap<&str, u64> {
        let mut left_out = BTreeMap::new();
        for line in &self.lines {
            if line.message == "logs: lines were left out" {
                let lines = line.number("lines").unwrap_or_default();
                *left_out.entry(line.instance.as_str()).or_default() += lines;
            }
        }
        left_out
    }
}
