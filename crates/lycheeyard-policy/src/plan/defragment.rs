use super::{
    StopReason, order::WaitingJob, reservation::Reservation, round_state::RoundState,
    running::has_run_long_enough,
};
use crate::{
    grid::{Block, Windows},
    guarantees::find_block,
};
use lycheeyard_protocol::{JobState, Preemption};
use std::{ops::Range, time::Duration};

/// Maximum number of jobs that are moved for one reservation, and of the cheapest blocks that are tried for it.
const MAX_MOVES: usize = 4;
/// Accelerator time that moving jobs has to save, as a multiple of the accelerator time that it costs.
const MIN_GAIN_FACTOR: u64 = 4;

impl RoundState<'_> {
    /// Stops a few jobs so that they move and a reserved job starts earlier, if the accelerator time saved is worth it.
    ///
    /// Acts on the first reservation for which this holds, and only while no job is being stopped.
    pub(super) fn defragment(
        &mut self,
        queue: &[WaitingJob<'_>],
        reservations: &[Reservation<'_>],
    ) {
        let stopping = self.running.iter();
        let mut stopping = stopping.zip(&self.stopped);
        if stopping.any(|(job, stopped)| *stopped || job.record.state == JobState::Stopping) {
            return;
        }
        for reservation in reservations {
            let waiting = queue.iter().find(|waiting| waiting.key == reservation.job);
            let Some(waiting) = waiting else { continue };
            let Some(moved) = self.cheapest_moves(waiting, reservation) else {
                continue;
            };
            let grace = self.snapshot.checkpoint_grace();
            for index in moved {
                self.stop(index, StopReason::Defragment, grace);
            }
            return;
        }
    }

    fn cheapest_moves(
        &self,
        waiting: &WaitingJob<'_>,
        reservation: &Reservation<'_>,
    ) -> Option<Vec<usize>> {
        let shape = waiting.record.spec.shape;
        let free: u32 = self.free.iter().map(|mask| mask.count_ones()).sum();
        if free < shape.total() {
            return None;
        }
        let saved = reservation.starts_at.since(self.now).min(waiting.remaining);
        let saved = millis(saved).saturating_mul(u64::from(shape.total()));
        let allowed = self.accessible(self.access(waiting));
        let windows = Windows::new(&self.layout, shape.workers());
        let movable = windows.iter().filter_map(|window| {
            if !self.may_be_worthwhile(&window, saved) {
                return None;
            }
            let block = self.block_in(window, shape, |worker| allowed[worker])?;
            let moved = self.holders(&block);
            let cost: u64 = moved
                .iter()
                .map(|&index| self.running[index].stop_cost(self.now))
                .sum();
            let is_worthwhile = cost.saturating_mul(MIN_GAIN_FACTOR) < saved;
            let may_move = moved.iter().all(|&index| self.may_move(index));
            (is_worthwhile && may_move && moved.len() <= MAX_MOVES).then_some((cost, block, moved))
        });
        let mut movable: Vec<_> = movable.collect();
        movable.sort_by_key(|(cost, block, _)| (*cost, block.first));
        let found = movable
            .into_iter()
            .take(MAX_MOVES)
            .find(|(_, block, moved)| self.has_room_for(moved, block));
        found.map(|(_, _, moved)| moved)
    }

    /// Cheap check that excludes windows with too many jobs on them.
    fn may_be_worthwhile(&self, window: &Range<usize>, saved: u64) -> bool {
        let full = window.clone().filter(|&worker| self.free[worker] == 0);
        let first = full.map(|worker| self.jobs_on_worker[worker].first().copied());
        let mut blockers: Vec<usize> = Vec::new();
        for index in first {
            match index {
                None => return false,
                Some(index) if !blockers.contains(&index) => blockers.push(index),
                Some(_) => {}
            }
            if blockers.len() > MAX_MOVES {
                return false;
            }
        }
        saved > 0
    }

    fn may_move(&self, index: usize) -> bool {
        let job = &self.running[index];
        job.is_preemptible()
            && !job.record.spec.guaranteed
            && job.record.spec.preemption == Preemption::Checkpoint
            && has_run_long_enough(job.record, self.now)
    }

    /// Whether all moved jobs fit at once into the free accelerators outside the block.
    fn has_room_for(&self, moved: &[usize], block: &Block) -> bool {
        let mut free = self.free.clone();
        block.remove_from(&mut free);
        moved.iter().all(|&index| {
            let shape = self.running[index].record.spec.shape;
            find_block(&self.layout, &free, shape)
                .inspect(|target| target.remove_from(&mut free))
                .is_some()
        })
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
