use super::event::{Event, EventSender};
use crate::{
    follow::{OddEntries, PrefixEvent},
    ports::{Item, ItemEvent, WaveFormat},
};
use lycheeyard_protocol::Timestamp;

/// Sends maintenance waves to the scheduling loop. Returns false after the end of the term.
pub(super) fn deliver_waves<F: WaveFormat>(
    event: PrefixEvent,
    waves: &F,
    odd: &mut OddEntries,
    now: Timestamp,
    events: &EventSender,
) -> bool {
    let mut deliver = |item: &Item| {
        let wave = waves.read(&item.key, &item.value, now);
        match odd.check(&item.key, wave) {
            Some(wave) => events.send(Event::WaveListed(Box::new(wave))).is_ok(),
            None => !events.is_closed(),
        }
    };
    match event {
        PrefixEvent::Listed(items) => items.iter().all(deliver),
        PrefixEvent::Changed(ItemEvent::Written(item)) => deliver(&item),
        // A wave is executed even if its request is removed.
        PrefixEvent::Changed(ItemEvent::Removed(_)) => !events.is_closed(),
    }
}
