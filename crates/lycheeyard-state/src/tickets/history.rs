use crate::{
    AcceptedTicket, StateError,
    error::{decode, encode},
};
use lycheeyard_clients::{CallClass, ResolvedWrite, Store};
use lycheeyard_protocol::{
    Revision, TicketNumber,
    platform::{Expectation, KeyValue, RangeRequest, WriteRequest},
};
use tokio::time::Instant;

const HISTORY_PREFIX: &str = "config-history/";

/// Writes a page of accepted tickets and an entry for each ticket number.
///
/// The content depends only on the order of acceptance, so every writer writes the same values.
pub(super) async fn write_page<S: Store>(
    store: &S,
    page: &[AcceptedTicket],
    deadline: Instant,
) -> Result<(), StateError> {
    let Some(first) = page.first() else {
        return Ok(());
    };
    for ticket in page {
        create(store, number_key(ticket.number), ticket, deadline).await?;
    }
    let key = page_key(first.revision);
    create(store, key, &page, deadline).await?;
    Ok(())
}

/// Finds an accepted ticket that is older than the head's tail.
pub(super) async fn find_number<S: Store>(
    store: &S,
    number: TicketNumber,
    deadline: Instant,
) -> Result<Option<AcceptedTicket>, StateError> {
    let key = number_key(number);
    let entry = store.get(CallClass::Ticket, &key, deadline).await?;
    entry.map(|entry| decode(&key, &entry.value)).transpose()
}

/// Reads at most `limit` pages after the page that starts at revision `after`, or from the first page.
pub(super) async fn read_pages<S: Store>(
    store: &S,
    after: Option<Revision>,
    limit: usize,
    deadline: Instant,
) -> Result<Vec<AcceptedTicket>, StateError> {
    let req = RangeRequest {
        prefix: HISTORY_PREFIX.to_owned(),
        after: after.map(page_key),
        limit,
    };
    let reply = store.range(CallClass::Ticket, req, deadline).await?;
    let mut tickets = Vec::new();
    for entry in &reply.entries {
        let page: Vec<AcceptedTicket> = decode(&entry.key, &entry.value)?;
        tickets.extend(page);
    }
    Ok(tickets)
}

/// Creates a key to which every writer writes the same value, and verifies that it exists.
pub(super) async fn create<S: Store, T: serde::Serialize + Sync>(
    store: &S,
    key: String,
    value: &T,
    deadline: Instant,
) -> Result<(), StateError> {
    let text = encode(&key, value)?;
    create_text(store, key, text, deadline).await
}

/// Creates a key to which every writer writes the same text, and verifies that it exists.
pub(super) async fn create_text<S: Store>(
    store: &S,
    key: String,
    text: String,
    deadline: Instant,
) -> Result<(), StateError> {
    let req = WriteRequest {
        key,
        value: Some(text),
        expect: Expectation::Absent,
        expires_in_ms: None,
    };
    let written = store.write_until_resolved(CallClass::Ticket, req, deadline);
    let present: Option<KeyValue> = match written.await? {
        ResolvedWrite::Applied(_) => return Ok(()),
        ResolvedWrite::Conflict(present) | ResolvedWrite::Replaced(present) => present,
        ResolvedWrite::Unknown => None,
    };
    // A copy of this write may still be in transit. It would create the same content as any other writer, so it
    // cannot make the change that the caller reports as not made.
    present.map(|_| ()).ok_or(StateError::NotWritten)
}

fn number_key(number: TicketNumber) -> String {
    format!("ticket-numbers/{number}")
}

fn page_key(first: Revision) -> String {
    format!("{HISTORY_PREFIX}{:012}", first.0)
}
