use super::JobCache;
use crate::SchedulerSettings;
use lycheeyard_clients::Store;
use lycheeyard_protocol::DataCentreId;
use lycheeyard_state::{JobStore, StateError};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tracing::debug;

/// Watches in the time that records count as fresh; each answer also shows that the connection is not silent.
const WATCHES_PER_FRESH: u32 = 3;
const WATCH_GRACE: Duration = Duration::from_secs(1);
const LIST_CALL: Duration = Duration::from_secs(5);

/// A watch does not show deletions, which only the expiry of ended jobs makes.
const LIST_EVERY: Duration = Duration::from_secs(300);
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(300);

/// Keeps the job cache in step with the store by a watch, and now and then by a whole read.
#[derive(Debug)]
pub struct RecordFollower<S> {
    jobs: JobStore<S>,
    cache: JobCache,
    data_centre: DataCentreId,
    watch_wait: Duration,
}

impl<S: Store> RecordFollower<S> {
    /// Makes a follower of a data centre's jobs.
    #[must_use]
    pub fn new(jobs: JobStore<S>, cache: JobCache, settings: &SchedulerSettings) -> Self {
        Self {
            jobs,
            cache,
            data_centre: settings.data_centre.clone(),
            watch_wait: settings.records_fresh / WATCHES_PER_FRESH,
        }
    }

    /// Follows until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let mut list_at = Instant::now();
        loop {
            let whole = list_at <= Instant::now();
            let read = async {
                if whole {
                    self.read_whole().await
                } else {
                    self.read_changes().await
                }
            };
            let result = tokio::select! {
                () = stop.cancelled() => return,
                () = self.cache.refresh_requested() => {
                    list_at = Instant::now();
                    continue;
                }
                result = read => result,
            };
            match result {
                Ok(()) if whole => list_at = Instant::now() + LIST_EVERY,
                Ok(()) => {}
                Err(err) => {
                    debug!("scheduler: job records not read: {err}");
                    tokio::time::sleep(PAUSE_AFTER_ERROR).await;
                }
            }
        }
    }

    async fn read_whole(&self) -> Result<(), StateError> {
        let asked_at = Instant::now();
        let all = self.jobs.list(&self.data_centre, asked_at + LIST_CALL);
        self.cache.replace(all.await?, asked_at);
        Ok(())
    }

    async fn read_changes(&self) -> Result<(), StateError> {
        let asked_at = Instant::now();
        let version = self.cache.version();
        let deadline = asked_at + self.watch_wait + WATCH_GRACE;
        let changes = self
            .jobs
            .changes(&self.data_centre, version, self.watch_wait, deadline);
        self.cache.merge(changes.await?, asked_at);
        Ok(())
    }
}
