use lycheeyard_policy::Snapshot;
use lycheeyard_protocol::{Epoch, JobState, WorkerId};
use opentelemetry::{
    global::meter,
    metrics::{Counter, Gauge},
};
use std::collections::BTreeMap;

/// The metric instruments of the scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerMetrics {
    /// The number of plans made.
    pub rounds: Counter<u64>,
    /// The number of placements that the policy decided.
    pub placements: Counter<u64>,
    /// The number of gangs stopped to return accelerators to a claimant.
    pub reclaims: Counter<u64>,
    queued_jobs: Gauge<u64>,
    running_jobs: Gauge<u64>,
    quarantined_workers: Gauge<u64>,
    idle_accelerators: Gauge<u64>,
    scattered_accelerators: Gauge<u64>,
    epoch: Gauge<u64>,
}

impl Default for SchedulerMetrics {
    fn default() -> Self {
        let meter = meter("lycheeyard");
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let gauge = |name: &'static str| meter.u64_gauge(name).build();
        Self {
            rounds: counter("lycheeyard_scheduler_rounds"),
            placements: counter("lycheeyard_scheduler_placements"),
            reclaims: counter("lycheeyard_scheduler_reclaims"),
            queued_jobs: gauge("lycheeyard_scheduler_queued_jobs"),
            running_jobs: gauge("lycheeyard_scheduler_running_jobs"),
            quarantined_workers: gauge("lycheeyard_scheduler_quarantined_workers"),
            idle_accelerators: gauge("lycheeyard_scheduler_idle_accelerators"),
            scattered_accelerators: gauge("lycheeyard_scheduler_scattered_accelerators"),
            epoch: gauge("lycheeyard_scheduler_epoch"),
        }
    }
}

impl SchedulerMetrics {
    /// Records the state that a plan starts from.
    ///
    /// Scattered accelerators are idle accelerators on workers that are partly in use.
    pub fn observe(&self, snapshot: &Snapshot, epoch: Epoch) {
        let queued = snapshot.jobs.values();
        let queued = queued.filter(|record| record.state == JobState::Queued);
        let running = snapshot.jobs.values();
        let running = running.filter(|record| record.state.holds_accelerators());
        let mut used: BTreeMap<&WorkerId, usize> = BTreeMap::new();
        let placements = snapshot
            .jobs
            .values()
            .filter_map(|record| record.placement.as_ref());
        for allocation in placements.flat_map(|placement| &placement.allocations) {
            *used.entry(&allocation.worker).or_default() += allocation.accelerators.len();
        }
        let (mut idle, mut scattered) = (0, 0);
        for worker in snapshot.data_centre.workers() {
            let taken = used.get(&worker.id).copied().unwrap_or(0);
            let left = usize::from(worker.accelerators).saturating_sub(taken);
            idle += left;
            scattered += if taken > 0 { left } else { 0 };
        }
        self.rounds.add(1, &[]);
        self.queued_jobs.record(count(queued.count()), &[]);
        self.running_jobs.record(count(running.count()), &[]);
        self.quarantined_workers
            .record(count(snapshot.quarantined.len()), &[]);
        self.idle_accelerators.record(count(idle), &[]);
        self.scattered_accelerators.record(count(scattered), &[]);
        self.epoch.record(epoch.0, &[]);
    }
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
