use super::{event::EventSender, requests::read_request};
use crate::{
    keys,
    ports::{Item, KeyValueStore},
};
use lycheeyard_clients::Backoff;
use lycheeyard_protocol::JobId;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Reads submissions and sends them to the scheduling loop.
pub(super) struct SubmissionReader<S> {
    pub store: S,
    pub events: EventSender,
}

impl<S: KeyValueStore> SubmissionReader<S> {
    /// Reads the submissions of the jobs, one after the other. One that no longer exists is skipped.
    pub async fn read(self, ids: Vec<JobId>) {
        for id in ids {
            let item = self.read_item(&id).await;
            let Some(event) = item.as_ref().and_then(read_request) else {
                continue;
            };
            if self.events.send(event).is_err() {
                return;
            }
        }
    }

    /// Reads a submission, and tries again until the store answers.
    async fn read_item(&self, id: &JobId) -> Option<Item> {
        let key = keys::job(id);
        let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
        let mut failures: u32 = 0;
        loop {
            let deadline = Instant::now() + CALL_TIMEOUT;
            match self.store.get(&key, deadline).await {
                Ok(response) => {
                    if failures > 0 {
                        info!(job = %id, failures, "lead: the missed submission is read");
                    }
                    return response.item;
                }
                Err(err) if failures == 0 => {
                    warn!(job = %id, %err, "lead: a missed submission cannot be read; trying again");
                }
                Err(_) => {}
            }
            failures = failures.saturating_add(1);
            backoff.wait().await;
        }
    }
}
