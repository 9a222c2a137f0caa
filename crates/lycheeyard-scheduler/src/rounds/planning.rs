use super::{Rounds, SchedulingState};
use crate::{
    steps::{JobStep, StepOutcome},
    workers::PollSchedule,
};
use lycheeyard_clients::{Store, Workers};
use lycheeyard_policy::{Action, JobKey, Snapshot, StopReason, plan};
use lycheeyard_protocol::{
    AuditEvent, DataCentre, JobRecord, JobState, StopNote, Timestamp, WorkerId,
};
use lycheeyard_state::{Configuration, HeldLease};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::{task::JoinSet, time::Instant};

/// The time between two plans while no job is queued.
const IDLE_PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// A worker gets no new tasks after it has been silent for two observation intervals plus this margin.
const USABLE_SILENCE_MARGIN: Duration = Duration::from_millis(1500);

impl<S: Store, W: Workers> Rounds<S, W> {
    /// Plans and starts the steps of the plan. While no job is queued, most rounds skip this.
    pub(super) fn plan(
        &self,
        state: &mut SchedulingState,
        steps: &mut JoinSet<Option<StepOutcome>>,
        config: &Configuration,
        data_centre: &DataCentre,
        held: HeldLease,
    ) {
        let records = self.executor.cache.records();
        let now = Instant::now();
        let queued = records.values().any(|job| job.state == JobState::Queued);
        if !queued && state.next_idle_plan_at.is_some_and(|at| at > now) {
            return;
        }
        state.next_idle_plan_at = Some(now + IDLE_PLAN_INTERVAL);
        let snapshot = self.take_snapshot(&records, state, config, data_centre);
        self.metrics.observe(&snapshot, held.epoch);
        for action in plan(&snapshot, Timestamp::now()) {
            self.apply_action(action, state, steps);
        }
    }

    /// Takes a snapshot for the policy. Queued jobs for which no step may start are left out.
    fn take_snapshot(
        &self,
        records: &BTreeMap<JobKey, JobRecord>,
        state: &SchedulingState,
        config: &Configuration,
        data_centre: &DataCentre,
    ) -> Snapshot {
        let has_pending_step =
            |key: &JobKey| records[key].state == JobState::Queued && !state.may_step(key);
        let mut snapshot = Snapshot::new(data_centre.clone(), config.organisations.clone());
        snapshot.evacuation = config.evacuations.get(&data_centre.id).copied();
        snapshot.unavailable = self.silent_workers(data_centre);
        let statistics = self.executor.statistics.current();
        snapshot.quarantined = statistics.health.quarantined(Timestamp::now());
        snapshot
            .unavailable
            .extend(snapshot.quarantined.iter().cloned());
        snapshot.usage = statistics.usage;
        snapshot.corrections = statistics.corrections;
        snapshot.jobs = records
            .iter()
            .filter(|(key, _)| !has_pending_step(key))
            .map(|(key, record)| (key.clone(), record.clone()))
            .collect();
        snapshot
    }

    /// The configured workers that are not listed or whose last report is too old for new tasks.
    fn silent_workers(&self, data_centre: &DataCentre) -> BTreeSet<WorkerId> {
        let interval = PollSchedule::observation_interval(data_centre.workers().count());
        let silence = interval * 2 + USABLE_SILENCE_MARGIN;
        let usable = |worker: &WorkerId| {
            self.table.contains(worker) && self.executor.reports.is_usable(worker, silence)
        };
        let workers = data_centre.workers().map(|worker| &worker.id);
        workers.filter(|worker| !usable(worker)).cloned().collect()
    }

    fn apply_action(
        &self,
        action: Action,
        state: &mut SchedulingState,
        steps: &mut JoinSet<Option<StepOutcome>>,
    ) {
        let (key, step) = match action {
            Action::Start { job, placement } => {
                self.metrics.placements.add(1, &[]);
                (job, JobStep::Start(placement))
            }
            Action::Stop {
                job,
                reason,
                checkpoint,
                checkpoint_until,
            } => {
                let step = stop_step(&reason, checkpoint.then_some(checkpoint_until));
                if state.may_step(&job) {
                    self.record_reclaim(&job, &reason);
                }
                (job, step)
            }
            Action::Retire { job, reason } => {
                let step = JobStep::Finish {
                    state: JobState::Failed,
                    reason,
                };
                (job, step)
            }
        };
        if state.may_step(&key) {
            self.spawn_step(key, step, state, steps);
        }
    }

    fn record_reclaim(&self, job: &JobKey, reason: &StopReason) {
        if let StopReason::Reclaim { claimant } = reason {
            self.metrics.reclaims.add(1, &[]);
            self.executor.audit.record(AuditEvent::JobReclaimed {
                organisation: job.organisation.clone(),
                job: job.job.clone(),
                claimant: claimant.clone(),
            });
        }
    }
}

fn stop_step(reason: &StopReason, checkpoint_until: Option<Timestamp>) -> JobStep {
    JobStep::BeginStop {
        note: StopNote {
            checkpoint_until: checkpoint_until.unwrap_or(Timestamp(0)),
            ..StopNote::immediate(Timestamp::now())
        },
        reason: format!("stopped: {reason}"),
        reclaim: matches!(reason, StopReason::Reclaim { .. }),
    }
}
