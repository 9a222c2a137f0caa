use super::bounds::exceeds_capacity;
use crate::grid::{Block, Layout, Windows, full_mask};
use lycheeyard_protocol::Shape;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    ops::Range,
};

/// Work limit of one exact search, in search nodes times workers.
const MAX_SEARCH_WORK: usize = 4_000_000;

/// Result of packing a set of shapes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PackingVerdict {
    /// All shapes fit at once.
    Fits,
    /// No arrangement fits all shapes.
    DoesNotFit,
    /// No arrangement was found, but not all were tried.
    Undecided,
}

/// An arrangement of shapes, in the order in which they were given.
#[derive(Clone, Debug)]
pub(crate) struct Packing {
    pub(crate) verdict: PackingVerdict,
    pub(crate) blocks: Vec<Option<Block>>,
}

/// Packs shapes into an empty data centre: all of them if an arrangement is found, otherwise as many accelerators as
/// the greedy heuristics place.
///
/// With `exact` set, an exact search follows where the heuristics fail and capacity counts do not rule the shapes out.
pub(crate) fn pack(layout: &Layout<'_>, shapes: &[Shape], exact: bool) -> Packing {
    let mut best: Option<Packing> = None;
    for order in orders(shapes) {
        for heuristic in [Heuristic::FirstFit, Heuristic::TightestFit] {
            let packing = Packer::new(layout, shapes).greedy(&order, heuristic);
            if packing.verdict == PackingVerdict::Fits {
                return packing;
            }
            if best
                .as_ref()
                .is_none_or(|best| packing.placed() > best.placed())
            {
                best = Some(packing);
            }
        }
    }
    let mut best = best.unwrap_or(Packing {
        verdict: PackingVerdict::Undecided,
        blocks: Vec::new(),
    });
    if exceeds_capacity(layout, shapes) {
        best.verdict = PackingVerdict::DoesNotFit;
        return best;
    }
    if !exact {
        return best;
    }
    let order = orders(shapes).swap_remove(0);
    let mut packer = Packer::new(layout, shapes);
    best.verdict = packer.search(&order, 0);
    if best.verdict == PackingVerdict::Fits {
        best.blocks = packer.blocks;
    }
    best
}

impl Packing {
    fn placed(&self) -> u32 {
        self.blocks.iter().flatten().map(Block::total).sum()
    }
}

#[derive(Clone, Copy)]
enum Heuristic {
    FirstFit,
    TightestFit,
}

fn orders(shapes: &[Shape]) -> Vec<Vec<usize>> {
    let mut by_total: Vec<usize> = (0..shapes.len()).collect();
    let mut by_run = by_total.clone();
    by_total.sort_by_key(|&i| Reverse((shapes[i].total(), shapes[i].workers())));
    by_run.sort_by_key(|&i| Reverse((shapes[i].accelerators(), shapes[i].workers())));
    vec![by_total, by_run]
}

struct Packer<'a> {
    layout: &'a Layout<'a>,
    shapes: &'a [Shape],
    windows: BTreeMap<u16, Windows>,
    used: Vec<u16>,
    blocks: Vec<Option<Block>>,
    failed: BTreeSet<(usize, Vec<u16>)>,
    nodes_left: usize,
    /// Whether some shape spans more than one rack, so that the order of racks matters.
    spans_racks: bool,
}

impl<'a> Packer<'a> {
    fn new(layout: &'a Layout<'a>, shapes: &'a [Shape]) -> Self {
        let windows = shapes
            .iter()
            .map(|shape| (shape.workers(), Windows::new(layout, shape.workers())))
            .collect();
        Self {
            layout,
            shapes,
            windows,
            used: vec![0; layout.len()],
            blocks: vec![None; shapes.len()],
            failed: BTreeSet::new(),
            nodes_left: MAX_SEARCH_WORK / layout.len().max(1),
            spans_racks: shapes
                .iter()
                .any(|shape| usize::from(shape.workers()) > layout.largest_rack()),
        }
    }

