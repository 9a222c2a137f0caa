use super::{Action, JobKey, Snapshot, StopReason};
use crate::placement::{FreeMap, find_placement};
use lycheeyard_protocol::{JobRecord, JobState, Preemption, Timestamp};
use std::{collections::BTreeSet, time::Duration};

const CHECKPOINT_GRACE: Duration = Duration::from_secs(2);

/// Decides what to do now. The same snapshot and time give the same actions.
#[must_use]
pub fn plan(snapshot: &Snapshot, now: Timestamp) -> Vec<Action> {
    Round::new(snapshot, now).run()
}

struct Round<'a> {
    snapshot: &'a Snapshot,
    now: Timestamp,
    free: FreeMap,
    empty: FreeMap,
    reclaimed: BTreeSet<JobKey>,
    actions: Vec<Action>,
}

impl<'a> Round<'a> {
    fn new(snapshot: &'a Snapshot, now: Timestamp) -> Self {
        let mut free = FreeMap::new(&snapshot.data_centre, &snapshot.unavailable);
        let empty = FreeMap::new(&snapshot.data_centre, &BTreeSet::new());
        for placement in snapshot
            .jobs
            .values()
            .filter_map(|job| job.placement.as_ref())
        {
            free.take(placement);
        }
        Self {
            snapshot,
            now,
            free,
            empty,
            reclaimed: BTreeSet::new(),
            actions: Vec::new(),
        }
    }

    fn run(mut self) -> Vec<Action> {
        let mut queue: Vec<_> = self
            .snapshot
            .jobs
            .iter()
            .filter(|(_, job)| job.state == JobState::Queued && !job.cancel_requested)
            .collect();
        queue.sort_by_key(|(key, job)| {
            let waited_since = job.submitted_at.min(self.now);
            (
                !job.spec.guaranteed,
                job.spec.priority,
                waited_since,
                (*key).clone(),
            )
        });
        for (key, job) in queue {
            self.consider(key, job);
        }
        self.actions
    }

    fn consider(&mut self, key: &JobKey, job: &JobRecord) {
        let data_centre = &self.snapshot.data_centre;
        if let Some(placement) = find_placement(data_centre, &self.free, job.spec.shape) {
            self.free.take(&placement);
            self.actions.push(Action::Start {
                job: key.clone(),
                placement,
            });
        } else if find_placement(data_centre, &self.empty, job.spec.shape).is_none() {
            self.actions.push(Action::Retire {
                job: key.clone(),
                reason: format!("no part of {} holds {}", data_centre.id, job.spec.shape),
            });
        } else if job.spec.guaranteed {
            self.reclaim(key, job);
        }
    }

    /// Asks borrowers, the shortest running first, to give way until the shape fits.
    fn reclaim(&mut self, key: &JobKey, job: &JobRecord) {
        let mut borrowers: Vec<_> = self
            .snapshot
            .jobs
            .iter()
            .filter(|(other, record)| self.may_reclaim(other, record))
            .collect();
        borrowers.sort_by_key(|(other, record)| {
            (std::cmp::Reverse(record.started_at), (*other).clone())
        });
        let mut free = self.free.clone();
        for record in self.snapshot.jobs.values() {
            if record.state == JobState::Stopping {
                record
                    .placement
                    .iter()
                    .for_each(|placement| free.release(placement));
            }
        }
        let mut chosen = Vec::new();
        let shape = job.spec.shape;
        for (other, record) in borrowers {
            if find_placement(&self.snapshot.data_centre, &free, shape).is_some() {
                break;
            }
            record
                .placement
                .iter()
                .for_each(|placement| free.release(placement));
            chosen.push(other.clone());
        }
        if find_placement(&self.snapshot.data_centre, &free, shape).is_none() {
            return;
        }
        for other in chosen {
            self.reclaimed.insert(other.clone());
            let preemption = self.snapshot.jobs[&other].spec.preemption;
            self.actions.push(Action::Stop {
                job: other,
                reason: StopReason::Reclaim {
                    claimant: key.organisation.clone(),
                },
                checkpoint: preemption == Preemption::Checkpoint,
                checkpoint_until: self.now.after(CHECKPOINT_GRACE),
            });
        }
    }

    fn may_reclaim(&self, key: &JobKey, job: &JobRecord) -> bool {
        job.state == JobState::Running
            && !job.spec.guaranteed
            && job.spec.preemption != Preemption::Never
            && !self.reclaimed.contains(key)
    }
}
