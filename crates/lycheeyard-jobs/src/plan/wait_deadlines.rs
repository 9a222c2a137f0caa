use super::{
    despite_preferences::counts_anywhere_soon, pending_step::PendingStep,
    room_deadlines::RoomPlace, step_room::SiteRoom, step_wait::StepWait,
};
use crate::{
    BootTime, StepKey, WorkerExclusion,
    scheduler::{JobEntry, JobScheduler, Now},
};
use lycheeyard_protocol::Timestamp;
use std::time::Duration;

impl JobScheduler {
    /// Returns the stored deadline that ends a wait, or after which it may end; `None` if there is none. A deadline that has passed may
    /// be one that the next planning round uses.
    pub(crate) fn wait_ends_at(
        &self,
        entry: &JobEntry,
        key: &StepKey,
        wait: &StepWait,
        site: &SiteRoom,
        now: Now,
    ) -> Option<BootTime> {
        let despite_preferences =
            |place| self.starts_despite_preferences_at(entry, key, place, site);
        match wait {
            StepWait::RunNotEnded { until, .. } => *until,
            StepWait::RestartDelay => restart_at(entry, key, now.boot),
            StepWait::Reservation { until } => Some(*until),
            StepWait::Reserved { step } => {
                let reservation = self.reservations.get(step);
                reservation.map(|reservation| reservation.expires_at)
            }
            StepWait::OtherRack => earlier(
                self.leaves_rack_at(entry, key, now),
                despite_preferences(RoomPlace::Anywhere),
            ),
            StepWait::NoWorker { .. } | StepWait::NoRoom { .. } => earlier(
                self.exclusion_ends_at(entry, key, now),
                despite_preferences(RoomPlace::Anywhere),
            ),
            StepWait::Headroom | StepWait::Drained { .. } => {
                despite_preferences(RoomPlace::Preferred)
            }
            StepWait::Starting { .. }
            | StepWait::RecordNotDurable { .. }
            | StepWait::RecordFull
            | StepWait::NoPermit
            | StepWait::EarlierFailure
            | StepWait::NextRound => None,
        }
    }

    /// The first deadline after which a step takes the room that is there for it in a place, whatever it prefers.
    fn starts_despite_preferences_at(
        &self,
        entry: &JobEntry,
        key: &StepKey,
        place: RoomPlace,
        site: &SiteRoom,
    ) -> Option<BootTime> {
        let service = &self.queue_policy(&entry.job).service;
        let step = entry.job.steps.get(key.step)?;
        let deadlines = entry.room_deadlines.get(key)?;
        deadlines.first(place, counts_anywhere_soon(step, service, &site.hosts))
    }

    /// When a step has waited for its rack for as long as the others would slow it down, or for as long as its guarantee allows.
    fn leaves_rack_at(&self, entry: &JobEntry, key: &StepKey, now: Now) -> Option<BootTime> {
        let policy = self.queue_policy(&entry.job);
        let times = &self.run_times;
        let pending =
            PendingStep::for_step(entry, key.clone(), usize::MAX, policy, times, now.boot)?;
        let leaves_at = now.boot.after(self.remote_from(&pending).since(now.wall));
        let guaranteed_at = self.leaves_rack_inside_guarantee_at(key);
        Some(guaranteed_at.map_or(leaves_at, |at| at.min(leaves_at)))
    }

    /// When a step has waited for the extra run time that another rack costs.
    fn remote_from(&self, pending: &PendingStep) -> Timestamp {
        let extra_factor = self.limits.remote_slowdown.saturating_sub(1);
        let extra_ms = pending.expected_ms.saturating_mul(u64::from(extra_factor));
        let due = pending.job.due_at(pending.key.occurrence);
        due.after(Duration::from_millis(extra_ms))
    }

    /// When the first suitable worker accepts runs again that is in quarantine or full. Its room may not suffice.
    fn exclusion_ends_at(&self, entry: &JobEntry, key: &StepKey, now: Now) -> Option<BootTime> {
        let service = &self.queue_policy(&entry.job).service;
        let step = &entry.job.steps[key.step];
        let suitable = self.workers.values().filter(|worker| {
            let info = worker.info.as_ref();
            info.is_some_and(|info| info.is_suitable(step, service))
        });
        let ends = suitable.filter_map(|worker| match worker.exclusion(now.boot)? {
            WorkerExclusion::Quarantined => Some(worker.quarantined_until.max(worker.full_until)),
            WorkerExclusion::Full => Some(worker.full_until),
            _ => None,
        });
        ends.min()
    }
}

/// The earlier of two deadlines, of which either may be missing.
fn earlier(a: Option<BootTime>, b: Option<BootTime>) -> Option<BootTime> {
    a.into_iter().chain(b).min()
}

/// When the first task of a step that failed soon after its start may start again.
fn restart_at(entry: &JobEntry, key: &StepKey, now: BootTime) -> Option<BootTime> {
    let restarts = entry.restarts.range(key.task(0)..);
    let restarts = restarts.take_while(|(task, _)| task.step == *key);
    let times = restarts.map(|(_, restart)| restart.not_before);
    times.filter(|at| !at.is_past(now)).min()
}
