use crate::fake_store::FakeStore;
use lycheeyard_clients::{CallClass, ResolvedWrite, Store, StoreError, WriteOutcome};
use lycheeyard_protocol::platform::{
    Expectation, RangeReply, RangeRequest, WatchRequest, WriteRequest,
};
use tokio::time::Instant;

/// A store on which a model runs: the correct one, or one that deliberately breaks the protocol.
pub trait TestStore: Store {
    fn wrap(store: FakeStore) -> Self;
}

macro_rules! wrapper {
    ($(#[$doc:meta])* $name:ident, $resolve:item) => {
        $(#[$doc])*
        #[derive(Clone)]
        pub struct $name(FakeStore);

        impl TestStore for $name {
            fn wrap(store: FakeStore) -> Self {
                Self(store)
            }
        }

        impl Store for $name {
            async fn range(
                &self,
                class: CallClass,
                req: RangeRequest,
                deadline: Instant,
            ) -> Result<RangeReply, StoreError> {
                self.0.range(class, req, deadline).await
            }

            async fn write(
                &self,
                class: CallClass,
                req: WriteRequest,
                deadline: Instant,
            ) -> Result<WriteOutcome, StoreError> {
                self.0.write(class, req, deadline).await
            }

            async fn watch(
                &self,
                class: CallClass,
                req: WatchRequest,
                deadline: Instant,
            ) -> Result<RangeReply, StoreError> {
                self.0.watch(class, req, deadline).await
            }

            $resolve
        }
    };
}

wrapper!(
    /// Resolves writes as in production.
    Correct,
    async fn write_until_resolved(
        &self,
        class: CallClass,
        req: WriteRequest,
        deadline: Instant,
    ) -> Result<ResolvedWrite, StoreError> {
        self.0.write_until_resolved(class, req, deadline).await
    }
);

wrapper!(
    /// Reads the key once after a lost answer, and treats a key with another value as a failed write.
    SingleReadBack,
    async fn write_until_resolved(
        &self,
        class: CallClass,
        req: WriteRequest,
        deadline: Instant,
    ) -> Result<ResolvedWrite, StoreError> {
        match self.0.write(class, req.clone(), deadline).await? {
            WriteOutcome::Applied(version) => Ok(ResolvedWrite::Applied(version)),
            WriteOutcome::Conflict(present) => Ok(ResolvedWrite::Conflict(present)),
            WriteOutcome::Unknown => match self.0.get(class, &req.key, deadline).await? {
                Some(entry) if Some(&entry.value) == req.value.as_ref() => {
                    Ok(ResolvedWrite::Applied(entry.version))
                }
                present => Ok(ResolvedWrite::Conflict(present)),
            },
        }
    }
);

wrapper!(
    /// Treats a lost answer as a success.
    AssumesSuccess,
    async fn write_until_resolved(
        &self,
        class: CallClass,
        req: WriteRequest,
        deadline: Instant,
    ) -> Result<ResolvedWrite, StoreError> {
        match self.0.write(class, req, deadline).await? {
            WriteOutcome::Applied(version) => Ok(ResolvedWrite::Applied(version)),
            WriteOutcome::Conflict(present) => Ok(ResolvedWrite::Conflict(present)),
            WriteOutcome::Unknown => Ok(ResolvedWrite::Applied(0)),
        }
    }
);

wrapper!(
    /// Writes without checking the expected version.
    Unconditional,
    async fn write_until_resolved(
        &self,
        class: CallClass,
        mut req: WriteRequest,
        deadline: Instant,
    ) -> Result<ResolvedWrite, StoreError> {
        req.expect = Expectation::Any;
        self.0.write_until_resolved(class, req, deadline).await
    }
);
