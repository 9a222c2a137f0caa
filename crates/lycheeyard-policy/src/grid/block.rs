use super::Layout;
use lycheeyard_protocol::{AcceleratorIndex, Allocation, Placement};
use std::ops::Range;

/// Accelerators of adjacent workers: one bit mask per worker, starting at worker `first`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Block {
    pub(crate) first: usize,
    pub(crate) masks: Vec<u64>,
}

impl Block {
    /// Converts a placement to a block; workers that are not part of the layout are skipped.
    pub(crate) fn from_placement(placement: &Placement, layout: &Layout<'_>) -> Self {
        let allocated: Vec<(usize, u64)> = placement
            .allocations
            .iter()
            .filter_map(|allocation| {
                let number = layout.number(&allocation.worker)?;
                let bits = allocation.accelerators.iter();
                let mask = bits
                    .filter(|index| u32::from(index.0) < u64::BITS)
                    .fold(0, |mask, index| mask | 1 << index.0);
                Some((number, mask))
            })
            .collect();
        let first = allocated
            .iter()
            .map(|(number, _)| *number)
            .min()
            .unwrap_or(0);
        let end = allocated
            .iter()
            .map(|(number, _)| number + 1)
            .max()
            .unwrap_or(0);
        let mut masks = vec![0; end.saturating_sub(first)];
        for (number, mask) in allocated {
            masks[number - first] |= mask;
        }
        Self { first, masks }
    }

    pub(crate) fn range(&self) -> Range<usize> {
        self.first..self.first + self.masks.len()
    }

    /// Iterates over the worker numbers and their masks.
    pub(crate) fn worker_masks(&self) -> impl Iterator<Item = (usize, u64)> + '_ {
        self.masks
            .iter()
            .enumerate()
            .map(|(offset, mask)| (self.first + offset, *mask))
    }

    pub(crate) fn total(&self) -> u32 {
        self.masks.iter().map(|mask| mask.count_ones()).sum()
    }

    pub(crate) fn overlaps(&self, other: &Self) -> bool {
        self.worker_masks()
            .any(|(worker, mask)| mask & other.mask(worker) != 0)
    }

    pub(crate) fn is_inside(&self, masks: &[u64]) -> bool {
        self.worker_masks()
            .all(|(worker, mask)| mask & !masks[worker] == 0)
    }

    pub(crate) fn add_to(&self, masks: &mut [u64]) {
        self.worker_masks()
            .for_each(|(worker, mask)| masks[worker] |= mask);
    }

    pub(crate) fn remove_from(&self, masks: &mut [u64]) {
        self.worker_masks()
            .for_each(|(worker, mask)| masks[worker] &= !mask);
    }

    pub(crate) fn mask(&self, worker: usize) -> u64 {
        worker
            .checked_sub(self.first)
            .and_then(|offset| self.masks.get(offset))
            .copied()
            .unwrap_or(0)
    }

    pub(crate) fn placement(&self, layout: &Layout<'_>) -> Placement {
        let allocations = self
            .worker_masks()
            .filter(|(_, mask)| *mask != 0)
            .map(|(worker, mask)| Allocation {
                worker: layout.id(worker).clone(),
                accelerators: (0..u16::try_from(u64::BITS).unwrap_or(0))
                    .filter(|index| mask >> index & 1 == 1)
                    .map(AcceleratorIndex)
                    .collect(),
            })
            .collect();
        Placement { allocations }
    }
}
