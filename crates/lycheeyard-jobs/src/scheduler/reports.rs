use super::{Evidence, JobScheduler, Now, RunKind, RunPhase, StartAnswer, StopReason};
use crate::{
    BootTime, EndNumber, EndReport, RunEnd, RunNumber, RunReport, TaskKey, WorkerKey, WorkerReport,
};
use std::time::Duration;

/// Margin added to the stop timeout before an unlisted run is ended: while a worker stops a run, it lists the run
/// neither as running nor as ended.
pub(super) const UNLISTED_MARGIN: Duration = Duration::from_millis(300);
/// Minimum time between two stop orders for a run that no record names.
const UNKNOWN_STOP_INTERVAL: Duration = Duration::from_millis(700);

impl JobScheduler {
    /// Applies a worker's report of its runs.
    pub fn worker_reported(&mut self, report: &WorkerReport, now: Now) {
        let lease_until = self.lease_end(report.received_at);
        let Some(entry) = self.worker_mut(&report.worker) else {
            return;
        };
        if !entry.has_reported || entry.is_unresponsive(now.boot) {
            entry.has_reported = true;
            self.plan_due = true;
        }
        if let Some(entry) = self.worker_mut(&report.worker) {
            entry.last_report_at = entry.last_report_at.max(report.received_at);
            entry.seen_at = entry.seen_at.max(report.polled_at);
            entry.silent_since = None;
            entry.limit_leases(lease_until);
            entry.evidence = Evidence::Report;
        }
        self.note_report_of_present(&report.worker.id);
        self.note_past_copies(&report.worker);
        self.note_unread_ends(report);
        let key = &report.worker;
        for end in &report.ended {
            self.process_end(key, end, now);
        }
        self.limit_withheld_ends(report);
        for run in &report.running {
            self.process_running(key, run, report, now);
        }
        self.prune_unknown_runs(report);
        if !report.is_partial {
            self.end_absent_runs(report, now);
        }
        self.update_throttle(&report.worker, now);
    }

    /// Returns the last run end of a worker's incarnation that a report has listed.
    #[must_use]
    pub fn recorded_end(&self, worker: &WorkerKey) -> EndNumber {
        let entry = self.workers.get(&worker.id);
        let entry = entry.filter(|entry| entry.key == *worker);
        entry.map_or(EndNumber(0), |entry| entry.recorded_end)
    }

    /// Applies the outcome of a start order to an incarnation of a worker.
    pub fn start_answered(
        &mut self,
        task: &TaskKey,
        number: RunNumber,
        worker: &WorkerKey,
        answer: StartAnswer,
        now: Now,
    ) {
        self.note_start_copies(task, number, answer, now.boot);
        let run = self.runs.get_mut(task);
        let run = run.filter(|run| run.number == number && run.worker == *worker);
        let Some(run) = run.filter(|run| run.phase == RunPhase::Ordered) else {
            return;
        };
        match answer {
            StartAnswer::Present | StartAnswer::PresentByLaterCopy => {
                run.phase = RunPhase::Present;
                run.may_have_crashed_worker = true;
                run.absent_after = now.boot;
                run.present_since = Some(now.boot);
                run.progressed_at = now.boot;
                let is_being_stopped = run.stop_reason.is_some();
                let worker = run.worker.clone();
                self.extend_lease_by_start(&worker, now.boot);
                if !is_being_stopped {
                    self.end_idle_time(&task.step.job);
                }
                self.record_begun(task);
                self.send_throttle_orders(&worker, false, now);
            }
            StartAnswer::NotStarted => {
                self.end_run(task, number, RunEnd::NeverStarted, None, now);
            }
            StartAnswer::NoRoom => {
                self.pause_full_worker(worker, now.boot);
                self.end_run(task, number, RunEnd::NeverStarted, None, now);
            }
            StartAnswer::Unreachable => {
                let worker = run.worker.clone();
                self.await_report(&worker);
                self.end_run(task, number, RunEnd::NeverStarted, None, now);
            }
            StartAnswer::NoTicket => {
                self.advice.discard_ticket(&task.step, &run.worker);
                self.end_run(task, number, RunEnd::NeverStarted, None, now);
            }
            StartAnswer::Refused => run.absent_after = now.boot,
            StartAnswer::Unclear | StartAnswer::ConnectionLost => {
                run.may_have_crashed_worker |= answer == StartAnswer::ConnectionLost;
                let worker = run.worker.clone();
                self.set_unclear(&worker, task, true);
                self.stop_with_gang(task, StopReason::Unanswered, now.boot);
            }
        }
    }

