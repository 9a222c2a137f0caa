use crate::{
    dated::RevisionTimes,
    ports::{Item, StoreRevision},
};
use lycheeyard_jobs::{BootTime, SilentWorker, WorkerKey};
use lycheeyard_protocol::{Incarnation, WorkerId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{collections::BTreeMap, time::Duration};
use tracing::{error, warn};

/// What the stored record says of a silent worker.
///
/// Its deadlines are times after the store reached a revision. Each instance knows when it has certainly been reached on its own clock
/// ([`RevisionTimes`]), so that they are never too early there, and do not move with a takeover.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct SilentTimes {
    /// The revision from which the deadlines count, which was reached after they were computed. Missing in the first record that has
    /// them: that record's own revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    after: Option<StoreRevision>,
    /// The revision from which the deadlines of leases and copies count, if it is an earlier one. Instances that do not know this field count
    /// them from the later one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    leases_after: Option<StoreRevision>,
    /// When every lease that was extended on the worker has expired; 0 if they had when this was written first. There is no default,
    /// since an early time is not safe.
    leases_ms: u64,
    /// When no copy of a start order that was sent to it is carried out any more; 0 if this was past when this was written first.
    copies_ms: u64,
    /// When it counts as gone if it is missing from the list until then; missing while it is listed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    gone_ms: Option<u64>,
}

/// The deadlines that hold for all workers which no record names, as they follow from the end of a former term.
#[derive(Clone, Copy, Debug)]
pub(super) struct InheritedTimes {
    /// The revision by which that term had ended.
    pub after: StoreRevision,
    /// When that revision was certainly reached.
    pub since: BootTime,
    pub leases_until: BootTime,
    pub copies_until: BootTime,
}

/// A row of the stored record.
#[derive(Debug, Deserialize, Serialize)]
struct Row {
    worker: WorkerId,
    incarnation: Incarnation,
    #[serde(flatten)]
    times: SilentTimes,
}

/// The stored record. Its rows are decoded one by one.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Rows<R> {
    workers: Vec<R>,
}

/// The record of silent workers at the start of a term.
#[derive(Debug, Default)]
pub(super) struct SilentRecord {
    pub workers: BTreeMap<WorkerKey, SilentTimes>,
    /// The revision of the record, also of one that cannot be decoded; 0 if there is none.
    pub revision: StoreRevision,
    /// Whether something in it could not be decoded. It may name other workers, so it has to be replaced before anything is sent.
    pub is_damaged: bool,
}

impl SilentTimes {
    /// The times of a worker that no record has named, to be written at `now` or later.
    pub fn new(silent: &SilentWorker, now: BootTime) -> Self {
        Self {
            after: None,
            leases_after: None,
            leases_ms: millis_until(silent.leases_until, now),
            copies_ms: millis_until(silent.copies_until, now),
            gone_ms: silent.gone_at.map(|at| millis_until(at, now)),
        }
    }

    /// The same times, counted from the end of a former term if they follow from it: each instance may have seen this earlier than it sees
    /// the record.
    pub fn counted_from_term(self, silent: &SilentWorker, inherited: &InheritedTimes) -> Self {
        let has_inherited_copies =
            silent.copies_until == BootTime(0) || silent.copies_until == inherited.copies_until;
        if silent.leases_until != inherited.leases_until || !has_inherited_copies {
            return self;
        }
        Self {
            leases_after: Some(inherited.after),
            leases_ms: millis_until(silent.leases_until, inherited.since),
            copies_ms: millis_until(silent.copies_until, inherited.since),
            ..self
        }
    }

    /// The times as they are written again, once the record that had them first has this revision.
    pub fn counted_from(self, revision: StoreRevision) -> Self {
        Self {
            after: self.after.or(Some(revision)),
            ..self
        }
    }

    /// The same times, with the deadlines of leases and copies as they are stored, if they are the same.
    pub fn counted_as_stored(self, silent: &SilentWorker, stored: &(SilentWorker, Self)) -> Self {
        let (former, times) = stored;
        if silent.leases_until != former.leases_until || silent.copies_until != former.copies_until
        {
            return self;
        }
        Self {
            leases_after: times.leases_after.or(times.after),
            leases_ms: times.leases_ms,
            copies_ms: times.copies_ms,
            ..self
        }
    }

    /// Returns the revisions that the deadlines count from.
    pub fn revisions(&self) -> impl Iterator<Item = StoreRevision> + use<> {
        self.after.into_iter().chain(self.leases_after)
    }

    /// Returns the deadlines on this instance's clock; from `now` on if no answer has shown that the revision was reached.
    pub fn to_local(
        self,
        worker: &WorkerKey,
        times: &RevisionTimes,
        now: BootTime,
    ) -> SilentWorker {
        let reached_by = |revision| times.reached_by(revision).unwrap_or(now);
        let since = self.after.map_or(now, reached_by);
        let leases_since = self.leases_after.map_or(since, reached_by);
        SilentWorker {
            worker: worker.clone(),
            leases_until: local_deadline(leases_since, self.leases_ms),
            copies_until: local_deadline(leases_since, self.copies_ms),
            gone_at: self.gone_ms.map(|millis| local_deadline(since, millis)),
        }
    }
}

/// Decodes the record. What cannot be decoded names nobody, so that the wait for such a worker is that after any takeover.
pub(super) fn read_silent_record(item: Option<&Item>) -> SilentRecord {
    let Some(item) = item else {
        return SilentRecord::default();
    };
    let mut record = SilentRecord {
        revision: item.revision,
        ..SilentRecord::default()
    };
    let rows = match serde_json::from_slice::<Rows<Value>>(&item.value) {
        Ok(rows) => rows.workers,
        Err(err) => {
            error!(%err, "lead: the record of silent workers cannot be read; replacing it");
            record.is_damaged = true;
            return record;
        }
    };
    for row in rows {
        match serde_json::from_value::<Row>(row) {
            Ok(row) => {
                let worker = WorkerKey {
                    id: row.worker,
                    incarnation: row.incarnation,
                };
                let times = row.times.counted_from(item.revision);
                record.workers.insert(worker, times);
            }
            Err(err) => {
                warn!(%err, "lead: a row of the record of silent workers cannot be read; it is left out");
                record.is_damaged = true;
            }
        }
    }
    record
}

/// Encodes the record.
pub(super) fn encode_silent_workers(
    workers: &BTreeMap<WorkerKey, SilentTimes>,
) -> serde_json::Result<Vec<u8>> {
    let rows = workers.iter().map(|(worker, times)| Row {
        worker: worker.id.clone(),
        incarnation: worker.incarnation,
        times: *times,
    });
    serde_json::to_vec(&Rows {
        workers: rows.collect(),
    })
}

/// Returns the deadline `millis` after `since`; 0 is a deadline that was past when it was written.
fn local_deadline(since: BootTime, millis: u64) -> BootTime {
    match millis {
        0 => BootTime(0),
        millis => since.after(Duration::from_millis(millis)),
    }
}

fn millis_until(deadline: BootTime, now: BootTime) -> u64 {
    deadline.0.saturating_sub(now.0)
}
