use super::{
    order::Waiting,
    reservation::Reservation,
    world::{World, checkpoints_are_quick},
};
use crate::grid::Block;
use lycheeyard_protocol::{Preemption, Shape};
use std::{collections::BTreeSet, time::Duration};

/// The most jobs that accelerators are reserved for at once.
const MAX_RESERVATIONS: usize = 4;
/// The wait before a job that was reclaimed once borrows again; it doubles with every reclaim.
const BORROW_AGAIN_MS: u64 = 60_000;
/// Work that keeps no checkpoints borrows for no longer than this.
const LONGEST_UNSAVED: Duration = Duration::from_secs(20 * 60);
const MAX_DOUBLINGS: u32 = 16;

/// Which accelerators a job without a guarantee may use.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Access {
    /// Those outside all guarantees.
    Unowned,
    /// Also lent ones, but for the part kept for work that stops within the urgent limit.
    Lent,
    /// All of them.
    LentQuick,
}

/// What the pass over the queue knows.
#[derive(Debug, Default)]
struct Pass<'a> {
    reservations: Vec<Reservation<'a>>,
    /// Shapes that found no place even where reservations are ignored.
    full: BTreeSet<(Shape, Access)>,
    /// Shapes that found no place beside all reservations.
    crowded: BTreeSet<(Shape, Access)>,
}

impl World<'_> {
    /// Starts what fits, in queue order, and reserves accelerators for the first jobs that do not.
    pub(super) fn place_ordinary<'a>(&mut self, queue: &[Waiting<'a>]) -> Vec<Reservation<'a>> {
        let mut pass = Pass::default();
        for waiting in queue {
            let access = self.access(waiting);
            if let Some(block) = self.fitting(waiting, access, &mut pass) {
                self.start(waiting.key, &block);
                continue;
            }
            if !self.snapshot.data_centre.policy.backfill {
                break;
            }
            if pass.reservations.len() < MAX_RESERVATIONS
                && let Some(next) =
                    self.reserve(waiting, &self.reachable(access), &pass.reservations)
            {
                pass.reservations.push(next);
                pass.crowded.clear();
            }
        }
        pass.reservations
    }

    fn fitting(&self, waiting: &Waiting<'_>, access: Access, pass: &mut Pass<'_>) -> Option<Block> {
        let shape = waiting.record.spec.shape;
        if pass.full.contains(&(shape, access)) {
            return None;
        }
        let ends_at = self.now.after(waiting.rest);
        let in_the_way = pass.reservations.iter();
        let in_the_way: Vec<_> = in_the_way.filter(|r| r.starts_at < ends_at).collect();
        let beside_all = in_the_way.len() == pass.reservations.len();
        if beside_all && pass.crowded.contains(&(shape, access)) {
            return None;
        }
        let mut masks = self.open(access);
        if self.best_block(shape, &masks).is_none() {
            pass.full.insert((shape, access));
            return None;
        }
        for reservation in &in_the_way {
            reservation.block.remove_from(&mut masks);
        }
        let block = self.best_block_by_access(shape, &masks, access);
        if block.is_none() && beside_all {
            pass.crowded.insert((shape, access));
        }
        block
    }

    /// Prefers accelerators outside all guarantees, from which nothing is reclaimed.
    fn best_block_by_access(&self, shape: Shape, masks: &[u64], access: Access) -> Option<Block> {
        if access == Access::Unowned {
            return self.best_block(shape, masks);
        }
        let unowned: Vec<u64> = masks.iter().zip(&self.owned).map(|(m, o)| m & !o).collect();
        self.best_block(shape, &unowned)
            .or_else(|| self.best_block(shape, masks))
    }

    pub(super) fn access(&self, waiting: &Waiting<'_>) -> Access {
        let record = waiting.record;
        let doublings = record.reclaims.min(MAX_DOUBLINGS);
        let pause_ms = if record.reclaims == 0 {
            0
        } else {
            BORROW_AGAIN_MS << doublings
        };
        let waited = self.now.since(record.submitted_at).as_millis();
        let paused = waited < u128::from(pause_ms);
        let has_other = self.fit_unowned.contains(&record.spec.shape);
        match record.spec.preemption {
            Preemption::Never => Access::Unowned,
            _ if self.has_own_slice(waiting) => Access::Unowned,
            _ if paused && has_other => Access::Unowned,
            Preemption::Stop if waiting.rest > LONGEST_UNSAVED && has_other => Access::Unowned,
            Preemption::Stop => Access::LentQuick,
            Preemption::Checkpoint if checkpoints_are_quick(self.snapshot) => Access::LentQuick,
            Preemption::Checkpoint => Access::Lent,
        }
    }

    /// Whether the job waits for a part of its own organisation's guarantees; it borrows from no other, so that a
    /// reclaim never sets it or the jobs behind it back.
    pub(super) fn has_own_slice(&self, waiting: &Waiting<'_>) -> bool {
        let spec = &waiting.record.spec;
        let mut slices = self.slices.iter();
        spec.guaranteed
            && slices.any(|slice| {
                *slice.organisation == spec.organisation
                    && slice.shape.workers() >= spec.shape.workers()
                    && slice.shape.accelerators() >= spec.shape.accelerators()
            })
    }

    /// The free accelerators that a job may use.
    fn open(&self, access: Access) -> Vec<u64> {
        let reachable = self.reachable(access);
        let both = self.free.iter().zip(&reachable);
        both.map(|(free, reachable)| free & reachable).collect()
    }

    /// The accelerators, free or not, that a job may use.
    pub(super) fn reachable(&self, access: Access) -> Vec<u64> {
        let barred = match access {
            Access::Unowned => &self.owned,
            Access::Lent => &self.quick_only,
            Access::LentQuick => return self.usable.clone(),
        };
        let both = self.usable.iter().zip(barred);
        both.map(|(usable, barred)| usable & !barred).collect()
    }
}
