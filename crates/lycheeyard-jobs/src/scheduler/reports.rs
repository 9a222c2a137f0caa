use super::{JobScheduler, Now, RunKind, RunPhase, StartAnswer, StopReason};
use crate::{BootTime, EndReport, RunEnd, RunNumber, RunReport, TaskKey, WorkerKey, WorkerReport};
use std::time::Duration;

/// A run that is being stopped is in neither list for as long as the stop takes, and a little longer.
const UNLISTED_MARGIN: Duration = Duration::from_millis(300);
/// A run that no record names is told to stop at most this often.
const UNKNOWN_STOP_EVERY: Duration = Duration::from_millis(700);

impl JobScheduler {
    /// Takes up what a worker says of its runs.
    pub fn worker_reported(&mut self, report: &WorkerReport, now: Now) {
        let Some(entry) = self.worker_mut(&report.worker) else {
            return;
        };
        if !entry.has_reported || entry.is_silent(now.boot) {
            entry.has_reported = true;
            self.plan_due = true;
        }
        if let Some(entry) = self.worker_mut(&report.worker) {
            entry.heard_at = entry.heard_at.max(report.received_at);
        }
        let key = &report.worker;
        for end in &report.ended {
            self.note_end(key, end, now);
        }
        for run in &report.running {
            self.note_running(key, run, report, now);
        }
        self.forget_unknown(report);
        if !report.is_partial {
            self.note_absent(report, now);
        }
        self.pace_fillers(&report.worker, now);
    }

    /// Takes up the answer to an order to start.
    pub fn start_answered(
        &mut self,
        task: &TaskKey,
        number: RunNumber,
        answer: StartAnswer,
        now: Now,
    ) {
        let Some(run) = self.runs.get_mut(task).filter(|run| run.number == number) else {
            return;
        };
        if run.phase != RunPhase::Ordered {
            return;
        }
        match answer {
            StartAnswer::Present => {
                run.phase = RunPhase::Present;
                run.absent_after = now.boot;
                run.present_since = Some(now.boot);
                run.advanced_at = now.boot;
                let worker = run.worker.clone();
                self.send_shares(&worker, false, now);
            }
            StartAnswer::NotStarted | StartAnswer::NoRoom => {
                self.end_run(task, number, RunEnd::NeverStarted, None, now);
            }
            StartAnswer::NoTicket => {
                self.advice.drop_ticket(&task.step, &run.worker);
                self.end_run(task, number, RunEnd::NeverStarted, None, now);
            }
            StartAnswer::Refused => run.absent_after = now.boot,
            StartAnswer::Unclear => {
                self.stop_with_gang(task, StopReason::Unanswered);
            }
        }
    }

    /// Takes note that a worker has confirmed an order to stop: the run cannot start there any more.
    pub fn stop_answered(&mut self, task: &TaskKey, number: RunNumber, now: Now) {
        if let Some(run) = self.runs.get_mut(task).filter(|run| run.number == number) {
            run.absent_after = run.absent_after.min(now.boot);
        }
    }

    fn note_end(&mut self, key: &WorkerKey, end: &EndReport, now: Now) {
        let Some(entry) = self.worker_mut(key) else {
            return;
        };
        if end.number <= entry.noted {
            return;
        }
        entry.noted = end.number;
        let is_here = self
            .runs
            .get(&end.task)
            .is_some_and(|run| run.worker == *key);
        if is_here {
            self.end_run(&end.task, end.run, end.outcome, end.checkpoint.clone(), now);
        }
    }

    fn note_running(&mut self, key: &WorkerKey, seen: &RunReport, report: &WorkerReport, now: Now) {
        let known = self.runs.get_mut(&seen.task);
        let known = known.filter(|run| run.number == seen.run && run.worker == *key);
        let Some(run) = known else {
            self.stop_unknown(key, &seen.task, seen.run, report.polled_at, now.boot);
            return;
        };
        if matches!(run.phase, RunPhase::Ordered | RunPhase::Inherited) {
            run.phase = RunPhase::Present;
            run.absent_after = report.polled_at;
            run.present_since = Some(now.boot);
            run.advanced_at = now.boot;
        }
        if matches!(run.kind, RunKind::Serving(_)) {
            run.tail_ms = seen.recent;
        }
        if run.progress != seen.done {
            run.progress = seen.done;
            run.advanced_at = report.received_at;
        }
        if seen.checkpoint.is_some() && run.checkpoint != seen.checkpoint {
            run.checkpoint.clone_from(&seen.checkpoint);
            run.checkpointed_progress = seen.done;
        }
    }

    /// Stops a run that no record names. An old report may still list a run that has ended since.
    fn stop_unknown(
        &mut self,
        key: &WorkerKey,
        task: &TaskKey,
        number: RunNumber,
        asked_at: BootTime,
        now: BootTime,
    ) {
        let Some(entry) = self.worker_mut(key) else {
            return;
        };
        let sent_at = entry.unknown_runs.get(&(task.clone(), number)).copied();
        if sent_at.is_some_and(|sent| !sent.after(UNKNOWN_STOP_EVERY).is_past(asked_at)) {
            return;
        }
        entry.unknown_runs.insert((task.clone(), number), now);
        self.push_stop(key.clone(), task, number, StopReason::Unknown);
    }

    fn forget_unknown(&mut self, report: &WorkerReport) {
        let Some(entry) = self.worker_mut(&report.worker) else {
            return;
        };
        entry.unknown_runs.retain(|(task, number), _| {
            let mut running = report.running.iter();
            running.any(|run| run.task == *task && run.run == *number)
        });
    }

    /// Ends the runs that a worker should have and has not listed for longer than a stop takes.
    fn note_absent(&mut self, report: &WorkerReport, now: Now) {
        let Some(entry) = self.worker_mut(&report.worker) else {
            return;
        };
        let tasks: Vec<TaskKey> = entry.tasks.iter().cloned().collect();
        let unlisted = self.limits.stop_timeout + UNLISTED_MARGIN;
        for task in tasks {
            let Some(run) = self.runs.get_mut(&task) else {
                continue;
            };
            let listed = report
                .running
                .iter()
                .any(|seen| seen.task == task && seen.run == run.number);
            if listed {
                run.absent_since = None;
                continue;
            }
            if run.phase == RunPhase::Planned || run.absent_after > report.polled_at {
                continue;
            }
            let since = *run.absent_since.get_or_insert(report.polled_at);
            if !since.after(unlisted).is_past(report.polled_at) {
                continue;
            }
            let how = match run.phase {
                RunPhase::Ordered => RunEnd::NeverStarted,
                _ => RunEnd::Lost,
            };
            let number = run.number;
            self.end_run(&task, number, how, None, now);
        }
    }
}