    /// Notes the lease that a confirmed start may have. An incarnation that nobody has seen shortens the lease to the longest one, as the
    /// deadline of the order is on another clock.
    fn extend_lease_by_start(&mut self, worker: &WorkerKey, now: BootTime) {
        let until = self.lease_end(now);
        if let Some(entry) = self.worker_mut(worker) {
            entry.extend_lease(until);
        }
    }

    /// Records that an incarnation of a worker has confirmed a stop order: the run cannot start there any more.
    pub fn stop_answered(
        &mut self,
        task: &TaskKey,
        number: RunNumber,
        worker: &WorkerKey,
        now: Now,
    ) {
        let run = self.runs.get_mut(task);
        if let Some(run) = run.filter(|run| run.number == number && run.worker == *worker) {
            run.absent_after = run.absent_after.min(now.boot);
            if run.closing_since.is_some() {
                run.closed_at.get_or_insert(now.boot);
            }
        }
    }

    /// Applies a reported run end, unless an earlier report listed it.
    fn process_end(&mut self, key: &WorkerKey, end: &EndReport, now: Now) {
        let was_unread = self.withheld_ends.take_unread(key, end.number);
        let Some(entry) = self.worker_mut(key) else {
            return;
        };
        if end.number <= entry.recorded_end && !was_unread {
            return;
        }
        entry.recorded_end = entry.recorded_end.max(end.number);
        self.withhold_if_set_aside(key, end);
        let is_current = self
            .runs
            .get(&end.task)
            .is_some_and(|run| run.worker == *key && run.number == end.run);
        if is_current {
            self.note_undurable_end(key, end);
            self.end_run(&end.task, end.run, end.outcome, end.checkpoint.clone(), now);
        }
    }

    /// Delays the acknowledgement of a run end until the job's progress that contains it is durable.
    fn note_undurable_end(&mut self, key: &WorkerKey, end: &EndReport) {
        let Some(job) = self.jobs.get_mut(&end.task.step.job) else {
            return;
        };
        job.unwritten_ends.push((key.clone(), end.number));
        self.dirty_jobs.insert(end.task.step.job.clone());
        self.undurable_ends.add(key, end.number);
    }

    /// Applies the reported state of a run. Stops the run if no record names it.
    fn process_running(
        &mut self,
        key: &WorkerKey,
        reported: &RunReport,
        report: &WorkerReport,
        now: Now,
    ) {
        let run = self.runs.get_mut(&reported.task);
        let run = run.filter(|run| run.number == reported.run && run.worker == *key);
        let Some(run) = run else {
            self.stop_unknown(
                key,
                &reported.task,
                reported.run,
                report.polled_at,
                now.boot,
            );
            return;
        };
        run.is_reported = true;
        run.closing_since = None;
        run.shown_on = key.incarnation;
        let was_suspect = run.crash_suspect.take().is_some();
        run.may_have_crashed_worker = true;
        let is_new = matches!(run.phase, RunPhase::Ordered | RunPhase::Inherited);
        let ends_idle_time = is_new && run.stop_reason.is_none();
        if is_new {
            run.phase = RunPhase::Present;
            run.absent_after = report.polled_at;
            run.present_since = Some(now.boot);
            run.progressed_at = now.boot;
        }
        if matches!(run.kind, RunKind::Serving(_)) {
            run.tail_latency_ms = reported.recent;
        }
        if run.progress != reported.progress {
            run.progress = reported.progress;
            run.progressed_at = report.received_at;
        }
        let checkpoint = reported.checkpoint.as_ref();
        let checkpoint = checkpoint.filter(|checkpoint| checkpoint.is_storable());
        if checkpoint.is_some() && run.checkpoint.as_ref() != checkpoint {
            run.checkpoint = checkpoint.cloned();
            run.checkpointed_progress = reported.progress;
        }
        if was_suspect {
            self.record_placement(&reported.task, key);
        }
        if ends_idle_time {
            self.end_idle_time(&reported.task.step.job);
        }
        self.record_begun(&reported.task);
    }

