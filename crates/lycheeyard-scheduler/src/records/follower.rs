use super::JobCache;
use crate::SchedulerSettings;
use lycheeyard_clients::Store;
use lycheeyard_protocol::DataCentreId;
use lycheeyard_state::{JobStore, StateError};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tracing::debug;

/// How many watch calls fit in the time that records count as fresh. Each answer also shows that the connection works.
const WATCHES_PER_FRESHNESS_PERIOD: u32 = 3;
const WATCH_GRACE: Duration = Duration::from_secs(1);
const LIST_CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The time between two full reads. A watch does not report deletions, which occur only when ended jobs expire.
const LIST_INTERVAL: Duration = Duration::from_secs(300);
const ERROR_BACKOFF: Duration = Duration::from_millis(300);

/// Keeps the job cache up to date with a watch on the store and a periodic full read.
#[derive(Debug)]
pub struct RecordFollower<S> {
    jobs: JobStore<S>,
    cache: JobCache,
    data_centre: DataCentreId,
    watch_wait: Duration,
}

impl<S: Store> RecordFollower<S> {
    /// Creates a follower for the jobs of the settings' data centre.
    #[must_use]
    pub fn new(jobs: JobStore<S>, cache: JobCache, settings: &SchedulerSettings) -> Self {
        Self {
            jobs,
            cache,
            data_centre: settings.data_centre.clone(),
            watch_wait: settings.records_freshness / WATCHES_PER_FRESHNESS_PERIOD,
        }
    }

    /// Updates the cache until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let mut list_at = Instant::now();
        loop {
            let is_full_read = list_at <= Instant::now();
            let read = async {
                if is_full_read {
                    self.read_all().await
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
                Ok(()) if is_full_read => list_at = Instant::now() + LIST_INTERVAL,
                Ok(()) => {}
                Err(err) => {
                    debug!("scheduler: failed to read the job records: {err}");
                    tokio::time::sleep(ERROR_BACKOFF).await;
                }
            }
        }
    }

    async fn read_all(&self) -> Result<(), StateError> {
        let requested_at = Instant::now();
        let all = self
            .jobs
            .list(&self.data_centre, requested_at + LIST_CALL_TIMEOUT);
        self.cache.replace(all.await?, requested_at);
        Ok(())
    }

    async fn read_changes(&self) -> Result<(), StateError> {
        let requested_at = Instant::now();
        let version = self.cache.version();
        let deadline = requested_at + self.watch_wait + WATCH_GRACE;
        let changes = self
            .jobs
            .changes(&self.data_centre, version, self.watch_wait, deadline);
        self.cache.merge(changes.await?, requested_at);
        Ok(())
    }
}
