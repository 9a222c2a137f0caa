//! Far more lines than the budget has.

use lycheeyard_logs::{
    BudgetFilter, LogBudget, LogFilter, LogFormat, LogOutput, LogSettings, log_subscriber,
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

/// The lines a second that the README states, and how many of them may be ordinary.
const BUDGET: usize = 600;
const ORDINARY: usize = 400;

#[derive(Clone, Debug, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    fn read(&self) -> Vec<String> {
        let text = String::from_utf8(self.0.lock().expect("a lock").clone()).expect("text");
        text.lines().map(ToOwned::to_owned).collect()
    }
}

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("a lock").extend_from_slice(buf);
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

/// Runs `load` with logs at a clock of the test; the lines that were written and the number left out.
fn run(format: LogFormat, load: impl FnOnce(&AtomicU64)) -> (Vec<String>, u64) {
    let start = Instant::now();
    let elapsed_ms = Arc::new(AtomicU64::new(0));
    let clock = elapsed_ms.clone();
    let now = move || start + Duration::from_millis(clock.load(Ordering::Relaxed));
    let budget = Arc::new(LogBudget::default());
    let lines = Lines::default();
    let filter = BudgetFilter::new(budget.clone(), now);
    let settings = LogSettings {
        format,
        filter: LogFilter::default(),
        output: LogOutput::Stdout,
        is_flat: true,
    };
    let subscriber = log_subscriber(&settings, filter, lines.clone());
    with_default(subscriber, || load(&elapsed_ms));
    (lines.read(), budget.left_out())
}

#[test]
fn all_is_written_within_the_budget() {
    let (lines, left_out) = run(LogFormat::Json, |clock| {
        for second in 0..5 {
            clock.store(second * 1000, Ordering::Relaxed);
            for number in 0..ORDINARY {
                info!(number, "call: served");
            }
        }
    });
    assert_eq!((lines.len(), left_out), (5 * ORDINARY, 0));
    let first: serde_json::Value = serde_json::from_str(&lines[0]).expect("a line");
    assert_eq!(first["message"], "call: served");
    assert_eq!(first["number"], 0);
}

#[test]
fn under_load_the_budget_holds_and_what_is_left_out_is_counted() {
    let seconds = 7;
    let sent = 20_000;
    let (lines, left_out) = run(LogFormat::Text, |clock| {
        for number in 0..sent {
            clock.store(number * seconds * 1000 / sent, Ordering::Relaxed);
            info!(number, "call: served");
        }
    });
    let written = u64::try_from(lines.len()).expect("a count");
    assert_eq!(written + left_out, sent);
    assert_eq!(lines.len(), 7 * ORDINARY);
}

#[test]
fn warnings_are_not_left_out_first() {
    let (lines, left_out) = run(LogFormat::Text, |_| {
        for number in 0..5000 {
            info!(number, "call: served");
            if number % 50 == 0 {
                warn!(number, "call: not served");
            }
        }
    });
    let warnings = lines.iter().filter(|line| line.contains("not served"));
    assert_eq!(warnings.count(), 100);
    assert_eq!(left_out, 5000 - (ORDINARY as u64 - 8));
}

#[test]
fn even_warnings_are_bounded() {
    let (lines, left_out) = run(LogFormat::Json, |_| {
        for number in 0..5000 {
            warn!(number, "call: not served");
        }
    });
    assert_eq!((lines.len(), left_out), (BUDGET, 5000 - BUDGET as u64));
}

#[test]
fn lines_below_the_filter_cost_nothing_of_the_budget() {
    let (lines, left_out) = run(LogFormat::Text, |_| {
        for number in 0..5000 {
            tracing::debug!(number, "detail");
        }
        info!("call: served");
    });
    assert_eq!((lines.len(), left_out), (1, 0));
}
