//! Logs far more lines than the rate limit allows. Guards against a flood of lines that is written without a
//! limit, that leaves no room for warnings, or whose dropped lines are not counted.

use lycheeyard_logs::{
    LogFilter, LogFormat, LogOutput, LogRateLimiter, LogSettings, RateLimitFilter, log_subscriber,
};
use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tracing::{info, subscriber::with_default, warn};
use tracing_subscriber::fmt::MakeWriter;

/// The limit that the README states, in lines per second.
const LINES_PER_S: usize = 600;
/// The part of the limit that is open to ordinary lines, in lines per second.
const ORDINARY_LINES_PER_S: usize = 400;

#[derive(Clone, Debug, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    fn read(&self) -> Vec<String> {
        let text = String::from_utf8(self.0.lock().expect("lock is not poisoned").clone())
            .expect("log lines are UTF-8");
        text.lines().map(ToOwned::to_owned).collect()
    }
}

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0
            .lock()
            .expect("lock is not poisoned")
            .extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Runs `load` with logging and a test clock in milliseconds. Returns the written lines and the number of dropped ones.
fn run(format: LogFormat, load: impl FnOnce(&AtomicU64)) -> (Vec<String>, u64) {
    let start = Instant::now();
    let elapsed_ms = Arc::new(AtomicU64::new(0));
    let clock = elapsed_ms.clone();
    let now = move || start + Duration::from_millis(clock.load(Ordering::Relaxed));
    let limiter = Arc::new(LogRateLimiter::default());
    let lines = Lines::default();
    let filter = RateLimitFilter::new(limiter.clone(), now);
    let settings = LogSettings {
        format,
        filter: LogFilter::default(),
        output: LogOutput::Stdout,
        is_flat: true,
    };
    let subscriber = log_subscriber(&settings, filter, lines.clone());
    with_default(subscriber, || load(&elapsed_ms));
    (lines.read(), limiter.dropped_lines())
}

#[test]
fn writes_all_lines_within_the_limit() {
    let (lines, dropped) = run(LogFormat::Json, |clock| {
        for second in 0..5 {
            clock.store(second * 1000, Ordering::Relaxed);
            for number in 0..ORDINARY_LINES_PER_S {
                info!(number, "call: served");
            }
        }
    });
    assert_eq!((lines.len(), dropped), (5 * ORDINARY_LINES_PER_S, 0));
    let first: serde_json::Value = serde_json::from_str(&lines[0]).expect("line is valid JSON");
    assert_eq!(first["message"], "call: served");
    assert_eq!(first["number"], 0);
}

#[test]
fn limits_lines_under_load_and_counts_dropped_ones() {
    let seconds = 7;
    let sent = 20_000;
    let (lines, dropped) = run(LogFormat::Text, |clock| {
        for number in 0..sent {
            clock.store(number * seconds * 1000 / sent, Ordering::Relaxed);
            info!(number, "call: served");
        }
    });
    let written = u64::try_from(lines.len()).expect("line count fits u64");
    assert_eq!(written + dropped, sent);
    assert_eq!(lines.len(), 7 * ORDINARY_LINES_PER_S);
}

#[test]
fn writes_warnings_after_ordinary_lines_reach_their_limit() {
    let (lines, dropped) = run(LogFormat::Text, |_| {
        for number in 0..5000 {
            info!(number, "call: served");
            if number % 50 == 0 {
                warn!(number, "call: not served");
            }
        }
    });
    let warnings = lines.iter().filter(|line| line.contains("not served"));
    assert_eq!(warnings.count(), 100);
    assert_eq!(dropped, 5000 - (ORDINARY_LINES_PER_S as u64 - 8));
}

#[test]
fn limits_warnings_too() {
    let (lines, dropped) = run(LogFormat::Json, |_| {
        for number in 0..5000 {
            warn!(number, "call: not served");
        }
    });
    assert_eq!(
        (lines.len(), dropped),
        (LINES_PER_S, 5000 - LINES_PER_S as u64)
    );
}

#[test]
fn lines_below_the_filter_level_do_not_count_towards_the_limit() {
    let (lines, dropped) = run(LogFormat::Text, |_| {
        for number in 0..5000 {
            tracing::debug!(number, "detail");
        }
        info!("call: served");
    });
    assert_eq!((lines.len(), dropped), (1, 0));
}
