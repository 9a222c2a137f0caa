use super::FreeMap;
use lycheeyard_protocol::{DataCentre, Placement, Shape, Worker};

/// Finds adjacent free accelerators for a shape, or none.
#[must_use]
pub fn find_placement(data_centre: &DataCentre, free: &FreeMap, shape: Shape) -> Option<Placement> {
    let workers = usize::from(shape.workers());
    let in_rack = data_centre.racks.iter().find_map(|rack| {
        rack.workers
            .windows(workers)
            .find_map(|window| place_on(window, free, shape))
    });
    in_rack.or_else(|| place_over_racks(data_centre, free, shape))
}

fn place_over_racks(data_centre: &DataCentre, free: &FreeMap, shape: Shape) -> Option<Placement> {
    let wanted = usize::from(shape.workers());
    let fits_rack = |len: usize| len >= wanted;
    if data_centre
        .racks
        .iter()
        .any(|rack| fits_rack(rack.workers.len()))
    {
        return None;
    }
    (0..data_centre.racks.len()).find_map(|first| {
        let racks = &data_centre.racks[first..];
        let workers: Vec<Worker> = racks
            .iter()
            .flat_map(|rack| rack.workers.iter().cloned())
            .take(wanted)
            .collect();
        (workers.len() == wanted)
            .then(|| place_on(&workers, free, shape))
            .flatten()
    })
}

fn place_on(workers: &[Worker], free: &FreeMap, shape: Shape) -> Option<Placement> {
    let allocations = workers
        .iter()
        .map(|worker| free.find_run(&worker.id, shape.accelerators()))
        .collect::<Option<Vec<_>>>()?;
    Some(Placement { allocations })
}
