//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Mutex, PoisonError},
    time::Instant,
};

pub struct Record {
    begun: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self {
            begun: Instant::now(),
            file,
        })
    }

    /// Returns the milliseconds since the case began.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Writes a line with the present time, in milliseconds since the case began.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:>6} {text}", self.now_ms());
    }
}
