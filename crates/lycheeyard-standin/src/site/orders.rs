use super::{
    SimulatedSite,
    simulated_run::{RunRole, SimulatedRun},
    simulated_site::LateOrder,
};
use lycheeyard_jobs::{BootTime, Order, RunEnd, StartAnswer, StartOrder, StopOrder, ThrottleOrder};
use lycheeyard_protocol::{Epoch, Percent};
use std::time::Duration;

const STOP_DURATION: Duration = Duration::from_millis(100);
/// The time from the start of a long-running task until it is ready.
const STARTUP_TIME: Duration = Duration::from_millis(500);
const MILLI: f64 = 1000.0;

impl SimulatedSite {
    /// Delivers an order to its worker, or delays or drops it according to the worker's faults.
    pub(super) fn deliver(&mut self, order: Order) {
        let epoch = self.call_epochs.of(order.worker());
        let Some(worker) = self.workers.get(&order.worker().id) else {
            return;
        };
        if worker.down_until.is_some() {
            if let Order::Start(order) = order {
                self.answer_start(&order, StartAnswer::Unreachable);
            }
            return;
        }
        if worker.faults.is_partitioned || worker.faults.order_delay.is_some() {
            if let Some(delay) = worker.faults.order_delay {
                self.late_orders.push(LateOrder {
                    order: order.clone(),
                    due_at: self.now.boot.after(delay),
                    sent_at: self.now.boot,
                    epoch,
                });
            }
            if let Order::Start(order) = order {
                self.answer_start(&order, StartAnswer::Unclear);
            }
            return;
        }
        match order {
            Order::Start(order) => {
                let answer = self.start(&order, epoch, self.now.boot);
                let answer = self.answer_before_crash(&order.task, answer);
                self.answer_start(&order, answer);
            }
            Order::Stop(order) => {
                self.stop(&order, epoch);
                let now = self.now;
                self.scheduler
                    .stop_answered(&order.task, order.run, &order.worker, now);
            }
            Order::Throttle(order) => {
                self.throttle(&order, epoch);
                self.scheduler
                    .throttle_answered(&order.task, order.run, order.share);
            }
        }
    }

    fn answer_start(&mut self, order: &StartOrder, answer: StartAnswer) {
        self.scheduler
            .start_answered(&order.task, order.run, &order.worker, answer, self.now);
    }

    pub(super) fn execute_late_orders(&mut self) {
        let now = self.now.boot;
        let late = std::mem::take(&mut self.late_orders).into_iter();
        let (due, later) = late.partition(|late: &LateOrder| late.due_at.is_past(now));
        self.late_orders = later;
        for late in due {
            match late.order {
                Order::Start(order) if !order.deadline.is_past(now) => {
                    self.start(&order, late.epoch, late.sent_at);
                }
                Order::Start(_) => {}
                Order::Stop(order) => self.stop(&order, late.epoch),
                Order::Throttle(order) => self.throttle(&order, late.epoch),
            }
        }
    }

    /// Executes a start order as a worker does.
    fn start(&mut self, order: &StartOrder, epoch: Epoch, sent_at: BootTime) -> StartAnswer {
        let Some(job) = self.records.jobs.get(&order.task.step.job).cloned() else {
            return StartAnswer::NotStarted;
        };
        let step = job.steps[order.task.step.step].clone();
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&order.worker.id) else {
            return StartAnswer::NotStarted;
        };
        if epoch < worker.epoch || worker.down_until.is_some() {
            return StartAnswer::NotStarted;
        }
        worker.epoch = epoch;
        worker.lease_until = worker.lease_until.max(order.deadline);
        let current = worker.runs.get(&order.task);
        if current.is_some_and(|run| run.number == order.run) {
            return StartAnswer::Present;
        }
        let last_closed = worker.last_closed.get(&order.task).copied();
        if last_closed.is_some_and(|closed| closed >= order.run) {
            return StartAnswer::Refused;
        }
        let policy = self.policy.queues.get(&job.queue).unwrap_or(&job.policy);
        if policy.advice.is_some() && !self.advisor.accepts(order, now.boot) {
            // Only orders that arrive without delay count: the ticket of a delayed order may have expired in transit.
            self.advisor.refused_tickets += usize::from(sent_at == now.boot);
            return StartAnswer::NoTicket;
        }
        let used = worker.used().saturating_add(&step.reserved());
        let fits = worker.allows(&used, now.boot);
        if !fits && worker.enforces_capacity {
            self.refused_starts += 1;
            return StartAnswer::NoRoom;
        }
        self.check_start(order, &job, fits, sent_at);
        let has_local_data = step
            .data_rack
            .as_ref()
            .is_none_or(|rack| *rack == self.workers[&order.worker.id].info.rack);
        let slowdown = if has_local_data {
            1
        } else {
            self.limits.remote_slowdown
        };
        let estimate = Duration::from_millis(step.expected_ms);
        let key = (job.id.clone(), order.task.step.step);
        let run_time = self.run_times.get(&key).copied().unwrap_or(estimate);
        let run_time = if step.long_running {
            STARTUP_TIME
        } else {
            run_time
        };
        let saved = order.checkpoint.as_ref();
        let saved = saved.and_then(|saved| saved.0.parse().ok());
        let fails = self.failing_jobs.contains(&job.id);
        let factor = self.task_factors.get(&order.task).copied();
        let total = (run_time * slowdown).mul_f64(factor.unwrap_or(1.0));
        let begun = self.begun_at.entry(job.id.clone());
        begun.or_insert(now.wall);
        let Some(worker) = self.workers.get_mut(&order.worker.id) else {
            return StartAnswer::NotStarted;
        };
        let fails_at = if worker.faults.fails_at_once {
            Some(Duration::ZERO)
        } else {
            (fails || worker.faults.fails).then_some(total / 2)
        };
        worker.runs.insert(
            order.task.clone(),
            SimulatedRun {
                number: order.run,
                demand: step.reserved(),
                role: RunRole::of(&step),
                cpu_share: Percent(100),
                total,
                done: Duration::from_millis(saved.unwrap_or(0)),
                fails_at,
                checkpointing: step.checkpointing,
                is_gang: step.gang,
                same_rack: step.same_rack,
                started_at: now.boot,
                ending: None,
            },
        );
        StartAnswer::Present
    }

    fn throttle(&mut self, order: &ThrottleOrder, epoch: Epoch) {
        let Some(worker) = self.workers.get_mut(&order.worker.id) else {
            return;
        };
        if epoch < worker.epoch {
            return;
        }
        worker.epoch = epoch;
        let run = worker.runs.get_mut(&order.task);
        if let Some(run) = run.filter(|run| run.number == order.run) {
            run.cpu_share = order.share;
        }
    }

    fn stop(&mut self, order: &StopOrder, epoch: Epoch) {
        let at = self.now.boot.after(STOP_DURATION);
        let Some(worker) = self.workers.get_mut(&order.worker.id) else {
            return;
        };
        if epoch < worker.epoch {
            return;
        }
        worker.epoch = epoch;
        let last_closed = worker.last_closed.entry(order.task.clone()).or_default();
        *last_closed = (*last_closed).max(order.run);
        let Some(run) = worker.runs.get(&order.task) else {
            return;
        };
        if run.number != order.run {
            return;
        }
        if !run.checkpointing && run.ending.is_none() {
            #[expect(clippy::cast_precision_loss, reason = "the sum is only compared")]
            let weight = run.demand.weighted_cpu_milli() as f64 / MILLI;
            self.wasted_core_s += weight * run.done.as_secs_f64();
        }
        worker.begin_ending(&order.task, RunEnd::Stopped, at);
    }
}
