use super::{
    Action, JobKey, StopReason,
    round_state::RoundState,
    victims::{PreemptionCandidate, PreemptionScope, runs_in},
};
use crate::{
    grid::{Block, Windows},
    guarantees::Slice,
};
use lycheeyard_protocol::{JobRecord, JobState, Priority, Shape, Timestamp};
use std::ops::Range;

/// Outcome of a round for a waiting guaranteed job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum GuaranteedOutcome {
    /// The job starts.
    Started,
    /// Running jobs are stopped to free its accelerators.
    Reclaiming,
    /// The guarantee is held by the organisation's own guaranteed jobs.
    Occupied,
    /// Its shape fits into none of its organisation's guarantees.
    Outside,
}

impl RoundState<'_> {
    /// Places one guaranteed job; `allocations` collects the accelerators that this round allocates to guaranteed jobs.
    pub(super) fn place_guaranteed(
        &mut self,
        key: &JobKey,
        record: &JobRecord,
        allocations: &mut GuaranteedAllocations,
    ) -> GuaranteedOutcome {
        let blocks = self.own_blocks(key, record, allocations);
        if !blocks.fits_when_empty {
            return GuaranteedOutcome::Outside;
        }
        let Some(candidate) = blocks.cheapest else {
            if let Some(block) = blocks.occupied {
                block.add_to(&mut allocations.reserved);
            }
            return GuaranteedOutcome::Occupied;
        };
        if candidate.block.is_inside(&self.free) {
            candidate.block.add_to(&mut allocations.started);
            self.start(key, &candidate.block);
            return GuaranteedOutcome::Started;
        }
        if let Some(block) = self.spare_block(key, record) {
            self.start(key, &block);
            return GuaranteedOutcome::Started;
        }
        candidate.block.add_to(&mut allocations.reserved);
        self.reclaim(key, record, &candidate);
        GuaranteedOutcome::Reclaiming
    }

    fn reclaim(&mut self, key: &JobKey, record: &JobRecord, candidate: &PreemptionCandidate) {
        let grace = if record.spec.priority == Priority::Urgent {
            self.urgent_grace()
        } else {
            self.snapshot.checkpoint_grace()
        };
        for &index in &candidate.victims {
            let claimant = key.organisation.clone();
            self.stop(index, StopReason::Reclaim { claimant }, grace);
        }
        self.allocate(key, &candidate.block);
    }

    /// Searches the organisation's own guarantees for a block for a job.
    fn own_blocks(
        &self,
        key: &JobKey,
        record: &JobRecord,
        allocations: &GuaranteedAllocations,
    ) -> OwnBlockSearch {
        let shape = record.spec.shape;
        let windows = Windows::new(&self.layout, shape.workers());
        let mut found = OwnBlockSearch::default();
        let urgent = record.spec.priority == Priority::Urgent;
        let mut earliest = None;
        for slice in &self.slices {
            let range = slice.block.range();
            if *slice.organisation != key.organisation || range.is_empty() {
                continue;
            }
            for window in windows.within(range) {
                if !holds_when_empty(slice, &window, shape) {
                    continue;
                }
                found.fits_when_empty = true;
                let allowed = |worker: usize| {
                    slice.block.mask(worker)
                        & self.usable[worker]
                        & !allocations.started[worker]
                        & !allocations.reserved[worker]
                        & !self.own_held_mask(worker, key, urgent)
                };
                let scope = if urgent {
                    PreemptionScope::BorrowersAndOwnWork
                } else {
                    PreemptionScope::Borrowers
                };
                let candidate = self
                    .block_in(window.clone(), shape, allowed)
                    .and_then(|block| self.preemption_candidate(block, scope));
                let Some(candidate) = candidate else {
                    let release = self.earliest_own_release(
                        slice,
                        &window,
                        key,
                        shape,
                        &allocations.reserved,
                    );
                    if let Some((expected_end, block)) = release
                        && earliest.is_none_or(|earliest| expected_end < earliest)
                    {
                        earliest = Some(expected_end);
                        found.occupied = Some(block);
                    }
                    continue;
                };
                let rank = (
                    candidate.cost,
                    candidate.victims.len(),
                    self.free_on_workers(&candidate.block),
                );
                if found.rank.is_none_or(|best| rank < best) {
                    found.rank = Some(rank);
                    found.cheapest = Some(candidate);
                }
            }
        }
        found
    }

    /// Finds the block of a window that the organisation's own guaranteed jobs release first, and when they do.
    ///
    /// Borrowers are ignored, so that the choice does not change while they start and stop.
    fn earliest_own_release(
        &self,
        slice: &Slice<'_>,
        window: &Range<usize>,
        key: &JobKey,
        shape: Shape,
        reserved: &[u64],
    ) -> Option<(Timestamp, Block)> {
        let mut latest = self.now;
        let mut masks = Vec::with_capacity(window.len());
        for worker in window.clone() {
            let allowed = slice.block.mask(worker) & self.usable[worker] & !reserved[worker];
            let (expected_end, run) = runs_in(allowed, shape.accelerators())
                .map(|run| (self.own_expected_end(worker, run, key), run))
                .min()?;
            latest = latest.max(expected_end);
            masks.push(run);
        }
        let first = window.start;
        Some((latest, Block { first, masks }))
    }

    fn own_expected_end(&self, worker: usize, run: u64, key: &JobKey) -> Timestamp {
        let jobs = self.jobs_on_worker[worker]
            .iter()
            .map(|&i| &self.running[i]);
        let running = jobs
            .filter(|job| job.is_within_guarantee && job.key.organisation == key.organisation)
            .filter(|job| job.block.mask(worker) & run != 0)
            .map(|job| job.expected_end);
        let allocated = self.allocated.iter();
        let starting = allocated
            .filter(|(block, _)| block.mask(worker) & run != 0)
            .map(|(_, until)| *until);
        running.chain(starting).max().unwrap_or(self.now)
    }

    /// The accelerators of a worker that the organisation's own guaranteed jobs hold and this job may not take.
    fn own_held_mask(&self, worker: usize, key: &JobKey, urgent: bool) -> u64 {
        self.jobs_on_worker[worker]
            .iter()
            .map(|&index| &self.running[index])
            .filter(|job| job.is_within_guarantee && job.key.organisation == key.organisation)
            .filter(|job| job.record.state != JobState::Stopping)
            .filter(|job| !(urgent && job.is_preemptible_by_own_urgent()))
            .fold(0, |mask, job| mask | job.block.mask(worker))
    }

    /// Finds free accelerators outside all guarantees, so that no borrower needs to stop.
    ///
    /// Returns `None` if the organisation's guaranteed jobs would then hold more than its guarantees.
    fn spare_block(&self, key: &JobKey, record: &JobRecord) -> Option<Block> {
        let slices = self.slices.iter();
        let guaranteed: u32 = slices
            .filter(|slice| *slice.organisation == key.organisation)
            .map(|slice| slice.block.total())
            .sum();
        let running = self.running.iter();
        let held: u32 = running
            .filter(|job| job.key.organisation == key.organisation && job.record.spec.guaranteed)
            .map(|job| job.block.total())
            .sum();
        let starting = self.actions.iter().filter_map(|action| match action {
            Action::Start { job, .. } if job.organisation == key.organisation => {
                self.snapshot.jobs.get(job)
            }
            _ => None,
        });
        let starting: u32 = starting.map(|record| record.spec.shape.total()).sum();
        if held + starting + record.spec.shape.total() > guaranteed {
            return None;
        }
        let free = self.free.iter().zip(&self.guaranteed_masks);
        let spare: Vec<u64> = free.map(|(free, guaranteed)| free & !guaranteed).collect();
        self.best_block(record.spec.shape, &spare)
    }

    fn free_on_workers(&self, block: &Block) -> u32 {
        block
            .worker_masks()
            .map(|(worker, _)| self.free[worker].count_ones())
            .sum()
    }
}

fn holds_when_empty(slice: &Slice<'_>, window: &Range<usize>, shape: Shape) -> bool {
    let wanted = u32::from(shape.accelerators());
    let mut workers = window.clone();
    workers.all(|worker| slice.block.mask(worker).count_ones() >= wanted)
}

/// The accelerators that a round has allocated to guaranteed jobs, as masks by worker.
#[derive(Clone, Debug)]
pub(super) struct GuaranteedAllocations {
    started: Vec<u64>,
    /// Reserved for jobs that wait for borrowers or for work of their own organisation to end.
    reserved: Vec<u64>,
}

impl GuaranteedAllocations {
    pub(super) fn new(workers: usize) -> Self {
        Self {
            started: vec![0; workers],
            reserved: vec![0; workers],
        }
    }
}

#[derive(Debug, Default)]
struct OwnBlockSearch {
    /// Whether some guarantee holds the shape once nothing runs on it.
    fits_when_empty: bool,
    /// Cost, number of victims and free accelerators on the workers of `cheapest`.
    rank: Option<(u64, usize, u32)>,
    cheapest: Option<PreemptionCandidate>,
    /// The block that the organisation's own guaranteed jobs release first.
    occupied: Option<Block>,
}
