use crate::{
    follow::PrefixEvent,
    ports::{EvacuationFormat, Item, ItemEvent},
};
use lycheeyard_protocol::DataCentreId;
use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tracing::{info, warn};

/// The data centres that operators have requested to evacuate, as the store last showed them.
///
/// The follower of the requests updates it directly, so that senders of orders know of a request before the scheduling loop
/// has applied it.
#[derive(Clone, Debug, Default)]
pub(super) struct EvacuatedDataCentres {
    data_centres: Arc<Mutex<BTreeSet<DataCentreId>>>,
}

impl EvacuatedDataCentres {
    /// Replaces the requests by those of a full list.
    pub fn replace<F: EvacuationFormat>(&self, items: &[Item], format: &F) {
        let listed = items.iter().filter_map(|item| parse(&item.key, format));
        let listed: BTreeSet<DataCentreId> = listed.collect();
        let mut data_centres = self.lock();
        for added in listed.difference(&data_centres) {
            log_begin(added);
        }
        for removed in data_centres.difference(&listed) {
            log_end(removed);
        }
        *data_centres = listed;
    }

    /// Applies a list or a change of the requests.
    pub fn apply<F: EvacuationFormat>(&self, event: &PrefixEvent, format: &F) {
        match event {
            PrefixEvent::Listed(items) => self.replace(items, format),
            PrefixEvent::Changed(ItemEvent::Written(item)) => self.add(parse(&item.key, format)),
            PrefixEvent::Changed(ItemEvent::Removed(key)) => self.remove(format.parse_key(key)),
        }
    }

    /// Whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &DataCentreId) -> bool {
        self.lock().contains(data_centre)
    }

    /// Returns all evacuated data centres.
    pub fn all(&self) -> BTreeSet<DataCentreId> {
        self.lock().clone()
    }

    fn add(&self, data_centre: Option<DataCentreId>) {
        if let Some(data_centre) = data_centre
            && self.lock().insert(data_centre.clone())
        {
            log_begin(&data_centre);
        }
    }

    fn remove(&self, data_centre: Option<DataCentreId>) {
        if let Some(data_centre) = data_centre
            && self.lock().remove(&data_centre)
        {
            log_end(&data_centre);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<DataCentreId>> {
        let locked = self.data_centres.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }
}

fn parse<F: EvacuationFormat>(key: &str, format: &F) -> Option<DataCentreId> {
    let data_centre = format.parse_key(key);
    if data_centre.is_none() {
        warn!(%key, "evacuation: the key names no data centre; request ignored");
    }
    data_centre
}

fn log_begin(data_centre: &DataCentreId) {
    info!(%data_centre, "evacuation: requested; no new runs are sent there");
}

fn log_end(data_centre: &DataCentreId) {
    info!(%data_centre, "evacuation: ended; runs may be sent there again");
}
