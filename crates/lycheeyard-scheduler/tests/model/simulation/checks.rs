//! The invariants that are checked after every step.

use super::Simulation;
use lycheeyard_protocol::{Timestamp, platform::TaskState};
use std::collections::{BTreeMap, BTreeSet};

impl Simulation {
    /// Checks that no accelerator runs two tasks and that no job runs in two attempts at once.
    pub fn check(&mut self) {
        let now = Timestamp(self.now);
        let mut attempts: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for worker in &mut self.workers {
            let report = worker.report(now);
            let running = report
                .tasks
                .iter()
                .filter(|t| t.state == TaskState::Running);
            let running: Vec<_> = running.collect();
            assert!(
                running.len() <= 1,
                "two tasks on one accelerator: {running:?}"
            );
            for task in running {
                let attempt = task
                    .task
                    .as_str()
                    .split('.')
                    .nth(2)
                    .expect("task id contains the attempt");
                let attempts = attempts.entry(task.job.to_string()).or_default();
                attempts.insert(attempt.to_owned());
            }
        }
        for (job, attempts) in attempts {
            assert!(attempts.len() < 2, "{job} runs twice: {attempts:?}");
        }
    }
}
