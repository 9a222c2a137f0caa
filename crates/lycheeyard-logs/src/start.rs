use crate::{BudgetFilter, LogBudget, LogFilter, LogFormat};
use std::{
    io::{self, IsTerminal},
    sync::{Arc, OnceLock},
    time::Instant,
};
use tracing::Subscriber;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{
    EnvFilter, Layer, Registry,
    fmt::{self, MakeWriter},
    layer::SubscriberExt,
    util::SubscriberInitExt,
};

/// Lines that wait to be written; further ones are left out and counted.
const MAX_WAITING_LINES: usize = 4000;

static COUNTS: OnceLock<Counts> = OnceLock::new();

/// Where lines go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

impl LogOutput {
    fn is_terminal(self) -> bool {
        match self {
            Self::Stdout => io::stdout().is_terminal(),
            Self::Stderr => io::stderr().is_terminal(),
        }
    }
}

/// How log lines are written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// The form of the lines.
    pub format: LogFormat,
    /// Which lines are written.
    pub filter: LogFilter,
    /// Where they go.
    pub output: LogOutput,
    /// Whether the fields of a JSON line stand beside its message, and spans are left out.
    pub is_flat: bool,
}

/// Lines are written until it is dropped.
#[must_use]
#[derive(Debug)]
pub struct LogGuard {
    _worker: WorkerGuard,
}

/// What this process has left out.
#[derive(Debug)]
struct Counts {
    budget: Arc<LogBudget>,
    /// Lines that the reader of the output did not take in time.
    not_taken: ErrorCounter,
}

/// How many lines this process has left out; 0 before the logs are started.
pub(crate) fn lines_left_out() -> u64 {
    COUNTS.get().map_or(0, |counts| {
        let not_taken = u64::try_from(counts.not_taken.dropped_lines()).unwrap_or(u64::MAX);
        counts.budget.left_out().saturating_add(not_taken)
    })
}

/// Starts writing logs, without ever waiting for the reader; a second call changes nothing.
pub fn start_logs(settings: &LogSettings) -> LogGuard {
    let builder = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_WAITING_LINES);
    let (writer, worker) = match settings.output {
        LogOutput::Stdout => builder.finish(io::stdout()),
        LogOutput::Stderr => builder.finish(io::stderr()),
    };
    let budget = Arc::new(LogBudget::default());
    let counts = Counts {
        budget: budget.clone(),
        not_taken: writer.error_counter(),
    };
    let filter_by_budget = BudgetFilter::new(budget, Instant::now);
    let started = log_subscriber(settings, filter_by_budget, writer).try_init();
    if started.is_ok() {
        // It is empty, since no other call has started the logs.
        let _ = COUNTS.set(counts);
    }
    LogGuard { _worker: worker }
}

/// What `start_logs` installs, over any writer and clock.
pub fn log_subscriber<W, C>(
    settings: &LogSettings,
    budget: BudgetFilter<C>,
    writer: W,
) -> impl Subscriber + Send + Sync
where
    W: for<'a> MakeWriter<'a> + Clone + Send + Sync + 'static,
    C: Fn() -> Instant + Clone + Send + Sync + 'static,
{
    let json = (settings.format == LogFormat::Json).then(|| {
        fmt::layer()
            .json()
            .flatten_event(settings.is_flat)
            .with_current_span(!settings.is_flat)
            .with_span_list(!settings.is_flat)
            .with_writer(writer.clone())
            .with_filter(budget.clone())
    });
    let text = (settings.format == LogFormat::Text).then(|| {
        fmt::layer()
            .with_ansi(settings.output.is_terminal())
            .with_writer(writer)
            .with_filter(budget)
    });
    Registry::default()
        .with(EnvFilter::new(settings.filter.directives()))
        .with(json)
        .with(text)
}
