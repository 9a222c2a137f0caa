use crate::grid::Layout;
use lycheeyard_protocol::Shape;

/// Whether simple counts already show that the shapes cannot fit at once.
pub(super) fn exceeds_capacity(layout: &Layout<'_>, shapes: &[Shape]) -> bool {
    exceeds_worker_capacity(layout, shapes) || exceeds_rack_capacity(layout, shapes)
}

/// Counts, for each run length, how many such runs the workers hold and the shapes need.
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

/// Counts runs of neighbouring workers for the shapes of which a worker holds only one.
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
