use super::{
    Action, Snapshot,
    guaranteed::{GuaranteedAllocations, GuaranteedOutcome},
    order::{WaitingJob, queue},
    reservation::Reservation,
    round_state::RoundState,
};
use lycheeyard_protocol::{Preemption, Priority, Timestamp};
use std::collections::BTreeMap;

/// Plans one round. The same snapshot and time always give the same actions.
#[must_use]
pub fn plan(snapshot: &Snapshot, now: Timestamp) -> Vec<Action> {
    run(snapshot, now).state.actions
}

/// A finished round, with the jobs that still wait and their reservations.
#[derive(Debug)]
pub(super) struct Round<'a> {
    pub(super) state: RoundState<'a>,
    pub(super) ordinary: Vec<WaitingJob<'a>>,
    pub(super) reservations: Vec<Reservation<'a>>,
}

pub(super) fn run(snapshot: &Snapshot, now: Timestamp) -> Round<'_> {
    let mut state = RoundState::new(snapshot, now);
    let waiting = state.retire_impossible(queue(snapshot, now));
    if snapshot.evacuation.is_some() {
        return Round {
            state,
            ordinary: waiting,
            reservations: Vec::new(),
        };
    }
    let ordinary = state.place_all_guaranteed(waiting);
    let reservations = state.place_ordinary(&ordinary);
    state.clear_overruns(&ordinary, &reservations);
    if snapshot.data_centre.policy.defragmentation {
        state.defragment(&ordinary, &reservations);
    }
    Round {
        state,
        ordinary,
        reservations,
    }
}

impl RoundState<'_> {
    fn retire_impossible<'a>(&mut self, waiting: Vec<WaitingJob<'a>>) -> Vec<WaitingJob<'a>> {
        let mut never_fits = BTreeMap::new();
        let mut possible = Vec::with_capacity(waiting.len());
        for job in waiting {
            let shape = job.record.spec.shape;
            let never = *never_fits
                .entry(shape)
                .or_insert_with(|| self.never_fits(shape));
            let centre = &self.snapshot.data_centre.id;
            let reason = if never {
                format!("no part of {centre} holds {shape}")
            } else if self.fits_only_in_guarantees(&job) {
                format!("may not be stopped, and no {shape} of {centre} lies outside guarantees")
            } else {
                possible.push(job);
                continue;
            };
            self.actions.push(Action::Retire {
                job: job.key.clone(),
                reason,
            });
        }
        possible
    }

    /// Whether a job that may not be stopped fits only into the guarantees of others.
    ///
    /// Unusable workers move guarantees temporarily, so the answer is `false` while there are any.
    fn fits_only_in_guarantees(&self, job: &WaitingJob<'_>) -> bool {
        let all_usable = self.usable == self.layout.full();
        job.record.spec.preemption == Preemption::Never
            && all_usable
            && !self
                .shapes_outside_guarantees
                .contains(&job.record.spec.shape)
            && !self.has_own_slice(job)
    }

    /// Places the guaranteed jobs, urgent ones first and otherwise in order of submission; returns the jobs not placed.
    fn place_all_guaranteed<'a>(&mut self, waiting: Vec<WaitingJob<'a>>) -> Vec<WaitingJob<'a>> {
        let mut allocations = GuaranteedAllocations::new(self.layout.len());
        let mut guaranteed: Vec<&WaitingJob<'a>> = waiting
            .iter()
            .filter(|job| job.record.spec.guaranteed)
            .collect();
        guaranteed.sort_by_key(|job| {
            let urgent = job.record.spec.priority == Priority::Urgent;
            (!urgent, job.record.submitted_at, job.key)
        });
        let mut placed = std::collections::BTreeSet::new();
        for job in guaranteed {
            let outcome = self.place_guaranteed(job.key, job.record, &mut allocations);
            let is_placed = matches!(
                outcome,
                GuaranteedOutcome::Started | GuaranteedOutcome::Reclaiming
            );
            if is_placed {
                placed.insert(job.key);
            }
        }
        waiting
            .into_iter()
            .filter(|job| !placed.contains(job.key))
            .collect()
    }
}
