use super::{JobScheduler, Now};
use lycheeyard_protocol::JobState;
use std::time::Duration;

/// Counts for logs and metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stats {
    /// Jobs of which no task has been started yet.
    pub queued: usize,
    /// Jobs that have started and not ended.
    pub running: usize,
    /// Runs that have not ended.
    pub runs: usize,
    /// Workers that are in the current list.
    pub workers: usize,
    /// Listed workers that are slow, for good or for now.
    pub slow_workers: usize,
    /// Accelerators that runs use.
    pub accelerators_used: u32,
    /// Data centres that are evacuated.
    pub evacuated_data_centres: usize,
    /// Runs on workers of evacuated data centres.
    pub evacuating_runs: usize,
}

impl JobScheduler {
    /// Counts the jobs, runs and workers in their present states.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let mut stats = Stats {
            runs: self.runs.len(),
            evacuated_data_centres: self.evacuated_data_centres.len(),
            evacuating_runs: self.runs_in_evacuated_data_centres(),
            slow_workers: self.slow_workers(),
            ..Stats::default()
        };
        for entry in self.jobs.values() {
            match entry.progress.state {
                JobState::Queued => stats.queued += 1,
                JobState::Running => stats.running += 1,
                _ => {}
            }
        }
        for entry in self.workers.values() {
            stats.workers += usize::from(entry.is_listed);
            let used = entry.used.accelerators;
            stats.accelerators_used = stats.accelerators_used.saturating_add(used);
        }
        stats
    }

    /// Returns the age of the oldest last report of the workers that accept runs; `None` if there are none.
    #[must_use]
    pub fn oldest_report_age(&self, now: Now) -> Option<Duration> {
        let usable = self
            .workers
            .values()
            .filter(|entry| entry.accepts_runs(now.boot));
        let ages = usable.map(|entry| now.boot.since(entry.last_report_at));
        ages.max()
    }
}
