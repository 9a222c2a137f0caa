use crate::LogFormat;
use tracing_subscriber::EnvFilter;

const FILTER_VARIABLE: &str = "LYCHEEYARD_LOG";

/// Starts writing logs to standard error; a second call changes nothing.
pub fn start_logs(format: LogFormat) {
    let filter =
        EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}
