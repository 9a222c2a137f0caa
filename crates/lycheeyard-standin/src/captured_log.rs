use serde_json::Value;
use std::{
    io::Write,
    sync::{Arc, Mutex, PoisonError},
};
use tracing::subscriber::DefaultGuard;
use tracing_subscriber::fmt::MakeWriter;

/// Captures the log lines of the current thread as JSON.
#[derive(Clone, Debug, Default)]
pub struct CapturedLog(Arc<Mutex<Vec<u8>>>);

impl CapturedLog {
    /// Captures lines until the guard is dropped.
    #[must_use]
    pub fn start(&self) -> DefaultGuard {
        let subscriber = tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_writer(self.clone())
            .finish();
        tracing::subscriber::set_default(subscriber)
    }

    /// Returns the lines that contain `text`, in order.
    ///
    /// # Panics
    /// Panics if the log is not UTF-8 or one of the lines is not JSON.
    #[must_use]
    pub fn lines_of(&self, text: &str) -> Vec<Value> {
        let buf = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let log = std::str::from_utf8(&buf).expect("log is UTF-8");
        let lines = log.lines().filter(|line| line.contains(text));
        lines
            .map(|line| serde_json::from_str(line).expect("log line is valid JSON"))
            .collect()
    }
}

impl Write for CapturedLog {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        let mut log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        log.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for CapturedLog {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}
