use super::closed_queues::ClosedQueues;
use crate::metrics::record_backlogs;
use lycheeyard_jobs::{
    AdmissionControl, BootTime, JobScheduler, Now, OrganisationQueue, QueueBacklog, QueueChange,
    QueueState,
};
use lycheeyard_protocol::QueueId;
use std::{collections::BTreeMap, time::Duration};
use tokio::{sync::watch, time::Instant};
use tracing::info;

/// How often the backlogs are computed. Urgent jobs have the shortest acceptable wait, which is several seconds.
const INTERVAL: Duration = Duration::from_millis(500);

/// Decides during a term which queues are closed, and passes that on to the store.
pub(super) struct Admission {
    control: AdmissionControl,
    wanted: watch::Sender<ClosedQueues>,
    decide_at: Instant,
}

impl Admission {
    /// Begins a term, in which `wanted` tells the writer which queues are closed.
    pub fn new(wanted: watch::Sender<ClosedQueues>, now: BootTime) -> Self {
        Self {
            control: AdmissionControl::new(now),
            wanted,
            decide_at: Instant::now(),
        }
    }

    /// Recomputes the backlogs and the closed queues, at most once per [`INTERVAL`].
    pub fn update(&mut self, scheduler: &JobScheduler, now: Now) {
        if self.decide_at > Instant::now() {
            return;
        }
        self.decide_at = Instant::now() + INTERVAL;
        let loads = scheduler.service_loads(now);
        let changes = self.control.update(&loads, now);
        changes.iter().for_each(log_change);
        record_backlogs(self.control.backlogs());
        let closed = self.control.closed();
        self.wanted.send_if_modified(|wanted| {
            let is_changed = *wanted != closed;
            *wanted = closed;
            is_changed
        });
    }
}

impl Drop for Admission {
    /// Resets the gauges of the backlogs, which are not known after the end of the term.
    fn drop(&mut self) {
        let none: BTreeMap<QueueId, QueueBacklog> = self
            .control
            .backlogs()
            .keys()
            .map(|queue| (queue.clone(), QueueBacklog::default()))
            .collect();
        record_backlogs(&none);
    }
}

fn log_change(change: &QueueChange) {
    let OrganisationQueue {
        queue,
        organisation,
    } = &change.of;
    let backlog_ms = change.wait.as_millis();
    let longest_wait_ms = change.longest_wait.unwrap_or_default().as_millis();
    match change.state {
        QueueState::Closed => {
            info!(%queue, %organisation, backlog_ms, longest_wait_ms, "admission: closed");
        }
        QueueState::Open => info!(%queue, %organisation, backlog_ms, "admission: opened"),
    }
}
