use super::round_state::RoundState;
use crate::grid::{Block, best_run, full_mask, longest_run};
use lycheeyard_protocol::{JobState, Shape};
use std::ops::Range;

/// Who may be stopped to make room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PreemptionScope {
    /// Borrowers of the accelerators.
    Borrowers,
    /// Also the claimant's own guaranteed work that is not urgent.
    BorrowersAndOwnWork,
}

/// A block that a claimant can get by stopping some running jobs.
#[derive(Clone, Debug)]
pub(super) struct PreemptionCandidate {
    pub(super) block: Block,
    pub(super) victims: Vec<usize>,
    pub(super) cost: u64,
}

impl RoundState<'_> {
    /// What getting a block would cost, or none if somebody on it may not be stopped.
    pub(super) fn preemption_candidate(
        &self,
        block: Block,
        scope: PreemptionScope,
    ) -> Option<PreemptionCandidate> {
        let victims = self.holders(&block);
        let mut cost = 0_u64;
        for &index in &victims {
            let job = &self.running[index];
            let giving_up = job.record.state == JobState::Stopping || self.stopped[index];
            let own =
                scope == PreemptionScope::BorrowersAndOwnWork && job.is_preemptible_by_own_urgent();
            if giving_up {
                continue;
            }
            if !job.is_preemptible() && !own {
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
        runs_in(allowed, count).min_by_key(|run| self.run_cost(worker, *run))
    }

    /// What stopping the holders of a run costs; those that may not be stopped cost the most.
    fn run_cost(&self, worker: usize, run: u64) -> (u32, u64) {
        let jobs = self.jobs_on_worker[worker].iter();
        let holders = jobs.filter(|&&index| self.running[index].block.mask(worker) & run != 0);
        holders.fold((0, 0), |(fixed, cost), &index| {
            let job = &self.running[index];
            if self.stopped[index] || job.record.state == JobState::Stopping {
                (fixed, cost)
            } else if job.is_preemptible() || job.is_preemptible_by_own_urgent() {
                (fixed, cost.saturating_add(job.stop_cost(self.now)))
            } else {
                (fixed + 1, cost)
            }
        })
    }
}

/// All runs of a length inside a worker's allowed accelerators.
pub(super) fn runs_in(allowed: u64, count: u16) -> impl Iterator<Item = u64> {
    let run = full_mask(count);
    let end = u64::BITS - allowed.leading_zeros();
    let starts = 0..(end + 1).saturating_sub(u32::from(count));
    starts
        .map(move |start| run << start)
        .filter(move |run| run & !allowed == 0)
}
