use super::store::FakeStore;
use lycheeyard_dispatch::{KeyValueStore, Transaction};
use lycheeyard_protocol::WorkerId;
use std::time::Duration;
use tokio::time::Instant;

/// The first worker of a fleet.
pub fn first_worker() -> WorkerId {
    "w-0".parse().expect("worker id is valid")
}

/// Removes the entry of the first worker, as the store does after some silence.
pub async fn remove_first_entry(store: &FakeStore) {
    let removal = Transaction {
        removes: vec![format!("workers/{}", first_worker())],
        ..Transaction::default()
    };
    let deadline = Instant::now() + Duration::from_secs(1);
    let outcome = store.commit(&removal, deadline).await;
    outcome.expect("the entry is removed");
}
