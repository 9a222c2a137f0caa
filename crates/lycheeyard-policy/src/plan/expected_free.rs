use super::round_state::RoundState;
use crate::grid::{Block, Windows, full_mask};
use lycheeyard_protocol::{Shape, Timestamp};

/// The time when each accelerator is expected to become free, by worker and accelerator index.
#[derive(Clone, Debug)]
pub(super) struct ExpectedFree {
    times: Vec<Vec<Timestamp>>,
}

const NEVER: Timestamp = Timestamp(u64::MAX);

impl ExpectedFree {
    /// Computes the times for the `allowed` accelerators; all others never become free.
    pub(super) fn new(state: &RoundState<'_>, allowed: &[u64]) -> Self {
        let mut times: Vec<Vec<Timestamp>> = state
            .layout
            .full()
            .iter()
            .zip(allowed)
            .map(|(full, allowed)| {
                (0..full.count_ones())
                    .map(|bit| {
                        if allowed >> bit & 1 == 1 {
                            state.now
                        } else {
                            NEVER
                        }
                    })
                    .collect()
            })
            .collect();
        for job in &state.running {
            for (worker, mask) in job.block.worker_masks() {
                let bits = times[worker].iter_mut().enumerate();
                bits.filter(|(bit, _)| mask >> bit & 1 == 1)
                    .for_each(|(_, time)| *time = (*time).max(job.expected_end));
            }
        }
        let mut free = Self { times };
        for (block, until) in &state.allocated {
            free.occupy(block, *until);
        }
        free
    }

    /// Marks a block as occupied until a time.
    pub(super) fn occupy(&mut self, block: &Block, until: Timestamp) {
        for (worker, mask) in block.worker_masks() {
            let bits = self.times[worker].iter_mut().enumerate();
            bits.filter(|(bit, _)| mask >> bit & 1 == 1)
                .for_each(|(_, time)| *time = (*time).max(until));
        }
    }

    /// Finds the block of a shape that becomes free first, and when it does.
    pub(super) fn earliest(
        &self,
        state: &RoundState<'_>,
        shape: Shape,
    ) -> Option<(Block, Timestamp)> {
        let count = usize::from(shape.accelerators());
        let best: Vec<Option<(Timestamp, usize)>> = self
            .times
            .iter()
            .map(|times| {
                let runs = times.windows(count).enumerate();
                runs.map(|(start, run)| (run.iter().copied().max().unwrap_or(NEVER), start))
                    .filter(|(time, _)| *time != NEVER)
                    .min()
            })
            .collect();
        let windows = Windows::new(&state.layout, shape.workers());
        let timed = windows.iter().filter_map(|window| {
            let latest = best[window.clone()]
                .iter()
                .try_fold(state.now, |latest, run| {
                    run.map(|(time, _)| latest.max(time))
                });
            latest.map(|time| (time, window))
        });
        let (time, window) = timed.min_by_key(|(time, window)| (*time, window.start))?;
        let masks = best[window.clone()].iter().flatten();
        let masks = masks
            .map(|(_, start)| full_mask(shape.accelerators()) << start)
            .collect();
        let first = window.start;
        Some((Block { first, masks }, time))
    }
}
