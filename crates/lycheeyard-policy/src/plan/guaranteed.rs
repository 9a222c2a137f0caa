use super::{
    Action, JobKey, StopReason,
    victims::{Claim, MayStop},
    world::World,
};
use crate::{
    grid::{Block, Windows, full_mask},
    guarantees::Slice,
};
use lycheeyard_protocol::{JobRecord, JobState, Priority, Shape, Timestamp};
use std::ops::Range;

/// What becomes of a waiting guaranteed job in a round.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum GuaranteedStep {
    /// It starts.
    Started,
    /// Borrowers give its accelerators back.
    Reclaiming,
    /// Its organisation's own guaranteed jobs hold the guarantee.
    Occupied,
    /// Its shape is no part of any guarantee of its organisation.
    Outside,
}

impl World<'_> {
    /// Places one guaranteed job; `claimed` collects what this round has given to guaranteed jobs.
    pub(super) fn place_guaranteed(
        &mut self,
        key: &JobKey,
        record: &JobRecord,
        claimed: &mut [u64],
    ) -> GuaranteedStep {
        let blocks = self.own_blocks(key, record, claimed);
        if !blocks.fits_empty {
            return GuaranteedStep::Outside;
        }
        let Some(claim) = blocks.cheapest else {
            if let Some(block) = blocks.occupied {
                block.add_to(claimed);
            }
            return GuaranteedStep::Occupied;
        };
        claim.block.add_to(claimed);
        if claim.block.is_inside(&self.free) {
            self.start(key, &claim.block);
            return GuaranteedStep::Started;
        }
        if let Some(block) = self.spare_block(key, record) {
            claim.block.remove_from(claimed);
            self.start(key, &block);
            return GuaranteedStep::Started;
        }
        self.reclaim(key, record, &claim);
        GuaranteedStep::Reclaiming
    }

    fn reclaim(&mut self, key: &JobKey, record: &JobRecord, claim: &Claim) {
        let grace = if record.spec.priority == Priority::Urgent {
            self.urgent_grace()
        } else {
            self.snapshot.checkpoint_grace()
        };
        for &index in &claim.victims {
            let claimant = key.organisation.clone();
            self.stop(index, StopReason::Reclaim { claimant }, grace);
        }
        self.give(key, &claim.block);
    }

    /// Blocks of the organisation's own guarantees for a job.
    fn own_blocks(&self, key: &JobKey, record: &JobRecord, claimed: &[u64]) -> OwnBlocks {
        let shape = record.spec.shape;
        let windows = Windows::new(&self.layout, shape.workers());
        let mut found = OwnBlocks::default();
        let urgent = record.spec.priority == Priority::Urgent;
        let mut least = None;
        for slice in &self.slices {
            let range = slice.block.range();
            if *slice.organisation != key.organisation || range.is_empty() {
                continue;
            }
            for window in windows.within(range) {
                if !holds_when_empty(slice, &window, shape) {
                    continue;
                }
                found.fits_empty = true;
                let open = |worker: usize| {
                    slice.block.mask(worker)
                        & self.usable[worker]
                        & !claimed[worker]
                        & !self.own_held(worker, key, urgent)
                };
                let may_stop = if urgent {
                    MayStop::OwnWorkToo
                } else {
                    MayStop::Borrowers
                };
                let claim = self
                    .block_in(window.clone(), shape, open)
                    .and_then(|block| self.claim(block, may_stop));
                let Some(claim) = claim else {
                    let waited = self.wait_for_own(slice, &window, key, shape, claimed);
                    if let Some((ends_at, block)) = waited
                        && least.is_none_or(|least| ends_at < least)
                    {
                        least = Some(ends_at);
                        found.occupied = Some(block);
                    }
                    continue;
                };
                let rank = (claim.cost, claim.victims.len(), self.leftover(&claim.block));
                if found.rank.is_none_or(|best| rank < best) {
                    found.rank = Some(rank);
                    found.cheapest = Some(claim);
                }
            }
        }
        found
    }

    /// The block of a window that the organisation's own guaranteed jobs leave first, and when.
    ///
    /// Borrowers do not count, so that the choice stays while they come and go.
    fn wait_for_own(
        &self,
        slice: &Slice<'_>,
        window: &Range<usize>,
        key: &JobKey,
        shape: Shape,
        claimed: &[u64],
    ) -> Option<(Timestamp, Block)> {
        let mut latest = self.now;
        let mut masks = Vec::with_capacity(window.len());
        for worker in window.clone() {
            let allowed = slice.block.mask(worker) & self.usable[worker] & !claimed[worker];
            let run = full_mask(shape.accelerators());
            let runs = (0..=u64::BITS - u32::from(shape.accelerators())).map(|start| run << start);
            let fitting = runs.filter(|run| run & !allowed == 0);
            let (ends_at, run) = fitting
                .map(|run| (self.own_ends_at(worker, run, key), run))
                .min()?;
            latest = latest.max(ends_at);
            masks.push(run);
        }
        let first = window.start;
        Some((latest, Block { first, masks }))
    }

    fn own_ends_at(&self, worker: usize, run: u64, key: &JobKey) -> Timestamp {
        let rows = self.on_worker[worker].iter().map(|&i| &self.running[i]);
        rows.filter(|row| row.counted && row.key.organisation == key.organisation)
            .filter(|row| row.block.mask(worker) & run != 0)
            .map(|row| row.ends_at)
            .max()
            .unwrap_or(self.now)
    }

    /// What the organisation's own guaranteed jobs hold on a worker and this job may not claim.
    fn own_held(&self, worker: usize, key: &JobKey, urgent: bool) -> u64 {
        self.on_worker[worker]
            .iter()
            .map(|&index| &self.running[index])
            .filter(|row| row.counted && row.key.organisation == key.organisation)
            .filter(|row| row.record.state != JobState::Stopping)
            .filter(|row| !(urgent && row.is_own_work()))
            .fold(0, |mask, row| mask | row.block.mask(worker))
    }

    /// Free accelerators outside all guarantees, so that no borrower needs to stop.
    ///
    /// None when the organisation's guaranteed jobs already hold as much as its guarantees.
    fn spare_block(&self, key: &JobKey, record: &JobRecord) -> Option<Block> {
        let slices = self.slices.iter();
        let guaranteed: u32 = slices
            .filter(|slice| *slice.organisation == key.organisation)
            .map(|slice| slice.block.total())
            .sum();
        let running = self.running.iter();
        let held: u32 = running
            .filter(|row| row.key.organisation == key.organisation && row.record.spec.guaranteed)
            .map(|row| row.block.total())
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
        let free = self.free.iter().zip(&self.owned);
        let spare: Vec<u64> = free.map(|(free, owned)| free & !owned).collect();
        self.best_block(record.spec.shape, &spare)
    }

    fn leftover(&self, block: &Block) -> u32 {
        block
            .parts()
            .map(|(worker, _)| self.free[worker].count_ones())
            .sum()
    }
}

fn holds_when_empty(slice: &Slice<'_>, window: &Range<usize>, shape: Shape) -> bool {
    let wanted = u32::from(shape.accelerators());
    let mut workers = window.clone();
    workers.all(|worker| slice.block.mask(worker).count_ones() >= wanted)
}

#[derive(Debug, Default)]
struct OwnBlocks {
    fits_empty: bool,
    rank: Option<(u64, usize, u32)>,
    cheapest: Option<Claim>,
    occupied: Option<Block>,
}
