use super::{CallClass, ResolvedWrite, StoreError, WriteOutcome, resolve::resolve_write};
use lycheeyard_protocol::platform::{
    Expectation, KeyValue, RangeReply, RangeRequest, WatchRequest, WriteRequest,
};
use std::future::Future;
use tokio::time::Instant;

/// The platform's key-value store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a page of the entries whose keys start with a prefix.
    ///
    /// # Errors
    /// Fails when the store does not answer before `deadline`.
    fn range(
        &self,
        class: CallClass,
        req: RangeRequest,
        deadline: Instant,
    ) -> impl Future<Output = Result<RangeReply, StoreError>> + Send;

    /// Sends one conditional write.
    ///
    /// # Errors
    /// Fails when the write certainly took no effect.
    fn write(
        &self,
        class: CallClass,
        req: WriteRequest,
        deadline: Instant,
    ) -> impl Future<Output = Result<WriteOutcome, StoreError>> + Send;

    /// Waits until an entry under a prefix is newer than a version, or for the time in `req` at most.
    ///
    /// # Errors
    /// Fails when the store does not answer before `deadline`.
    fn watch(
        &self,
        class: CallClass,
        req: WatchRequest,
        deadline: Instant,
    ) -> impl Future<Output = Result<RangeReply, StoreError>> + Send;

    /// Reads one key.
    ///
    /// # Errors
    /// Fails when the store does not answer before `deadline`.
    fn get(
        &self,
        class: CallClass,
        key: &str,
        deadline: Instant,
    ) -> impl Future<Output = Result<Option<KeyValue>, StoreError>> + Send {
        let key = key.to_owned();
        let req = RangeRequest {
            prefix: key.clone(),
            after: None,
            limit: 1,
        };
        async move {
            let reply = self.range(class, req, deadline).await?;
            Ok(reply.entries.into_iter().find(|entry| entry.key == key))
        }
    }

    /// Writes the value of one key if the expectation holds.
    ///
    /// # Errors
    /// Fails when the write certainly took no effect.
    fn put(
        &self,
        class: CallClass,
        key: String,
        value: String,
        expect: Expectation,
        deadline: Instant,
    ) -> impl Future<Output = Result<WriteOutcome, StoreError>> + Send {
        let req = WriteRequest {
            key,
            value: Some(value),
            expect,
            expires_in_ms: None,
        };
        self.write(class, req, deadline)
    }

    /// Sends a conditional write and retries it until its outcome is known.
    ///
    /// The value must contain a nonce, so that its writer recognises it after a lost response. A key that
    /// is written this way with [`Expectation::Absent`] must never be deleted.
    ///
    /// # Errors
    /// Fails when the write certainly took no effect and cannot do so later.
    fn write_until_resolved(
        &self,
        class: CallClass,
        req: WriteRequest,
        deadline: Instant,
    ) -> impl Future<Output = Result<ResolvedWrite, StoreError>> + Send {
        resolve_write(self, class, req, deadline)
    }
}
