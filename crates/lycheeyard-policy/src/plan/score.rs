use super::round_state::RoundState;
use crate::grid::{Block, Windows, best_run};
use lycheeyard_protocol::Shape;

/// Cost of using a part of an entirely free worker; one accelerator left over in a run costs 1.
const BREAK_WORKER_COST: u32 = 64;
/// Cost of using a part of an entirely free rack, on the same scale.
const BREAK_RACK_COST: u32 = 512;

impl RoundState<'_> {
    /// Finds the block of a shape within `masks` that causes the least fragmentation.
    pub(super) fn best_block(&self, shape: Shape, masks: &[u64]) -> Option<Block> {
        let runs: Vec<Option<(u64, u32)>> = masks
            .iter()
            .enumerate()
            .map(|(worker, mask)| {
                let (run, left) = best_run(*mask, shape.accelerators())?;
                let whole = self.free[worker] == self.layout.full()[worker];
                let breaks = left > 0 && whole;
                Some((run, left + u32::from(breaks) * BREAK_WORKER_COST))
            })
            .collect();
        if runs.iter().flatten().count() < usize::from(shape.workers()) {
            return None;
        }
        let rack_costs = self.rack_costs(shape);
        let windows = Windows::new(&self.layout, shape.workers());
        let scored = windows.iter().filter_map(|window| {
            let cost = runs[window.clone()]
                .iter()
                .try_fold(0, |cost, run| run.map(|(_, cost_here)| cost + cost_here))?;
            Some((cost + rack_costs[self.layout.rack_of(window.start)], window))
        });
        let (_, window) = scored.min_by_key(|(cost, window)| (*cost, window.start))?;
        let first = window.start;
        let masks = runs[window].iter().flatten().map(|(run, _)| *run).collect();
        Some(Block { first, masks })
    }

    /// The cost of each rack: its free accelerators, plus [`BREAK_RACK_COST`] if that breaks up an entirely free rack.
    fn rack_costs(&self, shape: Shape) -> Vec<u32> {
        let racks = self.layout.racks().iter();
        racks
            .map(|rack| {
                let full: u32 = self.layout.full()[rack.clone()]
                    .iter()
                    .map(|m| m.count_ones())
                    .sum();
                let free: u32 = self.free[rack.clone()].iter().map(|m| m.count_ones()).sum();
                let breaks = free == full && shape.total() < full;
                free + u32::from(breaks) * BREAK_RACK_COST
            })
            .collect()
    }
}
