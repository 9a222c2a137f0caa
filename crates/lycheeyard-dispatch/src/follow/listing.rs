use crate::ports::{Item, KeyValueStore, KvError, StoreRevision};
use std::time::Duration;
use tokio::time::Instant;
use tracing::info;

/// How long the store may take to begin the answer to a page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// All keys under a prefix as they are read, page by page. The pages read so far are kept when a call fails, so that a
/// listing ends also where many pages take longer than the store or the network stays available.
#[derive(Debug)]
pub(crate) struct Listing {
    prefix: String,
    items: Vec<Item>,
    first_revision: Option<StoreRevision>,
    is_complete: bool,
    begun_at: Instant,
}

impl Listing {
    /// Begins to list the keys under a prefix.
    pub fn new(prefix: &str) -> Self {
        Self {
            prefix: prefix.to_owned(),
            items: Vec::new(),
            first_revision: None,
            is_complete: false,
            begun_at: Instant::now(),
        }
    }

    /// Reads the missing pages. After an error the next call goes on behind the last page that was read.
    pub async fn read<S: KeyValueStore>(&mut self, store: &S) -> Result<(), KvError> {
        if self.is_complete {
            return Ok(());
        }
        while !self.is_complete {
            let after = self.items.last().map(|item| item.key.clone());
            let deadline = Instant::now() + PAGE_TIMEOUT;
            let page = store
                .range(&self.prefix, after.as_deref(), deadline)
                .await?;
            self.first_revision.get_or_insert(page.revision);
            self.is_complete = !page.has_more || page.items.is_empty();
            self.items.extend(page.items);
        }
        info!(
            prefix = %self.prefix,
            items = self.items.len(),
            took_ms = self.begun_at.elapsed().as_millis(),
            "follow: listed all keys"
        );
        Ok(())
    }

    /// Returns the items that were read.
    pub fn items(&self) -> &[Item] {
        &self.items
    }

    /// Returns the revision of the first page; later changes may or may not be included.
    pub fn revision(&self) -> StoreRevision {
        self.first_revision.unwrap_or_default()
    }

    /// Takes the items that were read.
    pub fn take_items(&mut self) -> Vec<Item> {
        std::mem::take(&mut self.items)
    }
}
