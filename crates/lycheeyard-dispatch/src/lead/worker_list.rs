use super::{
    dispatcher::WorkerReader,
    event::{Event, EventSender},
    leaving_workers::LeavingWorkers,
};
use crate::{follow::PrefixEvent, ports::ItemEvent};
use lycheeyard_jobs::WorkerInfo;
use lycheeyard_protocol::WorkerId;

/// Notes which workers leave, and sends changes of the worker list to the scheduling loop. Returns false after the end of the
/// term.
pub(super) fn deliver_workers<R: WorkerReader>(
    event: PrefixEvent,
    reader: &R,
    leaving: &LeavingWorkers,
    events: &EventSender,
) -> bool {
    let event = match event {
        PrefixEvent::Listed(items) => {
            let workers = items
                .iter()
                .filter_map(|item| reader.read(&item.key, &item.value));
            let workers: Vec<WorkerInfo> = workers.collect();
            leaving.replace(&workers);
            Event::WorkersListed(workers)
        }
        PrefixEvent::Changed(ItemEvent::Written(item)) => {
            match reader.read(&item.key, &item.value) {
                Some(worker) => {
                    leaving.update(&worker);
                    Event::WorkerListed(Box::new(worker))
                }
                None => match reader.parse_key(&item.key) {
                    Some(worker) => unlist(worker, leaving),
                    None => return true,
                },
            }
        }
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
