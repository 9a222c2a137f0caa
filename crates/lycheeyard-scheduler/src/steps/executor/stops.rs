use super::{Effect, Executor, PREPARE_LEASE, StartOrders, StopProgress, advance_stop};
use crate::SchedulerError;
use lycheeyard_clients::{Store, Workers};
use lycheeyard_policy::JobKey;
use lycheeyard_protocol::{JobRecord, JobState, StopNote, Timestamp};
use lycheeyard_state::StoredJob;
use std::time::Duration;
use tokio::time::Instant;
use tracing::info;

impl<S: Store, W: Workers> Executor<S, W> {
    pub(super) async fn begin_stop(
        &self,
        stored: &StoredJob,
        note: StopNote,
        reason: String,
        reclaim: bool,
    ) -> Result<Effect, SchedulerError> {
        let mut record = stored.record.clone();
        info!("scheduler: stopping job {}: {reason}", JobKey::of(&record));
        record.state = JobState::Stopping;
        record.stopping = Some(note);
        record.reclaims += u32::from(reclaim);
        record.reason = reason;
        let stored = self.save(stored, record).await?;
        self.continue_stop(stored).await
    }

    /// Takes back a start that the evacuation of the data centre overtook; the job returns to the queue as a whole.
    pub(super) async fn withdraw(
        &self,
        stored: &StoredJob,
        orders: StartOrders,
    ) -> Result<Effect, SchedulerError> {
        let note = StopNote {
            never_started: orders == StartOrders::NoneSent,
            ..StopNote::immediate(Timestamp::now())
        };
        let reason = format!(
            "withdrawn: data centre {} is evacuated",
            self.settings.data_centre
        );
        self.begin_stop(stored, note, reason, false).await
    }

    pub(super) async fn continue_stop(&self, stored: StoredJob) -> Result<Effect, SchedulerError> {
        let held = self.check_lease()?;
        let record = &stored.record;
        let Some(note) = &record.stopping else {
            let record = JobRecord {
                stopping: Some(StopNote::immediate(Timestamp::now())),
                ..record.clone()
            };
            self.save(&stored, record).await?;
            return Ok(Effect::default());
        };
        let checkpoint = !note.checkpoint_until.is_past(Timestamp::now());
        let sent_at = Some(Instant::now());
        self.gangs.stop(record, checkpoint).await;
        let view =
            self.reports
                .gang_view(record, sent_at, held.epoch, self.settings.silence_limit());
        self.check_lease()?;
        let now = Timestamp::now();
        let mut failed_on = note.failed_on.clone();
        failed_on.extend(view.failed_on());
        // The next attempt runs on other workers, which shows whether the job or this worker is at fault.
        for worker in &failed_on {
            self.reports.avoid(worker);
        }
        let quarantined = self.statistics.observe_failures(record, &failed_on);
        let expiry = if note.never_started {
            PREPARE_LEASE + self.settings.clock_error
        } else {
            self.settings.stop_expiry()
        };
        match advance_stop(record, &view, now, expiry, &quarantined) {
            StopProgress::Unchanged => {}
            StopProgress::PartlyReleased(next) => {
                self.save(&stored, next).await?;
            }
            StopProgress::Released(next) => self.save_released(&stored, next).await?,
        }
        Ok(Effect {
            sent_at,
            backoff: Duration::ZERO,
        })
    }

    pub(super) async fn save_released(
        &self,
        stored: &StoredJob,
        next: JobRecord,
    ) -> Result<(), SchedulerError> {
        let saved = self.save(stored, next).await?;
        self.statistics.observe_end(&stored.record, &saved.record);
        info!(
            "scheduler: job {} is now {}",
            JobKey::of(&saved.record),
            saved.record.state
        );
        self.record_release(&saved.record);
        Ok(())
    }
}
