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

/// Writes a page of accepted tickets and the entry of each number.
///
/// The content follows from the order of acceptance alone, so every writer writes the same.
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

/// Reads at most `limit` pages after the page that starts at a revision.
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

/// Creates a key whose content every writer agrees on, and makes sure that it is there.
pub(super) async fn create<S: Store, T: serde::Serialize + Sync>(
    store: &S,
    key: String,
    value: &T,
    deadline: Instant,
) -> Result<(), StateError> {
    let text = encode(&key, value)?;
    create_text(store, key, text, deadline).await
}

/// Creates a key with a text that every writer agrees on.
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
    // A copy of this write that is still under way creates the agreed content, so it changes nothing
    // that the caller's refusal denies.
    present.map(|_| ()).ok_or(StateError::NotWritten)
}

fn number_key(number: TicketNumber) -> String {
    format!("ticket-numbers/{number}")
}

fn page_key(first: Revision) -> String {
    format!("{HISTORY_PREFIX}{:012}", first.0)
}
