use super::world::World;
use crate::grid::{Block, best_run, full_mask, longest_run};
use lycheeyard_protocol::{JobState, Shape};
use std::ops::Range;

/// Who may be stopped to make room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum MayStop {
    /// Borrowers of the accelerators.
    Borrowers,
    /// Also the claimant's own guaranteed work that is not urgent.
    OwnWorkToo,
}

/// A block that a claimant can get by stopping some running jobs.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub(super) block: Block,
    pub(super) victims: Vec<usize>,
    pub(super) cost: u64,
}

impl World<'_> {
    /// What getting a block would cost, or none if somebody on it may not be stopped.
    pub(super) fn claim(&self, block: Block, may_stop: MayStop) -> Option<Claim> {
        let victims = self.holders(&block);
        let mut cost = 0_u64;
        for &index in &victims {
            let row = &self.running[index];
            let giving_up = row.record.state == JobState::Stopping || self.stopped[index];
            let own = may_stop == MayStop::OwnWorkToo && row.is_own_work();
            if giving_up {
                continue;
            }
            if !row.may_stop() && !own {
                return None;
            }
            cost = cost.saturating_add(row.stop_cost(self.now));
        }
        Some(Claim {
            block,
            victims,
            cost,
        })
    }

    /// A block of a shape in a window: free accelerators where there are enough, else the cheapest to get.
    pub(super) fn block_in(
        &self,
        window: Range<usize>,
        shape: Shape,
        allowed: impl Fn(usize) -> u64,
    ) -> Option<Block> {
        let first = window.start;
        let masks: Option<Vec<u64>> = window
            .map(|worker| self.cheapest_run(worker, allowed(worker), shape.accelerators()))
            .collect();
        masks.map(|masks| Block { first, masks })
    }

    fn cheapest_run(&self, worker: usize, allowed: u64, count: u16) -> Option<u64> {
        if let Some((run, _)) = best_run(allowed & self.free[worker], count) {
            return Some(run);
        }
        if longest_run(allowed) < u32::from(count) {
            return None;
        }
        let run = full_mask(count);
        (0..=u64::BITS - u32::from(count))
            .map(|start| run << start)
            .filter(|run| run & !allowed == 0)
            .min_by_key(|run| self.run_cost(worker, *run))
    }

    /// What stopping the holders of a run costs; those that may not be stopped cost the most.
    fn run_cost(&self, worker: usize, run: u64) -> (u32, u64) {
        let rows = self.on_worker[worker].iter();
        let holders = rows.filter(|&&index| self.running[index].block.mask(worker) & run != 0);
        holders.fold((0, 0), |(fixed, cost), &index| {
            let row = &self.running[index];
            if self.stopped[index] || row.record.state == JobState::Stopping {
                (fixed, cost)
            } else if row.may_stop() || row.is_own_work() {
                (fixed, cost.saturating_add(row.stop_cost(self.now)))
            } else {
                (fixed + 1, cost)
            }
        })
    }
}
