use std::time::Duration;

/// How a task of a stand-in behaves, read from its payload.
///
/// The payload is a list of settings with commas between: `run-ms=N` sets the real run time, `checkpoint-ms=N` the time
/// that a checkpoint takes, and `fail` makes every start fail. Without a run time a task runs until it is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TaskPayload {
    /// The time that the task runs by itself.
    pub run_time: Duration,
    /// The time that a checkpoint takes.
    pub checkpoint_time: Duration,
    /// Whether the task fails when it is started.
    pub fails: bool,
}

impl TaskPayload {
    /// Reads a payload; what it does not know is ignored.
    #[must_use]
    pub fn parse(payload: &str) -> Self {
        const ENDLESS: Duration = Duration::from_secs(365 * 24 * 3600);
        let millis = |name: &str| {
            let value = payload
                .split(',')
                .find_map(|part| part.strip_prefix(name))?;
            value.parse().ok().map(Duration::from_millis)
        };
        Self {
            run_time: millis("run-ms=").unwrap_or(ENDLESS),
            checkpoint_time: millis("checkpoint-ms=").unwrap_or_default(),
            fails: payload.split(',').any(|part| part == "fail"),
        }
    }
}
