use super::event::{Event, EventSender};
use crate::{
    follow::PrefixEvent,
    ports::{Item, ItemEvent, WaveFormat},
};
use lycheeyard_protocol::Timestamp;

/// Passes waves of maintenance on to the scheduling loop; false once nobody listens.
pub(super) fn deliver_waves<F: WaveFormat>(
    event: PrefixEvent,
    waves: &F,
    now: Timestamp,
    events: &EventSender,
) -> bool {
    let deliver = |item: &Item| match waves.read(&item.key, &item.value, now) {
        Some(wave) => events.send(Event::WaveListed(Box::new(wave))).is_ok(),
        None => !events.is_closed(),
    };
    match event {
        PrefixEvent::Listed(items) => items.iter().all(deliver),
        PrefixEvent::Changed(ItemEvent::Written(item)) => deliver(&item),
        // What has been asked for is carried out.
        PrefixEvent::Changed(ItemEvent::Removed(_)) => !events.is_closed(),
    }
}
