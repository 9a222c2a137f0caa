use super::SlotTable;
use crate::Runner;
use lycheeyard_policy::Grant;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// A slot of a runner; dropping it gives the slot to the next request that waits.
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

    /// The position of the runner, to be avoided by the next try.
    pub fn position(&self) -> usize {
        self.grant.runner
    }

    /// Takes the time since the start as the runner's answer time.
    pub fn answered(&mut self) {
        self.latency = Some(self.started_at.elapsed());
        self.runner.count_success();
    }

    /// Sends no new work to the runner for a while, since no connection could be opened.
    pub fn pause_runner(&self) {
        let pause = self.runner.count_failure();
        self.table.pause(&self.grant, pause);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.table.release(&self.grant, self.latency);
    }
}
