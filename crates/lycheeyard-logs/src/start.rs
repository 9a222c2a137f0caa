use crate::{
    LogFilter, LogFormat, LogRateLimiter, RateLimitFilter,
    line_queue::{LineQueue, MAX_QUEUED_LINES, QueueOutput, QueueWriter},
};
use std::{
    io::{self, IsTerminal},
    sync::{Arc, OnceLock},
    time::Instant,
};
use tracing::Subscriber;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{
    EnvFilter, Layer, Registry,
    fmt::{self, MakeWriter},
    layer::SubscriberExt,
    util::SubscriberInitExt,
};

static COUNTERS: OnceLock<DropCounters> = OnceLock::new();

/// The stream that lines are written to.
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
    /// The format of the lines.
    pub format: LogFormat,
    /// Selects the lines to write.
    pub filter: LogFilter,
    /// The stream that lines are written to.
    pub output: LogOutput,
    /// Whether a JSON line has the event's fields at its top level, next to the message, and omits spans.
    pub is_flat: bool,
}

/// Keeps the log writer running until it is dropped.
#[must_use]
#[derive(Debug)]
pub struct LogGuard {
    _worker: WorkerGuard,
}

/// Counts the lines that this process has dropped.
#[derive(Debug)]
struct DropCounters {
    /// Counts lines above the rate limit.
    limiter: Arc<LogRateLimiter>,
    /// Counts lines that found the queue full.
    queue: LineQueue,
}

/// Returns the number of lines that this process has dropped; 0 before [`start_logs`].
pub(crate) fn dropped_lines() -> u64 {
    COUNTERS.get().map_or(0, |counters| {
        let queue_full = counters.queue.dropped_lines();
        counters.limiter.dropped_lines().saturating_add(queue_full)
    })
}

/// Installs the global log subscriber. Lines are written in the background and dropped when the reader of the output
/// is too slow, so logging never blocks. A second call changes nothing.
pub fn start_logs(settings: &LogSettings) -> LogGuard {
    let queue = LineQueue::default();
    // The queue admits no more lines than that, and the worker takes them out before it has written them.
    let builder = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, worker) = match settings.output {
        LogOutput::Stdout => builder.finish(output(&queue, io::stdout())),
        LogOutput::Stderr => builder.finish(output(&queue, io::stderr())),
    };
    let writer = QueueWriter {
        queue: queue.clone(),
        writer,
    };
    let limiter = Arc::new(LogRateLimiter::default());
    let counters = DropCounters {
        limiter: limiter.clone(),
        queue,
    };
    let filter = RateLimitFilter::new(limiter, Instant::now);
    let started = log_subscriber(settings, filter, writer).try_init();
    if started.is_ok() {
        // The cell is empty, since only the call that installs the subscriber gets here.
        let _ = COUNTERS.set(counters);
    }
    LogGuard { _worker: worker }
}

fn output<W>(queue: &LineQueue, output: W) -> QueueOutput<W> {
    QueueOutput {
        queue: queue.clone(),
        output,
    }
}

/// Builds the subscriber that [`start_logs`] installs, with any writer and clock.
pub fn log_subscriber<W, C>(
    settings: &LogSettings,
    rate_limit: RateLimitFilter<C>,
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
            .with_filter(rate_limit.clone())
    });
    let text = (settings.format == LogFormat::Text).then(|| {
        fmt::layer()
            .with_ansi(settings.output.is_terminal())
            .with_writer(writer)
            .with_filter(rate_limit)
    });
    Registry::default()
        .with(EnvFilter::new(settings.filter.directives()))
        .with(json)
        .with(text)
}
