use crate::placement::{FreeMap, find_placement};
use lycheeyard_protocol::{DataCentre, OrganisationId, Shape};
use std::{collections::BTreeSet, fmt};

/// The guaranteed shapes that do not fit beside the others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GuaranteeMisfit {
    /// The shapes, with the organisations that they are for.
    pub shapes: Vec<(OrganisationId, Shape)>,
}

impl fmt::Display for GuaranteeMisfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (organisation, shape)) in self.shapes.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(f, "{separator}{shape} of {organisation}")?;
        }
        Ok(())
    }
}

/// Checks that all guaranteed shapes of a data centre fit at once, the largest placed first.
///
/// # Errors
/// Names the shapes that found no place.
pub fn check_guarantees(
    data_centre: &DataCentre,
    shapes: &[(OrganisationId, Shape)],
) -> Result<(), GuaranteeMisfit> {
    let mut free = FreeMap::new(data_centre, &BTreeSet::new());
    let mut order: Vec<_> = shapes.to_vec();
    order.sort_by_key(|(organisation, shape)| {
        (
            std::cmp::Reverse(shape.total()),
            *shape,
            organisation.clone(),
        )
    });
    let mut misfits = Vec::new();
    for (organisation, shape) in order {
        match find_placement(data_centre, &free, shape) {
            Some(placement) => free.take(&placement),
            None => misfits.push((organisation, shape)),
        }
    }
    if misfits.is_empty() {
        Ok(())
    } else {
        Err(GuaranteeMisfit { shapes: misfits })
    }
}
