use super::Layout;
use std::ops::Range;

/// The ranges of adjacent workers on which a gang of a given number of workers may be placed.
///
/// A gang that fits into the largest rack stays within one rack; a larger one starts at the first worker of a rack and
/// continues into the racks that follow.
#[derive(Clone, Debug)]
pub(crate) struct Windows {
    ranges: Vec<Range<usize>>,
    workers: usize,
}

impl Windows {
    pub(crate) fn new(layout: &Layout<'_>, workers: u16) -> Self {
        let workers = usize::from(workers);
        let ranges = if workers <= layout.largest_rack() {
            let racks = layout.racks().iter();
            racks
                .filter(|rack| rack.len() >= workers)
                .map(|rack| rack.start..rack.end + 1 - workers)
                .collect()
        } else {
            let starts = layout.racks().iter().map(|rack| rack.start);
            starts
                .filter(|start| start + workers <= layout.len())
                .map(|start| start..start + 1)
                .collect()
        };
        Self { ranges, workers }
    }

    /// All windows, in worker order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Range<usize>> + '_ {
        let starts = self.ranges.iter().cloned().flatten();
        starts.map(|start| start..start + self.workers)
    }

    /// The windows inside a range of workers.
    pub(crate) fn within(&self, range: Range<usize>) -> impl Iterator<Item = Range<usize>> + '_ {
        let workers = self.workers;
        let last = (range.end + 1).saturating_sub(workers);
        let clipped = self
            .ranges
            .iter()
            .map(move |starts| starts.start.max(range.start)..starts.end.min(last));
        clipped.flatten().map(move |start| start..start + workers)
    }
}
