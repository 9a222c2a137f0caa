use super::assign_slices;
use crate::{Snapshot, grid::Layout, plan::usable_masks};
use lycheeyard_protocol::{OrganisationId, Shape};

/// Returns the guaranteed shapes that do not fit on the workers that are still usable.
#[must_use]
pub fn guarantee_shortfall(snapshot: &Snapshot) -> Vec<(OrganisationId, Shape)> {
    let layout = Layout::new(&snapshot.data_centre);
    let usable = usable_masks(&layout, snapshot);
    let fixed = vec![0; layout.len()];
    assign_slices(&layout, snapshot, &usable, &fixed)
        .into_iter()
        .filter(|slice| slice.is_short)
        .map(|slice| (slice.organisation.clone(), slice.shape))
        .collect()
}
