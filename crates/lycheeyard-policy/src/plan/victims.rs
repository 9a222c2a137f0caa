use super::round_state::RoundState;
use crate::grid::{Block, best_run, full_mask, longest_run};
use lycheeyard_protocol::{JobState, Shape};
use std::ops::Range;

/// Which running jobs may be stopped to free accelerators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PreemptionScope {
    /// Borrowers of the accelerators.
    Borrowers,
    /// Also the claimant organisation's own guaranteed work that is not urgent.
    BorrowersAndOwnWork,
}

/// A block that becomes available when some running jobs are stopped.
#[derive(Clone, Debug)]
pub(super) struct PreemptionCandidate {
    pub(super) block: Block,
    pub(super) victims: Vec<usize>,
    pub(super) cost: u64,
}

impl RoundState<'_> {
    /// Computes the victims and the cost of freeing a block, or `None` if a job on it may not be stopped.
    pub(super) fn preemption_candidate(
        &self,
        block: Block,
        scope: PreemptionScope,
    ) -> Option<PreemptionCandidate> {
        let victims = self.holders(&block);
        let mut cost = 0_u64;
        for &index in &victims {
            let job = &self.running[index];
            let is_stopping = job.record.state == JobState::Stopping || self.stopped[index];
            let is_own_work =
                scope == PreemptionScope::BorrowersAndOwnWork && job.is_preemptible_by_own_urgent();
            if is_stopping {
                continue;
            }
            if !job.is_preemptible() && !is_own_work {
                return None;
            }
            cost = cost.saturating_add(job.stop_cost(self.now));
        }
        Some(PreemptionCandidate {
            block,
            victims,
            cost,
        })
    }

    /// Chooses a block of a shape in a window: free accelerators where there are enough, else the cheapest to free.
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
        runs_in(allowed, count).min_by_key(|run| self.run_cost(worker, *run))
    }

    /// The cost of stopping the jobs on a run: the number of jobs that may not be stopped, then the cost of the others.
    fn run_cost(&self, worker: usize, run: u64) -> (u32, u64) {
        let jobs = self.jobs_on_worker[worker].iter();
        let holders = jobs.filter(|&&index| self.running[index].block.mask(worker) & run != 0);
        holders.fold((0, 0), |(unstoppable, cost), &index| {
            let job = &self.running[index];
            if self.stopped[index] || job.record.state == JobState::Stopping {
                (unstoppable, cost)
            } else if job.is_preemptible() || job.is_preemptible_by_own_urgent() {
                (unstoppable, cost.saturating_add(job.stop_cost(self.now)))
            } else {
                (unstoppable + 1, cost)
            }
        })
    }
}

/// Iterates over all runs of `count` adjacent accelerators within `allowed`.
pub(super) fn runs_in(allowed: u64, count: u16) -> impl Iterator<Item = u64> {
    let run = full_mask(count);
    let end = u64::BITS - allowed.leading_zeros();
    let starts = 0..(end + 1).saturating_sub(u32::from(count));
    starts
        .map(move |start| run << start)
        .filter(move |run| run & !allowed == 0)
}
