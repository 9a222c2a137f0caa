use crate::ports::{Item, KeyValueStore, KvError, StoreRevision};
use std::time::Duration;
use tokio::time::Instant;
use tracing::info;

/// How long the store may take to begin the answer to a page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// All keys under some prefixes as they are read, page by page. The pages read so far are kept when a call fails, so that a
/// listing ends also where many pages take longer than the store or the network stays available.
#[derive(Debug)]
pub(crate) struct Listing {
    prefixes: Vec<String>,
    /// How many of the prefixes are listed.
    listed: usize,
    /// The last key that was read under the prefix that is being listed.
    last_key: Option<String>,
    items: Vec<Item>,
    first_revision: Option<StoreRevision>,
    begun_at: Instant,
}

impl Listing {
    /// Begins to list the keys under each of the prefixes, one prefix after the other.
    pub fn new(prefixes: Vec<String>) -> Self {
        Self {
            prefixes,
            listed: 0,
            last_key: None,
            items: Vec::new(),
            first_revision: None,
            begun_at: Instant::now(),
        }
    }

    /// Reads the missing pages. After an error the next call goes on behind the last page that was read.
    pub async fn read<S: KeyValueStore>(&mut self, store: &S) -> Result<(), KvError> {
        if self.listed == self.prefixes.len() {
            return Ok(());
        }
        while let Some(prefix) = self.prefixes.get(self.listed) {
            let deadline = Instant::now() + PAGE_TIMEOUT;
            let page = store
                .range(prefix, self.last_key.as_deref(), deadline)
                .await?;
            self.first_revision.get_or_insert(page.revision);
            self.last_key = page.items.last().map(|item| item.key.clone());
            if !page.has_more || page.items.is_empty() {
                self.listed += 1;
                self.last_key = None;
            }
            self.items.extend(page.items);
        }
        info!(
            prefix = %self.prefixes.join(" "),
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
