use super::event::{Event, EventSender};
use crate::{
    follow::PrefixEvent,
    keys::{RequestKey, parse_request, parse_waiting},
    ports::{Item, ItemEvent},
};
use lycheeyard_protocol::JobId;
use tracing::warn;

/// Sends submissions and cancellations to the scheduling loop. Returns false after the end of the term.
pub(super) fn deliver_requests(event: PrefixEvent, events: &EventSender) -> bool {
    match event {
        PrefixEvent::Listed(items) => deliver_listed(&items, events),
        PrefixEvent::Changed(ItemEvent::Written(item)) => deliver_request(&item, events),
        PrefixEvent::Changed(ItemEvent::Removed(_)) => true,
    }
}

/// Sends the jobs that a listing names, and then the cancellations in it.
fn deliver_listed(items: &[Item], events: &EventSender) -> bool {
    let ids = items.iter().filter_map(|item| listed_job(&item.key));
    events.send(Event::RequestsListed(ids.collect())).is_ok()
        && items.iter().all(|item| deliver_request(item, events))
}

/// Returns the job that the key of a waiting or cancelled job names.
fn listed_job(key: &str) -> Option<JobId> {
    match parse_request(key) {
        Some(RequestKey::Job(id) | RequestKey::Cancel(id)) => Some(id),
        None => parse_waiting(key),
    }
}

fn deliver_request(item: &Item, events: &EventSender) -> bool {
    match read_request(item) {
        Some(event) => events.send(event).is_ok(),
        None => !events.is_closed(),
    }
}

/// Decodes a submission or a cancellation; `None` if the item is neither.
pub(super) fn read_request(item: &Item) -> Option<Event> {
    match parse_request(&item.key)? {
        RequestKey::Cancel(id) => Some(Event::Cancelled(id)),
        RequestKey::Job(_) => match serde_json::from_slice(&item.value) {
            Ok(job) => Some(Event::Submitted(Box::new(job))),
            Err(err) => {
                warn!(key = %item.key, %err, "lead: a submission cannot be read");
                None
            }
        },
    }
}
