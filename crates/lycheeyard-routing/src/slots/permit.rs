use super::SlotTable;
use crate::Runner;
use lycheeyard_policy::Grant;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// A slot of a runner; dropping it releases the slot to the next waiting request.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    pub runner: Arc<Runner>,
    grant: Grant,
    table: SlotTable,
    started_at: Instant,
    latency: Option<Duration>,
}

impl SlotPermit {
    pub fn new(runner: Arc<Runner>, grant: Grant, table: SlotTable) -> Self {
        Self {
            runner,
            grant,
            table,
            started_at: Instant::now(),
            latency: None,
        }
    }

    /// Returns the position of the runner, which the next try should avoid.
    pub fn position(&self) -> usize {
        self.grant.runner
    }

    /// Records the time since the slot was granted as the runner's response time.
    pub fn record_answer(&mut self) {
        self.latency = Some(self.started_at.elapsed());
        self.runner.record_success();
    }

    /// Pauses new requests to the runner after a connection to it could not be opened.
    pub fn pause_runner(&self) {
        let pause = self.runner.record_failure();
        self.table.pause(&self.grant, pause);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.table.release(&self.grant, self.latency);
    }
}
