use super::event::{Event, EventSender};
use crate::{
    keys::ENDED,
    ports::{Item, KeyValueStore},
};
use lycheeyard_jobs::EndedJob;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tracing::{info, warn};

/// The pause before each page. A page is not urgent: the records are kept for minutes.
const PAGE_PAUSE: Duration = Duration::from_secs(5);
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Lists the jobs that earlier terms have archived, so that their records are removed in time.
pub(super) struct ArchiveLister<S> {
    pub store: S,
    pub events: EventSender,
}

impl<S: KeyValueStore> ArchiveLister<S> {
    /// Lists the archive once, one page after the other.
    pub async fn run(self) {
        let mut last_key: Option<String> = None;
        let mut jobs = 0;
        loop {
            sleep(PAGE_PAUSE).await;
            let deadline = Instant::now() + PAGE_TIMEOUT;
            let page = match self.store.range(ENDED, last_key.as_deref(), deadline).await {
                Ok(page) => page,
                Err(err) => {
                    info!(%err, "lead: a page of the archive cannot be read; trying again");
                    continue;
                }
            };
            jobs += page.items.len();
            last_key = page.items.last().map(|item| item.key.clone()).or(last_key);
            let ended = page.items.iter().filter_map(read_ended);
            if self
                .events
                .send(Event::ArchiveListed(ended.collect()))
                .is_err()
            {
                return;
            }
            if !page.has_more {
                info!(jobs, "lead: the archive is listed");
                return;
            }
        }
    }
}

fn read_ended(item: &Item) -> Option<EndedJob> {
    match serde_json::from_slice(&item.value) {
        Ok(ended) => Some(ended),
        Err(err) => {
            warn!(key = %item.key, %err, "lead: a record of the archive cannot be read");
            None
        }
    }
}
