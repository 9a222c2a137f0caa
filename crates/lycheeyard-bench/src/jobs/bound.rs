use super::{SizeClass, Trace, measures::size_class};
use serde::{Deserialize, Serialize};

/// Bounds that no scheduler can beat on a trace.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LowerBound {
    /// The mean completion time, in seconds, if every job started on submission.
    pub mean_completion_s: f64,
    /// The 95th percentile, in seconds, of the run times of large jobs.
    pub large_p95_s: f64,
    /// A lower bound of the end of all work, in seconds. It is the latest of these times over all jobs: the submission
    /// plus the run time of the job, and the submission plus the time that this job and all later ones take at full
    /// capacity.
    pub end_s: f64,
    /// The work as a share of the accelerator time until `end_s`.
    pub utilisation: f64,
}

impl LowerBound {
    /// Computes the bounds of a trace.
    #[must_use]
    pub fn for_trace(trace: &Trace) -> Self {
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
            large_p95_s: large_p95_s(trace),
            end_s,
            utilisation: work / (capacity * end_s),
        }
    }
}

fn large_p95_s(trace: &Trace) -> f64 {
    let large = trace
        .jobs
        .iter()
        .filter(|job| size_class(job) == SizeClass::Large);
    let mut run_times: Vec<u64> = large.map(|job| job.actual_ms).collect();
    run_times.sort_unstable();
    let p95 = (run_times.len() * 95).div_ceil(100).saturating_sub(1);
    run_times.get(p95).copied().map_or(0.0, seconds)
}

pub(super) fn seconds(ms: u64) -> f64 {
    std::time::Duration::from_millis(ms).as_secs_f64()
}
