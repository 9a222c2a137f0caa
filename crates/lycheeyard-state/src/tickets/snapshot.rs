use super::history::create_text;
use crate::{
    Configuration, SnapshotPointer, StateError,
    error::{decode, encode},
};
use lycheeyard_clients::{CallClass, Store};
use lycheeyard_protocol::{
    Digest,
    platform::{Expectation, WriteRequest},
};
use tokio::time::Instant;
use tracing::debug;

/// The maximum size of a snapshot part in bytes, below the store's limit of 1 MiB for a value.
const MAX_PART_BYTES: usize = 900 * 1024;

/// Writes a configuration as a snapshot, split over several keys if it is large.
pub(super) async fn write_snapshot<S: Store>(
    store: &S,
    config: &Configuration,
    deadline: Instant,
) -> Result<SnapshotPointer, StateError> {
    let text = encode("config-snapshots", config)?;
    let parts = split_parts(&text);
    let pointer = SnapshotPointer {
        revision: config.revision,
        digest: Digest::of(text.as_bytes()),
        parts: parts.len(),
    };
    for (number, part) in parts.into_iter().enumerate() {
        create_text(store, pointer.key(number), part.to_owned(), deadline).await?;
    }
    Ok(pointer)
}

/// Reads a snapshot and verifies its digest.
pub(super) async fn read_snapshot<S: Store>(
    store: &S,
    pointer: &SnapshotPointer,
    deadline: Instant,
) -> Result<Configuration, StateError> {
    let mut text = String::new();
    for number in 0..pointer.parts {
        let key = pointer.key(number);
        let entry = store.get(CallClass::Ticket, &key, deadline).await?;
        let entry = entry.ok_or_else(|| corrupt(&key, "a part of the snapshot is missing"))?;
        text.push_str(&entry.value);
    }
    let key = pointer.key(0);
    if Digest::of(text.as_bytes()) != pointer.digest {
        return Err(corrupt(&key, "the snapshot does not match its digest"));
    }
    decode(&key, &text)
}

/// Deletes a snapshot to which no head points. A part that cannot be deleted stays in the store, unused.
pub(super) async fn delete_snapshot<S: Store>(
    store: &S,
    pointer: &SnapshotPointer,
    deadline: Instant,
) {
    for number in 0..pointer.parts {
        let req = WriteRequest {
            key: pointer.key(number),
            value: None,
            expect: Expectation::Any,
            expires_in_ms: None,
        };
        if let Err(err) = store.write(CallClass::Ticket, req, deadline).await {
            debug!("tickets: cannot delete a part of an obsolete snapshot: {err}");
        }
    }
}

fn split_parts(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let end = first_part_end(rest);
        let (part, tail) = rest.split_at(end);
        parts.push(part);
        rest = tail;
    }
    parts
}

fn first_part_end(text: &str) -> usize {
    if text.len() <= MAX_PART_BYTES {
        return text.len();
    }
    let mut end = MAX_PART_BYTES;
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    end
}

fn corrupt(key: &str, reason: &str) -> StateError {
    StateError::Corrupt {
        key: key.to_owned(),
        reason: reason.to_owned(),
    }
}
