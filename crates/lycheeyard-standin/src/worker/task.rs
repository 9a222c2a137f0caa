use super::TaskPayload;
use lycheeyard_protocol::{
    Timestamp,
    platform::{TaskReport, TaskState},
};
use std::time::Duration;

/// One task of a worker.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub report: TaskReport,
    pub ended_at: Option<Timestamp>,
    payload: TaskPayload,
    started_at: Option<Timestamp>,
    run_until: Option<Timestamp>,
    checkpoint_at: Option<Timestamp>,
}

impl Task {
    pub fn new(report: TaskReport, payload: TaskPayload) -> Self {
        Self {
            report,
            ended_at: None,
            payload,
            started_at: None,
            run_until: None,
            checkpoint_at: None,
        }
    }

    pub fn holds_accelerators(&self) -> bool {
        matches!(self.report.state, TaskState::Prepared | TaskState::Running)
    }

    pub fn start(&mut self, lease_until: Timestamp, fail: bool, now: Timestamp) {
        let completed = Duration::from_millis(self.report.checkpoint_ms);
        self.report.lease_until = lease_until;
        self.started_at = Some(now);
        self.run_until = Some(now.after(self.payload.run_time.saturating_sub(completed)));
        if fail || self.payload.fails {
            self.end(TaskState::Failed, now);
        } else {
            self.report.state = TaskState::Running;
        }
    }

    /// Stops the task, at once or when its checkpoint is written. A task that has not started needs no checkpoint.
    pub fn stop(&mut self, checkpoint: bool, now: Timestamp) {
        if !checkpoint || self.started_at.is_none() {
            self.end(TaskState::Stopped, now);
            return;
        }
        let written_at = now.after(self.payload.checkpoint_time);
        self.checkpoint_at.get_or_insert(written_at);
        self.advance(now);
    }

    /// Applies the transitions that are due at `now`; returns whether the task ended.
    pub fn advance(&mut self, now: Timestamp) -> bool {
        if !self.holds_accelerators() {
            return false;
        }
        if self.run_until.is_some_and(|at| at.is_past(now)) {
            self.end(TaskState::Succeeded, now);
        } else if self.checkpoint_at.is_some_and(|at| at.is_past(now)) {
            let run = now.since(self.started_at.unwrap_or(now));
            self.report.checkpoint_ms += u64::try_from(run.as_millis()).unwrap_or(u64::MAX);
            self.end(TaskState::Stopped, now);
        } else if self.report.lease_until.is_past(now) {
            self.end(TaskState::Stopped, now);
        }
        !self.holds_accelerators()
    }

    fn end(&mut self, state: TaskState, now: Timestamp) {
        self.report.state = state;
        self.ended_at = Some(now);
    }
}
