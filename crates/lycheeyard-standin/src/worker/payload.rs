use std::time::Duration;

/// The behaviour of a task on a worker stand-in, parsed from the task's payload.
///
/// The payload is a comma-separated list of settings: `run-ms=N` sets the actual run time, `checkpoint-ms=N` the time
/// that a checkpoint takes, and `fail` makes every start fail. Without a run time, a task runs until it is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TaskPayload {
    /// The time after which the task succeeds, including the time saved in its checkpoint.
    pub run_time: Duration,
    /// The time that a checkpoint takes.
    pub checkpoint_time: Duration,
    /// Whether the task fails as soon as it is started.
    pub fails: bool,
}

impl TaskPayload {
    /// Parses a payload; unknown settings and malformed numbers are ignored.
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
