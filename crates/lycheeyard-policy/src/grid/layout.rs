use super::full_mask;
use lycheeyard_protocol::{DataCentre, WorkerId};
use std::{collections::BTreeMap, ops::Range};

/// A data centre with its workers numbered in rack order.
#[derive(Clone, Debug)]
pub(crate) struct Layout<'a> {
    ids: Vec<&'a WorkerId>,
    numbers: BTreeMap<&'a WorkerId, usize>,
    full: Vec<u64>,
    racks: Vec<Range<usize>>,
    rack_of: Vec<usize>,
}

impl<'a> Layout<'a> {
    pub(crate) fn new(data_centre: &'a DataCentre) -> Self {
        let mut layout = Self {
            ids: Vec::new(),
            numbers: BTreeMap::new(),
            full: Vec::new(),
            racks: Vec::new(),
            rack_of: Vec::new(),
        };
        for rack in &data_centre.racks {
            let first = layout.ids.len();
            for worker in &rack.workers {
                layout.numbers.insert(&worker.id, layout.ids.len());
                layout.ids.push(&worker.id);
                layout.full.push(full_mask(worker.accelerators));
                layout.rack_of.push(layout.racks.len());
            }
            layout.racks.push(first..layout.ids.len());
        }
        layout
    }

    /// A mask of all accelerators for each worker.
    pub(crate) fn full(&self) -> &[u64] {
        &self.full
    }

    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }

    pub(crate) fn racks(&self) -> &[Range<usize>] {
        &self.racks
    }

    pub(crate) fn rack_of(&self, worker: usize) -> usize {
        self.rack_of[worker]
    }

    pub(crate) fn id(&self, worker: usize) -> &'a WorkerId {
        self.ids[worker]
    }

    pub(crate) fn number(&self, id: &WorkerId) -> Option<usize> {
        self.numbers.get(id).copied()
    }

    /// The number of workers in the largest rack.
    pub(crate) fn largest_rack(&self) -> usize {
        self.racks.iter().map(Range::len).max().unwrap_or(0)
    }
}