    fn greedy(mut self, order: &[usize], heuristic: Heuristic) -> Packing {
        for &item in order {
            let window = self.greedy_window(self.shapes[item], heuristic);
            if let Some(window) = window {
                self.place(item, &window);
            }
        }
        let verdict = if self.blocks.iter().all(Option::is_some) {
            PackingVerdict::Fits
        } else {
            PackingVerdict::Undecided
        };
        Packing {
            verdict,
            blocks: self.blocks,
        }
    }

    fn greedy_window(&self, shape: Shape, heuristic: Heuristic) -> Option<Range<usize>> {
        let mut fitting = self.windows[&shape.workers()]
            .iter()
            .filter(|window| self.fits(window, shape));
        match heuristic {
            Heuristic::FirstFit => fitting.next(),
            Heuristic::TightestFit => fitting.min_by_key(|window| self.free_around(window)),
        }
    }

    /// Searches all arrangements of the items from `depth` on, except those that differ only by interchangeable racks.
    fn search(&mut self, order: &[usize], depth: usize) -> PackingVerdict {
        let Some(&item) = order.get(depth) else {
            return PackingVerdict::Fits;
        };
        if self.nodes_left == 0 {
            return PackingVerdict::Undecided;
        }
        self.nodes_left -= 1;
        let state = (depth, self.used.clone());
        if self.failed.contains(&state) {
            return PackingVerdict::DoesNotFit;
        }
        for window in self.distinct_windows(self.shapes[item]) {
            self.place(item, &window);
            let verdict = self.search(order, depth + 1);
            if verdict != PackingVerdict::DoesNotFit {
                return verdict;
            }
            self.undo_place(item, &window);
        }
        self.failed.insert(state);
        PackingVerdict::DoesNotFit
    }

    /// Returns the windows that fit; of racks in the same state only the first, unless the order of racks matters.
    fn distinct_windows(&self, shape: Shape) -> Vec<Range<usize>> {
        let mut seen = BTreeSet::new();
        let fitting = self.windows[&shape.workers()]
            .iter()
            .filter(|window| self.fits(window, shape));
        fitting
            .filter(|window| {
                let rack = self.layout.racks()[self.layout.rack_of(window.start)].clone();
                self.spans_racks
                    || seen.insert((
                        window.start - rack.start,
                        &self.layout.full()[rack.clone()],
                        &self.used[rack],
                    ))
            })
            .collect()
    }

    fn free_on(&self, worker: usize) -> u32 {
        self.layout.full()[worker].count_ones() - u32::from(self.used[worker])
    }

    fn fits(&self, window: &Range<usize>, shape: Shape) -> bool {
        window
            .clone()
            .all(|worker| self.free_on(worker) >= u32::from(shape.accelerators()))
    }

    /// Counts the free accelerators on the window's workers and in its first rack, as a sort key.
    fn free_around(&self, window: &Range<usize>) -> (u32, u32) {
        let rack = self.layout.racks()[self.layout.rack_of(window.start)].clone();
        let on_window = window.clone().map(|worker| self.free_on(worker)).sum();
        (on_window, rack.map(|worker| self.free_on(worker)).sum())
    }

    fn place(&mut self, item: usize, window: &Range<usize>) {
        let count = self.shapes[item].accelerators();
        let masks = window
            .clone()
            .map(|worker| full_mask(count) << self.used[worker])
            .collect();
        self.used[window.clone()]
            .iter_mut()
            .for_each(|used| *used += count);
        self.blocks[item] = Some(Block {
            first: window.start,
            masks,
        });
    }

    fn undo_place(&mut self, item: usize, window: &Range<usize>) {
        let count = self.shapes[item].accelerators();
        self.used[window.clone()]
            .iter_mut()
            .for_each(|used| *used -= count);
        self.blocks[item] = None;
    }
}
