use super::{InstanceSize, Term};
use crate::{
    follow::{Followed, PrefixEvent, follow_prefix},
    keys,
    ports::{CommitOutcome, Item, ItemEvent, KeyValueStore, KvError, StoreRevision, Transaction},
};
use lycheeyard_protocol::InstanceId;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// An instance asks a smaller one to hand over only after it has seen it hold the lease for this long, without a failed call.
/// It bounds how often the holder changes where a large instance comes and goes.
const STEADY_TIME: Duration = Duration::from_secs(10);
/// How long a request lasts, so that one that was not heeded does not affect a later term.
const REQUEST_DURATION: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// How long a waiting instance has seen the same holder.
#[derive(Clone, Copy, Debug)]
pub(super) struct SeenHolder {
    /// The revision of the holder's key, which identifies its term.
    revision: StoreRevision,
    ask_at: Instant,
}

impl SeenHolder {
    /// Notes a holder that was not seen before, and logs it.
    pub fn new(holder: &Item) -> Self {
        let epoch = holder.revision.0;
        info!(epoch, holder = %read_instance(&holder.value), "term: another instance schedules");
        Self {
            revision: holder.revision,
            ask_at: Instant::now() + STEADY_TIME,
        }
    }

    /// Asks a holder that is much smaller than this instance to hand over, once it has been seen for long enough.
    pub async fn ask_if_smaller<S: KeyValueStore>(
        &mut self,
        holder: &Item,
        store: &S,
        instance: &InstanceId,
        size: InstanceSize,
    ) -> Result<(), KvError> {
        if self.revision != holder.revision {
            *self = Self::new(holder);
        }
        let is_smaller =
            read_size(&holder.value).is_some_and(|held_by| size.is_much_larger(held_by));
        if !is_smaller || self.ask_at > Instant::now() {
            return Ok(());
        }
        self.ask_at = Instant::now() + STEADY_TIME;
        request_hand_over(store, holder, instance, size).await
    }
}

/// Returns the value of the scheduler's key. Each has another nonce, so that an instance recognises its own.
pub(super) fn holder_value(instance: &InstanceId, nonce: u64, size: InstanceSize) -> Vec<u8> {
    format!("{instance}/{nonce:016x}/{size}").into_bytes()
}

/// Returns the size in the value of the scheduler's key or of a request to hand over.
fn read_size(value: &[u8]) -> Option<InstanceSize> {
    let text = std::str::from_utf8(value).ok()?;
    text.rsplit('/').next()?.parse().ok()
}

/// Returns the name of the instance in the value of the scheduler's key.
fn read_instance(value: &[u8]) -> String {
    let text = String::from_utf8_lossy(value);
    let name = text.split('/').next();
    name.unwrap_or_default().to_owned()
}

async fn request_hand_over<S: KeyValueStore>(
    store: &S,
    holder: &Item,
    instance: &InstanceId,
    size: InstanceSize,
) -> Result<(), KvError> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let (lease, _) = store.grant_lease(REQUEST_DURATION, deadline).await?;
    let value = format!("{instance}/{size}").into_bytes();
    let transaction = Transaction {
        expect: vec![
            (holder.key.clone(), holder.revision),
            (keys::SUCCESSOR.to_owned(), StoreRevision(0)),
        ],
        writes: vec![(keys::SUCCESSOR.to_owned(), value, Some(lease))],
        removes: Vec::new(),
    };
    match store.commit(&transaction, deadline).await? {
        CommitOutcome::Done(_) => info!(%size, "term: asked a smaller holder to hand over"),
        CommitOutcome::Unknown => {
            warn!(%size, "term: a request to hand over got no answer; it may be stored");
        }
        CommitOutcome::NoLease => {
            warn!(%size, "term: a request to hand over is not stored, its lease has ended");
        }
        // The holder has changed, or another instance has asked.
        CommitOutcome::Conflict(_) => {}
    }
    Ok(())
}

/// Calls `hand_over` when a much larger instance asks the holder of a term to hand over. Ends when `hand_over` returns false.
pub(crate) async fn follow_hand_over_requests<S: KeyValueStore>(
    store: S,
    term: Term,
    size: InstanceSize,
    mut hand_over: impl FnMut() -> bool + Send,
) {
    let followed = Followed {
        prefix: keys::SUCCESSOR.to_owned(),
        listed: vec![keys::SUCCESSOR.to_owned()],
        watch_after: Some(term.revision),
        gap: Duration::ZERO,
        wait: WATCH_WAIT,
    };
    follow_prefix(store, followed, move |event| {
        let items = match event {
            PrefixEvent::Listed(items) => items,
            PrefixEvent::Changed(ItemEvent::Written(item)) => vec![item],
            PrefixEvent::Changed(ItemEvent::Removed(_)) => Vec::new(),
        };
        items.iter().all(|item| match read_size(&item.value) {
            Some(successor) if successor.is_much_larger(size) => hand_over(),
            Some(_) => true,
            None => {
                warn!(key = %item.key, "term: a request to hand over cannot be read");
                true
            }
        })
    })
    .await;
}
