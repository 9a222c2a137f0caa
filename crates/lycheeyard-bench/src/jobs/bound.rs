use super::Trace;
use serde::{Deserialize, Serialize};

/// What no scheduler can beat on a trace.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LowerBound {
    /// The mean completion time, in seconds, if every job started at once.
    pub mean_completion_s: f64,
    /// The earliest end of all work, in seconds: from the work that is left at any time and from each job alone.
    pub end_s: f64,
    /// The share of all accelerator time that the work fills up to that end.
    pub utilisation: f64,
}

impl LowerBound {
    /// The bound of a trace.
    #[must_use]
    pub fn of(trace: &Trace) -> Self {
        let capacity = f64::from(trace.accelerators());
        let mut end_s = 0.0_f64;
        let mut work = 0.0;
        let mut run_times = 0.0;
        for job in trace.jobs.iter().rev() {
            let run_s = seconds(job.actual_ms);
            let submitted_s = seconds(job.submitted_at.0);
            run_times += run_s;
            work += run_s * f64::from(job.spec.shape.total());
            end_s = end_s
                .max(submitted_s + work / capacity)
                .max(submitted_s + run_s);
        }
        let count = u32::try_from(trace.jobs.len()).unwrap_or(u32::MAX);
        Self {
            mean_completion_s: run_times / f64::from(count.max(1)),
            end_s,
            utilisation: work / (capacity * end_s),
        }
    }
}

pub(super) fn seconds(ms: u64) -> f64 {
    std::time::Duration::from_millis(ms).as_secs_f64()
}
