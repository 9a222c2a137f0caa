use super::RevisionAge;
use crate::ports::StoreRevision;
use lycheeyard_jobs::BootTime;
use std::{
    collections::{BTreeSet, VecDeque},
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

    /// Notes how long earlier revisions had been reached before `later`. Ages that nobody writes, since the times are not known for so long, are ignored.
    pub fn note_ages(&self, ages: &[RevisionAge], later: StoreRevision) {
        let Some(later_by) = self.reached_by(later) else {
            return;
        };
        for age in ages {
            let length = Duration::from_millis(age.age_ms);
            if age.revision <= later && length <= HISTORY {
                let at = BootTime(later_by.0.saturating_sub(age.age_ms));
                self.note_earlier(age.revision, at);
            }
        }
    }

    /// Returns how long the store had reached revisions before `at`, as far as this is known and of use.
    #[must_use]
    pub fn ages(&self, revisions: &BTreeSet<StoreRevision>, at: BootTime) -> Vec<RevisionAge> {
        let ages = revisions.iter().filter_map(|&revision| {
            let age = at.since(self.reached_by(revision)?);
            let age_ms = u64::try_from(age.as_millis()).ok()?;
            (age <= HISTORY).then_some(RevisionAge { revision, age_ms })
        });
        ages.collect()
    }

    /// Notes that the store had reached `revision` at `at`, which may be before other answers.
    fn note_earlier(&self, revision: StoreRevision, at: BootTime) {
        let mut arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        let first = arrivals.partition_point(|(named, _)| *named < revision);
        if arrivals.get(first).is_some_and(|(_, known)| *known <= at) {
            return;
        }
        // Earlier revisions were reached by then as well.
        let kept = arrivals.partition_point(|(named, known)| *named < revision && *known < at);
        let is_same = |(named, _): &(StoreRevision, BootTime)| *named == revision;
        let next = first + usize::from(arrivals.get(first).is_some_and(is_same));
        arrivals.drain(kept..next);
        arrivals.insert(kept, (revision, at));
    }

    /// Returns a time at which the store had certainly reached `revision`; `None` if no answer has named it or a later one.
    #[must_use]
    pub fn reached_by(&self, revision: StoreRevision) -> Option<BootTime> {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        let first = arrivals.partition_point(|(named, _)| *named < revision);
        arrivals.get(first).map(|(_, at)| *at)
    }
}
