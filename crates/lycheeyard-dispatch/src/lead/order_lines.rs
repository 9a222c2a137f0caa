use lycheeyard_jobs::{Order, RunNumber, StepKey, StopReason, TaskKey};
use lycheeyard_protocol::{Epoch, WorkerId};
use std::collections::BTreeMap;
use tracing::info;

/// The tasks of one run of a step, each with its worker; prints as `INDEX@WORKER INDEX@WORKER`.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskList(Vec<String>);

impl TaskList {
    pub fn push(&mut self, task: &TaskKey, worker: &WorkerId) {
        self.0.push(format!("{}@{worker}", task.index));
    }
}

impl std::fmt::Display for TaskList {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0.join(" "))
    }
}

/// Logs the orders to start and to stop runs, one line for each run of a step.
pub(super) fn log_orders(orders: &[Order], epoch: Epoch) {
    let mut starts: BTreeMap<(&StepKey, RunNumber), TaskList> = BTreeMap::new();
    let mut stops: BTreeMap<(&StepKey, RunNumber, StopReason), TaskList> = BTreeMap::new();
    for order in orders {
        match order {
            Order::Start(order) => starts
                .entry((&order.task.step, order.run))
                .or_default()
                .push(&order.task, &order.worker.id),
            Order::Stop(order) => stops
                .entry((&order.task.step, order.run, order.reason))
                .or_default()
                .push(&order.task, &order.worker.id),
            Order::Throttle(_) => {}
        }
    }
    for ((step, run), tasks) in starts {
        info!(job = %step.job, %step, %run, %epoch, %tasks, "order: start");
    }
    for ((step, run, reason), tasks) in stops {
        info!(job = %step.job, %step, %run, %epoch, %reason, %tasks, "order: stop");
    }
}
