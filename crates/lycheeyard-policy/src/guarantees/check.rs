use super::{InfeasibleGuarantees, PackingVerdict, SmallestChange, pack};
use crate::grid::Layout;
use lycheeyard_protocol::{DataCentre, OrganisationId, Shape};
use std::collections::BTreeSet;

/// Maximum number of changes that are tried to find the smallest one.
const MAX_CHANGES_TRIED: usize = 200;

/// Checks that all guaranteed shapes of a data centre fit at once.
///
/// `Ok` is always correct. `Err` is proven if [`InfeasibleGuarantees::is_certain`] is set; otherwise the search ended at
/// its work limit.
///
/// # Errors
/// Returns the shapes that could not be placed and the smallest change that would make all fit.
pub fn check_guarantees(
    data_centre: &DataCentre,
    shapes: &[(OrganisationId, Shape)],
) -> Result<(), InfeasibleGuarantees> {
    let layout = Layout::new(data_centre);
    let mut ordered = shapes.to_vec();
    ordered.sort();
    let requested: Vec<Shape> = ordered.iter().map(|(_, shape)| *shape).collect();
    let packing = pack(&layout, &requested, true);
    if packing.verdict == PackingVerdict::Fits {
        return Ok(());
    }
    let unplaceable = ordered
        .iter()
        .zip(&packing.blocks)
        .filter(|(_, block)| block.is_none())
        .map(|(guarantee, _)| guarantee.clone())
        .collect();
    Err(InfeasibleGuarantees {
        shapes: unplaceable,
        is_certain: packing.verdict == PackingVerdict::DoesNotFit,
        smallest_change: smallest_change(&layout, &ordered),
    })
}

/// Tries changes of a single guarantee, in ascending order of the accelerators given up.
fn smallest_change(
    layout: &Layout<'_>,
    guarantees: &[(OrganisationId, Shape)],
) -> Option<SmallestChange> {
    let mut changes: Vec<(u32, usize, Option<Shape>)> = Vec::new();
    let mut seen = BTreeSet::new();
    for (item, (_, shape)) in guarantees.iter().enumerate() {
        if seen.insert(*shape) {
            changes.extend(smaller(*shape).map(|to| (shape.total() - to.total(), item, Some(to))));
            changes.push((shape.total(), item, None));
        }
    }
    changes.sort();
    let shapes: Vec<Shape> = guarantees.iter().map(|(_, shape)| *shape).collect();
    let needed = min_saving(layout, &shapes);
    let (_, item, to) = changes
        .into_iter()
        .filter(|(saved, _, _)| *saved >= needed)
        .take(MAX_CHANGES_TRIED)
        .find(|(_, item, to)| {
            let mut wanted = shapes.clone();
            match to {
                Some(to) => wanted[*item] = *to,
                None => drop(wanted.remove(*item)),
            }
            pack(layout, &wanted, false).verdict == PackingVerdict::Fits
        })?;
    let (organisation, from) = guarantees[item].clone();
    Some(SmallestChange {
        organisation,
        from,
        to,
    })
}

/// A lower bound on the accelerators that any change has to give up.
fn min_saving(layout: &Layout<'_>, shapes: &[Shape]) -> u32 {
    let capacity: u32 = layout.full().iter().map(|mask| mask.count_ones()).sum();
    let requested: u32 = shapes.iter().map(|shape| shape.total()).sum();
    requested.saturating_sub(capacity).max(1)
}

fn smaller(shape: Shape) -> impl Iterator<Item = Shape> {
    let fewer_workers =
        (1..shape.workers()).filter_map(move |count| Shape::new(count, shape.accelerators()).ok());
    let fewer_accelerators =
        (1..shape.accelerators()).filter_map(move |count| Shape::new(shape.workers(), count).ok());
    fewer_workers.chain(fewer_accelerators)
}
