use super::{
    TicketStore,
    head::{HEAD_KEY, StoredHead},
    history::write_page,
    snapshot::{delete_snapshot, write_snapshot},
};
use crate::{Configuration, StateError, error::encode, make_nonce};
use lycheeyard_clients::{CallClass, ResolvedWrite, Store};
use lycheeyard_protocol::platform::WriteRequest;
use tokio::time::Instant;

impl<S: Store> TicketStore<S> {
    /// Moves the oldest tickets of a head with two or more pages of tickets to a history page, and writes a new
    /// snapshot.
    ///
    /// Any number of instances may compact the same head at the same time. One of them replaces it; the others
    /// leave it unchanged.
    ///
    /// # Errors
    /// Fails when the store does not answer. The head is then unchanged, but a write in transit may still
    /// compact it.
    pub async fn compact(
        &self,
        known: &Configuration,
        deadline: Instant,
    ) -> Result<(), StateError> {
        let head = StoredHead::read(self.store(), deadline).await?;
        if head.content.tail.len() < 2 * self.page_length() {
            return Ok(());
        }
        self.compact_head(head, known, deadline).await
    }

    pub(super) async fn compact_head(
        &self,
        head: StoredHead,
        known: &Configuration,
        deadline: Instant,
    ) -> Result<(), StateError> {
        let store = self.store();
        let update = self.catch_up(known.clone(), &head.content, deadline);
        let config = update.await?.config;
        let mut content = head.content;
        let tail = content.tail.split_off(self.page_length());
        // The page and the entries of the ticket numbers must be readable before the head drops these tickets.
        write_page(store, &content.tail, deadline).await?;
        let obsolete = content.previous_snapshot.take();
        content.previous_snapshot = content.snapshot.take();
        content.snapshot = Some(write_snapshot(store, &config, deadline).await?);
        content.tail = tail;
        content.nonce = Some(make_nonce()?);
        let req = WriteRequest {
            key: HEAD_KEY.to_owned(),
            value: Some(encode(HEAD_KEY, &content)?),
            expect: head.expect,
            expires_in_ms: None,
        };
        let written = store.write_until_resolved(CallClass::Ticket, req, deadline);
        if let (ResolvedWrite::Applied(_), Some(obsolete)) = (written.await?, obsolete) {
            delete_snapshot(store, &obsolete, deadline).await;
        }
        Ok(())
    }
}
