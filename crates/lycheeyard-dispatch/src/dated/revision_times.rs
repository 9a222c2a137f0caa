use crate::ports::StoreRevision;
use lycheeyard_jobs::BootTime;
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// How long the time of a revision is known, at least.
const HISTORY: Duration = Duration::from_secs(120);
/// Of answers that arrive closer together than this, only some are kept.
const RESOLUTION: Duration = Duration::from_millis(100);

/// What this instance knows of when the store reached its revisions; clones share it.
///
/// An answer that names a revision arrives after the store has reached it, whether the answer is the newest state or an older one. So
/// a time from here is never too early, on the clock of this instance alone.
#[derive(Clone, Debug, Default)]
pub struct RevisionTimes {
    /// Revisions and when an answer that names them arrived; both rise.
    arrivals: Arc<Mutex<VecDeque<(StoreRevision, BootTime)>>>,
}

impl RevisionTimes {
    /// Notes that an answer that names `revision` arrived at `at`. Revision 0 tells nothing.
    pub fn note(&self, revision: StoreRevision, at: BootTime) {
        let mut arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = arrivals.back().copied().unwrap_or_default();
        if revision <= newest.0 {
            return;
        }
        // Two tasks may note their answers in another order than that in which they read the clock.
        let at = at.max(newest.1);
        // Whatever an entry that is left out has shown, the next one shows as well, a little later.
        if let [.., (_, before), _] = arrivals.make_contiguous()
            && at.since(*before) < RESOLUTION
        {
            arrivals.pop_back();
        }
        arrivals.push_back((revision, at));
        while arrivals
            .get(1)
            .is_some_and(|(_, second)| second.after(HISTORY).is_past(at))
        {
            arrivals.pop_front();
        }
    }

    /// Returns a time at which the store had certainly reached `revision`; `None` if no answer has named it or a later one.
    #[must_use]
    pub fn reached_by(&self, revision: StoreRevision) -> Option<BootTime> {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        let first = arrivals.partition_point(|(named, _)| *named < revision);
        arrivals.get(first).map(|(_, at)| *at)
    }
}
