use crate::{
    keys::WORKER_SPEEDS,
    ports::{Item, StoreRevision},
};
use lycheeyard_jobs::SpeedRecord;
use tracing::{info, warn};

/// Decodes the record of the speeds of workers, and returns its revision. Without a readable record nothing is known of them.
pub(super) fn read_speeds(items: &[Item]) -> (SpeedRecord, StoreRevision) {
    let Some(item) = items.iter().find(|item| item.key == WORKER_SPEEDS) else {
        info!("speed: no record; all workers count as equally fast until they are known");
        return (SpeedRecord::default(), StoreRevision::default());
    };
    let record = match serde_json::from_slice(&item.value) {
        Ok(record) => record,
        Err(err) => {
            warn!(%err, "speed: the record cannot be read; all workers count as equally fast until they are known");
            SpeedRecord::default()
        }
    };
    (record, item.revision)
}
