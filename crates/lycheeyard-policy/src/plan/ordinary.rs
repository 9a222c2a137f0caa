use super::{
    order::WaitingJob,
    reservation::Reservation,
    round_state::{RoundState, checkpoints_fit_urgent_limit},
};
use crate::grid::Block;
use lycheeyard_protocol::{Preemption, Shape};
use std::{collections::BTreeSet, time::Duration};

/// Maximum number of jobs that accelerators are reserved for at once.
const MAX_RESERVATIONS: usize = 4;
/// Base of the backoff, counted from the submission, in which a reclaimed job does not borrow if it also fits outside
/// guarantees; it doubles with every reclaim.
const BORROW_BACKOFF_MS: u64 = 60_000;
/// Work without checkpoints that is expected to need longer than this does not borrow if it also fits outside
/// guarantees.
const MAX_BORROW_WITHOUT_CHECKPOINT: Duration = Duration::from_secs(20 * 60);
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// Which accelerators a job without a guarantee may use.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Access {
    /// Accelerators outside all guarantees.
    OutsideGuarantees,
    /// Also lent accelerators, except the part kept for work that stops within the urgent limit.
    LentExceptReserve,
    /// All accelerators, including the part kept for work that stops within the urgent limit.
    AllLent,
}

/// State of one pass over the queue.
#[derive(Debug, Default)]
struct QueuePass<'a> {
    reservations: Vec<Reservation<'a>>,
    /// Shapes that could not be placed, with the access and, for each reservation, whether it conflicted.
    unplaceable: BTreeSet<(Shape, Access, Vec<bool>)>,
}

impl RoundState<'_> {
    /// Starts the jobs that fit, in queue order, and reserves accelerators for the first jobs that do not.
    pub(super) fn place_ordinary<'a>(&mut self, queue: &[WaitingJob<'a>]) -> Vec<Reservation<'a>> {
        let mut pass = QueuePass::default();
        for waiting in queue {
            let access = self.access(waiting);
            if let Some(block) = self.find_fit(waiting, access, &mut pass) {
                self.start(waiting.key, &block);
                continue;
            }
            if !self.snapshot.data_centre.policy.backfill {
                break;
            }
            if pass.reservations.len() < MAX_RESERVATIONS
                && let Some(next) =
                    self.reserve(waiting, &self.accessible(access), &pass.reservations)
            {
                pass.reservations.push(next);
            }
        }
        pass.reservations
    }

    fn find_fit(
        &self,
        waiting: &WaitingJob<'_>,
        access: Access,
        pass: &mut QueuePass<'_>,
    ) -> Option<Block> {
        let shape = waiting.record.spec.shape;
        let expected_end = self.now.after(waiting.remaining);
        let reservations = pass.reservations.iter();
        let conflicts: Vec<bool> = reservations.map(|r| r.starts_at < expected_end).collect();
        let tried = (shape, access, conflicts);
        if pass.unplaceable.contains(&tried) {
            return None;
        }
        let mut masks = self.free_accessible(access);
        let conflicts = pass.reservations.iter().zip(&tried.2);
        for (reservation, _) in conflicts.filter(|(_, is_conflict)| **is_conflict) {
            reservation.block.remove_from(&mut masks);
        }
        let block = self.best_block_by_access(shape, &masks, access);
        if block.is_none() {
            pass.unplaceable.insert(tried);
        }
        block
    }

    /// Prefers accelerators outside all guarantees, because those are never reclaimed.
    fn best_block_by_access(&self, shape: Shape, masks: &[u64], access: Access) -> Option<Block> {
        if access == Access::OutsideGuarantees {
            return self.best_block(shape, masks);
        }
        let outside_guarantees: Vec<u64> = masks
            .iter()
            .zip(&self.guaranteed_masks)
            .map(|(mask, guaranteed)| mask & !guaranteed)
            .collect();
        self.best_block(shape, &outside_guarantees)
            .or_else(|| self.best_block(shape, masks))
    }

    pub(super) fn access(&self, waiting: &WaitingJob<'_>) -> Access {
        let record = waiting.record;
        let doublings = record.reclaims.min(MAX_BACKOFF_DOUBLINGS);
        let backoff_ms = if record.reclaims == 0 {
            0
        } else {
            BORROW_BACKOFF_MS << doublings
        };
        let waited = self.now.since(record.submitted_at).as_millis();
        let backs_off = waited < u128::from(backoff_ms);
        let fits_elsewhere = self.shapes_outside_guarantees.contains(&record.spec.shape);
        match record.spec.preemption {
            Preemption::Never => Access::OutsideGuarantees,
            _ if self.has_own_slice(waiting) => Access::OutsideGuarantees,
            _ if backs_off && fits_elsewhere => Access::OutsideGuarantees,
            Preemption::Stop
                if waiting.remaining > MAX_BORROW_WITHOUT_CHECKPOINT && fits_elsewhere =>
            {
                Access::OutsideGuarantees
            }
            Preemption::Stop => Access::AllLent,
            Preemption::Checkpoint if checkpoints_fit_urgent_limit(self.snapshot) => {
                Access::AllLent
            }
            Preemption::Checkpoint => Access::LentExceptReserve,
        }
    }

    /// Whether the job waits for a part of its own organisation's guarantees.
    ///
    /// Such a job borrows from no other organisation, so that a reclaim never delays it or the jobs behind it.
    pub(super) fn has_own_slice(&self, waiting: &WaitingJob<'_>) -> bool {
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
    fn free_accessible(&self, access: Access) -> Vec<u64> {
        let accessible = self.accessible(access);
        let both = self.free.iter().zip(&accessible);
        both.map(|(free, accessible)| free & accessible).collect()
    }

    /// The accelerators, free or not, that a job may use.
    pub(super) fn accessible(&self, access: Access) -> Vec<u64> {
        let excluded = match access {
            Access::OutsideGuarantees => &self.guaranteed_masks,
            Access::LentExceptReserve => &self.urgent_reserve,
            Access::AllLent => return self.usable.clone(),
        };
        let both = self.usable.iter().zip(excluded);
        both.map(|(usable, excluded)| usable & !excluded).collect()
    }
}