    /// Stops a run that no record names.
    ///
    /// No stop is sent for a report that was requested less than `UNKNOWN_STOP_INTERVAL` after the last stop order,
    /// since such a report may still list a run that has ended in the meantime.
    fn stop_unknown(
        &mut self,
        key: &WorkerKey,
        task: &TaskKey,
        number: RunNumber,
        polled_at: BootTime,
        now: BootTime,
    ) {
        let Some(entry) = self.worker_mut(key) else {
            return;
        };
        let stop_sent_at = entry.unknown_runs.get(&(task.clone(), number)).copied();
        if stop_sent_at
            .is_some_and(|sent_at| !sent_at.after(UNKNOWN_STOP_INTERVAL).is_past(polled_at))
        {
            return;
        }
        entry.unknown_runs.insert((task.clone(), number), now);
        self.push_stop(key.clone(), task, number, StopReason::Unknown);
    }

    /// Removes the unknown runs that the worker no longer lists.
    fn prune_unknown_runs(&mut self, report: &WorkerReport) {
        let Some(entry) = self.worker_mut(&report.worker) else {
            return;
        };
        entry.unknown_runs.retain(|(task, number), _| {
            let mut running = report.running.iter();
            running.any(|run| run.task == *task && run.run == *number)
        });
    }

    /// Ends the runs that a worker should have and has not listed for longer than a stop may take.
    fn end_absent_runs(&mut self, report: &WorkerReport, now: Now) {
        let Some(entry) = self.worker_mut(&report.worker) else {
            return;
        };
        let tasks: Vec<TaskKey> = entry.tasks.iter().cloned().collect();
        let max_unlisted = self.limits.stop_timeout + UNLISTED_MARGIN;
        for task in tasks {
            let Some(run) = self.runs.get_mut(&task) else {
                continue;
            };
            let is_listed = report
                .running
                .iter()
                .any(|reported| reported.task == task && reported.run == run.number);
            if is_listed {
                run.absent_since = None;
                self.set_unclear(&report.worker, &task, false);
                continue;
            }
            if run.phase == RunPhase::Planned || run.absent_after > report.polled_at {
                continue;
            }
            let since = *run.absent_since.get_or_insert(report.polled_at);
            if !since.after(max_unlisted).is_past(report.polled_at) {
                self.set_unclear(&report.worker, &task, true);
                continue;
            }
            let outcome = match run.phase {
                RunPhase::Ordered => RunEnd::NeverStarted,
                _ => RunEnd::Lost,
            };
            let number = run.number;
            let suspect = run.crash_suspect.take();
            self.end_run(&task, number, outcome, None, now);
            self.count_crashes(suspect.into_iter().collect(), now);
        }
    }

    /// Notes whether it is unclear if a worker has a run.
    fn set_unclear(&mut self, worker: &WorkerKey, task: &TaskKey, is_unclear: bool) {
        let Some(entry) = self.worker_mut(worker) else {
            return;
        };
        if is_unclear {
            entry.unclear_runs.insert(task.clone());
        } else {
            entry.unclear_runs.remove(task);
        }
    }
}
