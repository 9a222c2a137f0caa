use super::{
    Action, Snapshot,
    guaranteed::GuaranteedStep,
    order::{Waiting, queue},
    reservation::Reservation,
    world::World,
};
use lycheeyard_protocol::{Preemption, Priority, Timestamp};
use std::collections::BTreeMap;

/// Decides what to do now. The same snapshot and time give the same actions.
#[must_use]
pub fn plan(snapshot: &Snapshot, now: Timestamp) -> Vec<Action> {
    run(snapshot, now).world.actions
}

/// A finished round, with what it knows about those that still wait.
#[derive(Debug)]
pub(super) struct Round<'a> {
    pub(super) world: World<'a>,
    pub(super) ordinary: Vec<Waiting<'a>>,
    pub(super) reservations: Vec<Reservation<'a>>,
}

pub(super) fn run(snapshot: &Snapshot, now: Timestamp) -> Round<'_> {
    let mut world = World::new(snapshot, now);
    let waiting = world.retire_impossible(queue(snapshot, now));
    let ordinary = world.place_all_guaranteed(waiting);
    let reservations = world.place_ordinary(&ordinary);
    world.clear_overruns(&ordinary, &reservations);
    if snapshot.data_centre.policy.defragmentation {
        world.defragment(&ordinary, &reservations);
    }
    Round {
        world,
        ordinary,
        reservations,
    }
}

impl World<'_> {
    fn retire_impossible<'a>(&mut self, waiting: Vec<Waiting<'a>>) -> Vec<Waiting<'a>> {
        let mut impossible = BTreeMap::new();
        let mut possible = Vec::with_capacity(waiting.len());
        for job in waiting {
            let shape = job.record.spec.shape;
            let never = *impossible
                .entry(shape)
                .or_insert_with(|| self.never_fits(shape));
            if never {
                self.actions.push(Action::Retire {
                    job: job.key.clone(),
                    reason: format!("no part of {} holds {shape}", self.snapshot.data_centre.id),
                });
            } else {
                possible.push(job);
            }
        }
        possible
    }

    /// Places the guaranteed jobs, first come first served within urgent and other work; gives back the rest.
    fn place_all_guaranteed<'a>(&mut self, waiting: Vec<Waiting<'a>>) -> Vec<Waiting<'a>> {
        let mut claimed = vec![0; self.layout.len()];
        let mut guaranteed: Vec<&Waiting<'a>> = waiting
            .iter()
            .filter(|job| job.record.spec.guaranteed)
            .collect();
        guaranteed.sort_by_key(|job| {
            let urgent = job.record.spec.priority == Priority::Urgent;
            (!urgent, job.record.submitted_at, job.key)
        });
        let mut placed = std::collections::BTreeSet::new();
        for job in guaranteed {
            let step = self.place_guaranteed(job.key, job.record, &mut claimed);
            let borrows = match step {
                GuaranteedStep::Started | GuaranteedStep::Reclaiming => false,
                GuaranteedStep::Occupied => job.record.spec.preemption == Preemption::Checkpoint,
                GuaranteedStep::Outside => true,
            };
            if !borrows {
                placed.insert(job.key);
            }
        }
        waiting
            .into_iter()
            .filter(|job| !placed.contains(job.key))
            .collect()
    }
}
