use super::pack;
use crate::{
    Snapshot,
    grid::{Block, Layout, Windows, best_run},
};
use lycheeyard_protocol::{DataCentreId, Organisation, OrganisationId, Shape};
use std::collections::BTreeMap;

/// The accelerators reserved for one guarantee; other organisations may only borrow them.
#[derive(Clone, Debug)]
pub(crate) struct Slice<'a> {
    pub(crate) organisation: &'a OrganisationId,
    pub(crate) shape: Shape,
    pub(crate) block: Block,
    /// Whether some of the guaranteed accelerators could not be placed or are on unusable workers.
    pub(crate) is_short: bool,
}

/// Returns the guarantees that organisations have in one data centre, in a fixed order.
pub(crate) fn guarantees_of<'a>(
    organisations: &'a BTreeMap<OrganisationId, Organisation>,
    data_centre: &DataCentreId,
) -> Vec<(&'a OrganisationId, Shape)> {
    let mut guarantees: Vec<_> = organisations
        .values()
        .flat_map(|organisation| {
            let here = organisation.guarantees.iter();
            here.filter(|guarantee| guarantee.data_centre == *data_centre)
                .map(|guarantee| (&organisation.id, guarantee.shape))
        })
        .collect();
    guarantees.sort();
    guarantees
}

/// Places the guarantees on the configured racks, then moves those with unusable workers to usable ones.
///
/// The initial placement depends only on the configuration, so that it is the same in every round. `fixed` holds the
/// accelerators that a moved guarantee may not take.
pub(crate) fn assign_slices<'a>(
    layout: &Layout<'_>,
    snapshot: &'a Snapshot,
    usable: &[u64],
    fixed: &[u64],
) -> Vec<Slice<'a>> {
    let guarantees = guarantees_of(&snapshot.organisations, &snapshot.data_centre.id);
    let shapes: Vec<Shape> = guarantees.iter().map(|(_, shape)| *shape).collect();
    let packing = pack(layout, &shapes, true);
    let mut slices: Vec<Slice<'a>> = guarantees
        .into_iter()
        .zip(packing.blocks)
        .map(|((organisation, shape), block)| {
            let block = block.unwrap_or(Block {
                first: 0,
                masks: Vec::new(),
            });
            Slice {
                organisation,
                shape,
                is_short: block.total() < shape.total() || !block.is_inside(usable),
                block,
            }
        })
        .collect();
    let mut spare: Vec<u64> = usable.iter().zip(fixed).map(|(a, b)| a & !b).collect();
    for slice in &slices {
        slice.block.remove_from(&mut spare);
    }
    for slice in slices.iter_mut().filter(|slice| slice.is_short) {
        if let Some(block) = find_block(layout, &spare, slice.shape) {
            block.remove_from(&mut spare);
            slice.block = block;
            slice.is_short = false;
        }
    }
    slices
}

/// Finds the first block of a shape within `masks`.
pub(crate) fn find_block(layout: &Layout<'_>, masks: &[u64], shape: Shape) -> Option<Block> {
    let windows = Windows::new(layout, shape.workers());
    windows.iter().find_map(|window| {
        let first = window.start;
        let runs: Option<Vec<u64>> = window
            .map(|worker| best_run(masks[worker], shape.accelerators()).map(|(run, _)| run))
            .collect();
        runs.map(|masks| Block { first, masks })
    })
}
