use crate::grid::Layout;
use lycheeyard_protocol::Shape;

/// Reports whether capacity counts alone prove that the shapes cannot all fit at once.
pub(super) fn exceeds_capacity(layout: &Layout<'_>, shapes: &[Shape]) -> bool {
    exceeds_worker_capacity(layout, shapes) || exceeds_rack_capacity(layout, shapes)
}

/// Compares, for each run length, the number of such runs that the workers hold with the number that the shapes need.
fn exceeds_worker_capacity(layout: &Layout<'_>, shapes: &[Shape]) -> bool {
    let lengths: std::collections::BTreeSet<u32> = shapes
        .iter()
        .map(|shape| u32::from(shape.accelerators()))
        .chain([1])
        .collect();
    lengths.into_iter().any(|length| {
        let held: u32 = layout
            .full()
            .iter()
            .map(|mask| mask.count_ones() / length)
            .sum();
        let needed: u32 = shapes
            .iter()
            .map(|shape| u32::from(shape.workers()) * (u32::from(shape.accelerators()) / length))
            .sum();
        needed > held
    })
}

/// Compares the worker ranges that the racks hold with those that the shapes need.
///
/// Considers only shapes that fit into one rack and take more than half of the largest worker, so that a worker holds at
/// most one of them.
fn exceeds_rack_capacity(layout: &Layout<'_>, shapes: &[Shape]) -> bool {
    let largest = layout
        .full()
        .iter()
        .map(|mask| mask.count_ones())
        .max()
        .unwrap_or(0);
    let widths: Vec<usize> = shapes
        .iter()
        .filter(|shape| u32::from(shape.accelerators()) * 2 > largest)
        .map(|shape| usize::from(shape.workers()))
        .filter(|workers| *workers <= layout.largest_rack())
        .collect();
    widths.iter().any(|width| {
        let held: usize = layout.racks().iter().map(|rack| rack.len() / width).sum();
        let needed: usize = widths.iter().map(|workers| workers / width).sum();
        needed > held
    })
}
