use crate::{LogFilter, LogFormat};
use tracing_subscriber::EnvFilter;

/// Starts writing logs to standard error; a second call changes nothing.
pub fn start_logs(format: LogFormat, filter: &LogFilter) {
    let builder = tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::new(filter.directives()))
        .with_writer(std::io::stderr);
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}
