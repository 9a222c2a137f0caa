use crate::ports::WorkerCallError;
use lycheeyard_jobs::StopOrder;
use lycheeyard_protocol::WorkerId;
use tracing::info;

/// The stop orders to one worker that failed, for one log line.
#[derive(Debug, Default)]
pub(super) struct FailedStops {
    worker: Option<WorkerId>,
    tasks: Vec<String>,
    last_error: String,
}

impl FailedStops {
    pub fn add(&mut self, order: &StopOrder, err: &WorkerCallError) {
        self.worker = Some(order.worker.id.clone());
        self.tasks.push(order.task.to_string());
        self.last_error = err.to_string();
    }

    pub fn log(self) {
        if let Some(worker) = self.worker {
            info!(%worker, tasks = %self.tasks.join(" "), err = %self.last_error, "order: stop failed");
        }
    }
}
