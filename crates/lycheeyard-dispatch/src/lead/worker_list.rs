use super::{
    dispatcher::WorkerReader,
    event::{Event, EventSender},
    leaving_workers::LeavingWorkers,
};
use crate::{
    follow::{OddEntries, PrefixEvent},
    ports::{Item, ItemEvent},
};
use lycheeyard_jobs::WorkerInfo;
use lycheeyard_protocol::WorkerId;

/// Notes which workers leave, and sends changes of the worker list to the scheduling loop. An entry that cannot be read names no
/// worker, as if it were not there. Returns false after the end of the term.
pub(super) fn deliver_workers<R: WorkerReader>(
    event: PrefixEvent,
    reader: &R,
    odd: &mut OddEntries,
    leaving: &LeavingWorkers,
    events: &EventSender,
) -> bool {
    let mut read = |item: &Item| odd.check(&item.key, reader.read(&item.key, &item.value));
    let event = match event {
        PrefixEvent::Listed(items) => {
            let workers: Vec<WorkerInfo> = items.iter().filter_map(read).collect();
            leaving.replace(&workers);
            Event::WorkersListed(workers)
        }
        PrefixEvent::Changed(ItemEvent::Written(item)) => match read(&item) {
            Some(worker) => {
                leaving.update(&worker);
                Event::WorkerListed(Box::new(worker))
            }
            None => match reader.parse_key(&item.key) {
                Some(worker) => unlist(worker, leaving),
                None => return true,
            },
        },
        PrefixEvent::Changed(ItemEvent::Removed(key)) => match reader.parse_key(&key) {
            Some(worker) => unlist(worker, leaving),
            None => return true,
        },
    };
    events.send(event).is_ok()
}

fn unlist(worker: WorkerId, leaving: &LeavingWorkers) -> Event {
    leaving.unlist(&worker);
    Event::WorkerUnlisted(worker)
}
