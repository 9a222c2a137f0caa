use super::{
    Acknowledgement, Batch, JobChange, JobScheduler, Now, Order, RunPhase, StartOrder, WaveChange,
};
use crate::{RunEnd, RunNumber, TaskKey};
use std::time::Duration;

/// How long after it is sent a worker may still carry an order to start out.
const START_WINDOW: Duration = Duration::from_millis(2500);

impl JobScheduler {
    /// Takes the records that are behind, or nothing if all are durable.
    pub fn take_batch(&mut self) -> Option<Batch> {
        let mut batch = Batch {
            starts: std::mem::take(&mut self.planned_starts),
            ..Batch::default()
        };
        for id in std::mem::take(&mut self.dirty_jobs) {
            let Some(entry) = self.jobs.get_mut(&id) else {
                continue;
            };
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
        for entry in self.workers.values() {
            if entry.noted != entry.durable {
                batch.noted.insert(entry.id().clone(), entry.noted);
            }
        }
        (batch != Batch::default()).then_some(batch)
    }

    /// Takes note that a batch is durable: its runs are started and its ends may be acknowledged.
    pub fn batch_committed(&mut self, batch: Batch, now: Now) {
        for (id, noted) in batch.noted {
            if let Some(entry) = self.workers.get_mut(&id) {
                entry.durable = entry.durable.max(noted);
            }
        }
        for (task, number) in batch.starts {
            if let Some(order) = self.order_start(&task, number, now) {
                self.orders.push(Order::Start(order));
            }
        }
        for change in &batch.waves {
            self.order_recorded(change);
        }
        let gone = |entry: &super::WorkerEntry| {
            !entry.is_listed && entry.tasks.is_empty() && entry.noted == entry.durable
        };
        self.workers.retain(|_, entry| !gone(entry));
    }

    /// Takes the orders that are due.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// What each worker is to be told with the next request for a report.
    pub fn acknowledgements(&self, now: Now) -> impl Iterator<Item = Acknowledgement> {
        self.workers.values().map(move |entry| Acknowledgement {
            worker: entry.key.clone(),
            through: entry.durable,
            extends_lease: !entry.is_silent(now.boot),
            is_shared: entry.is_shared(),
        })
    }

    fn order_start(&mut self, task: &TaskKey, number: RunNumber, now: Now) -> Option<StartOrder> {
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
        let deadline = now.boot.after(START_WINDOW);
        run.phase = RunPhase::Ordered;
        run.absent_after = deadline.after(START_WINDOW);
        let checkpoint = run.checkpoint.clone();
        let payload = job.payload.clone();
        let entry = self.worker_mut(&worker)?;
        entry.lease_until = entry.lease_until.max(lease_until);
        let address = entry.info.as_ref()?.address;
        Some(StartOrder {
            worker,
            address,
            task: task.clone(),
            run: number,
            payload,
            checkpoint,
            ticket,
            deadline,
        })
    }
}
