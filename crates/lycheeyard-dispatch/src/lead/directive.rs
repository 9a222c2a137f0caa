use lycheeyard_jobs::EndNumber;
use std::time::Duration;

/// How long a worker holds a report request until a run ends (long polling).
pub(super) const REPORT_WAIT: Duration = Duration::from_millis(1500);
/// The shorter wait for a worker that is to report often.
const SHORT_REPORT_WAIT: Duration = Duration::from_millis(400);

/// Determines the next report request to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Directive {
    /// Ends up to this one are durable; the worker may discard them.
    pub acknowledge: EndNumber,
    pub extends_lease: bool,
    /// Whether the worker is to report often, since decisions wait for its reports.
    pub reports_often: bool,
    /// Whether the worker is gone, and its next incarnation is to be called with a newer epoch as soon as it answers.
    pub awaits_next_incarnation: bool,
}

impl Directive {
    /// Returns how long the worker may hold the request until a run ends.
    pub fn wait(self) -> Duration {
        if self.reports_often {
            SHORT_REPORT_WAIT
        } else {
            REPORT_WAIT
        }
    }
}
