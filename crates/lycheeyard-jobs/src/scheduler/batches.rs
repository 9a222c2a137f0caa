use super::{
    Acknowledgement, Batch, JobChange, JobScheduler, Now, Order, RunPhase, StartOrder, WaveChange,
    WorkerEntry, incarnations::MAX_ORDER_DELAY,
};
use crate::{EndNumber, RunEnd, RunNumber, TaskKey, WorkerKey};
use std::time::Duration;

/// How long a start order is valid: a worker does not execute it later than this after it was sent.
const START_ORDER_VALIDITY: Duration = Duration::from_millis(2500);

impl JobScheduler {
    /// Takes up to `max_jobs` changed records of jobs, with the starts and the acknowledgements of run ends that must
    /// wait until the records are durable. Records of jobs with guaranteed starts come first, then those with urgent ones; a
    /// part of the batch is left to the records that have waited longest. Returns `None` if nothing has changed.
    pub fn take_batch(&mut self, max_jobs: usize) -> Option<Batch> {
        let mut batch = Batch::default();
        for id in self.dirty_jobs.take(max_jobs, &self.planned_starts) {
            if let Some(starts) = self.planned_starts.remove(&id) {
                batch.starts.extend(starts.runs);
            }
            let Some(entry) = self.jobs.get_mut(&id) else {
                continue;
            };
            batch.ends.append(&mut entry.unwritten_ends);
            let leaves_queue = (!entry.has_record).then(|| entry.job.queue.clone());
            entry.has_record = true;
            batch.changes.push(JobChange {
                job: id,
                progress: entry.progress.clone(),
                leaves_queue,
            });
        }
        for number in std::mem::take(&mut self.dirty_waves) {
            if let Some(entry) = self.waves.get(&number) {
                batch.waves.push(WaveChange {
                    number,
                    progress: entry.progress.clone(),
                });
            }
        }
        (batch != Batch::default()).then_some(batch)
    }

    /// Handles a batch that has become durable: starts its runs, and allows its run ends to be acknowledged.
    pub fn batch_committed(&mut self, batch: Batch, now: Now) {
        for (worker, number) in batch.ends {
            self.undurable_ends.remove(&worker, number);
        }
        self.withdraw_starts_on_emptied_workers(&batch.starts, now);
        self.withdraw_starts_without_room(&batch.starts, now);
        for (task, number) in batch.starts {
            if let Some(order) = self.issue_start(&task, number, now) {
                self.orders.push(Order::Start(order));
            }
        }
        for change in batch.changes {
            if change.progress.is_settled() {
                self.ended_jobs.add_durable(change.job);
            }
        }
        for change in &batch.waves {
            self.push_recorded_orders(change);
        }
        let is_obsolete =
            |entry: &WorkerEntry| !entry.is_polled() && !self.undurable_ends.has_any(&entry.key);
        let obsolete = self.workers.values().filter(|entry| is_obsolete(entry));
        let obsolete: Vec<WorkerKey> = obsolete.map(|entry| entry.key.clone()).collect();
        for key in obsolete {
            self.remove_entry(&key);
        }
        let workers = &self.workers;
        let is_present =
            |key: &WorkerKey| workers.get(&key.id).is_some_and(|entry| entry.key == *key);
        self.withheld_ends.retain(is_present);
    }

    /// Ends the planned runs on workers that have announced since they were placed that they leave, whose data centre was evacuated
    /// since, or that do not answer any more, and with them the rest of their gangs, before any of them is ordered to start.
    fn withdraw_starts_on_emptied_workers(&mut self, starts: &[(TaskKey, RunNumber)], now: Now) {
        for (task, number) in starts {
            let run = self.runs.get(task);
            let run = run.filter(|run| run.number == *number && run.phase == RunPhase::Planned);
            let Some(run) = run else {
                continue;
            };
            let entry = self.workers.get(&run.worker.id);
            let entry = entry.filter(|entry| entry.key == run.worker);
            if entry.is_some_and(WorkerEntry::withholds_starts) {
                self.end_run(task, *number, RunEnd::NeverStarted, None, now);
            }
        }
    }

    /// Takes the orders that are to be sent to workers.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// The acknowledgement that each worker is to receive with the next report request.
    pub fn acknowledgements(&self, now: Now) -> impl Iterator<Item = Acknowledgement> {
        self.workers.values().map(move |entry| Acknowledgement {
            worker: entry.key.clone(),
            through: self.last_to_acknowledge(entry),
            extends_lease: !entry.is_unresponsive(now.boot) && !entry.is_recorded_silent,
            reports_often: entry.reports_often() || self.awaits_listed(entry.id()),
            awaits_next_incarnation: self.awaits_next_incarnation(entry, now.boot),
        })
    }

    /// The last run end of a worker that may be acknowledged: the records of all ends up to it are durable, or none is needed.
    fn last_to_acknowledge(&self, entry: &WorkerEntry) -> EndNumber {
        let durable = self
            .undurable_ends
            .last_before(&entry.key, entry.recorded_end);
        self.withheld_ends.last_before(&entry.key, durable)
    }

    /// Creates the order that starts a planned run, and moves the run to `RunPhase::Ordered`.
    ///
    /// If the advisor decides for the queue and there is no usable ticket, the run ends without an order.
    fn issue_start(&mut self, task: &TaskKey, number: RunNumber, now: Now) -> Option<StartOrder> {
        let run = self.runs.get(task).filter(|run| run.number == number)?;
        let job = self.jobs.get(&task.step.job)?.job.clone();
        let ticket = self.advice.ticket(&task.step, &run.worker, now.boot);
        if ticket.is_none() && self.queue_policy(&job).advice.is_some() {
            self.end_run(task, number, RunEnd::NeverStarted, None, now);
            return None;
        }
        let lease_until = self.lease_end(now.boot);
        let run = self.runs.get_mut(task)?;
        if run.number != number || run.phase != RunPhase::Planned {
            return None;
        }
        let worker = run.worker.clone();
        let deadline = now.boot.after(START_ORDER_VALIDITY);
        run.phase = RunPhase::Ordered;
        run.awaits_outcome = true;
        run.absent_after = deadline.after(START_ORDER_VALIDITY);
        // No copy has been answered yet, and none is sent after the deadline.
        run.copies_until = deadline.after(MAX_ORDER_DELAY);
        let checkpoint = run.checkpoint.clone();
        self.note_start(&task.step.job, now.wall);
        let payload = job.payload.clone();
        let entry = self.worker_mut(&worker)?;
        entry.extend_lease(lease_until);
        let info = entry.info.as_ref()?;
        Some(StartOrder {
            worker,
            address: info.address,
            data_centre: info.data_centre.clone(),
            task: task.clone(),
            run: number,
            payload,
            checkpoint,
            ticket,
            deadline,
        })
    }
}
