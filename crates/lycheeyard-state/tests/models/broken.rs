use crate::fake_store::FakeStore;
use lycheeyard_clients::{CallClass, ResolvedWrite, Store, StoreError, WriteOutcome};
use lycheeyard_protocol::platform::{
    Expectation, RangeReply, RangeRequest, WatchRequest, WriteRequest,
};
use tokio::time::Instant;

/// A store that a model runs on: the correct one, or one that breaks the protocol on purpose.
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
    /// The production protocol.
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
    /// Reads the key once after a lost answer and takes an unchanged key for a failed write.
    Guessing,
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
    /// Takes a lost answer for a success.
    Hopeful,
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
    /// Writes without regard to the expected version.
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
