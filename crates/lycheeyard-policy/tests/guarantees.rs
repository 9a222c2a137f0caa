//! Checks that all guarantees fit at once: results compared with brute force, and the contents of the errors.
//!
//! A wrong `Ok` would promise accelerators that do not exist; a wrong error would reject a valid configuration.

mod support;

use lycheeyard_policy::{Snapshot, check_guarantees, guarantee_shortfall};
use lycheeyard_protocol::{DataCentre, OrganisationId, Shape};
use proptest::{
    prelude::{Just, Strategy, prop, proptest},
    prop_assert, prop_assert_eq, prop_oneof,
    test_runner::{Config, RngSeed},
};
use rstest::rstest;
use support::{data_centre, organisations, shape};

fn with_organisations(shapes: &[Shape]) -> Vec<(OrganisationId, Shape)> {
    let named = shapes.iter().enumerate();
    named
        .map(|(number, shape)| (format!("org-{number:03}").parse().unwrap(), *shape))
        .collect()
}

/// Tries every combination of windows for the shapes.
fn brute_force(data_centre: &DataCentre, shapes: &[Shape]) -> bool {
    let racks: Vec<usize> = data_centre.racks.iter().map(|r| r.workers.len()).collect();
    let mut left: Vec<u16> = data_centre.workers().map(|w| w.accelerators).collect();
    fits(&racks, &mut left, shapes)
}

fn fits(racks: &[usize], left: &mut Vec<u16>, shapes: &[Shape]) -> bool {
    let Some((shape, rest)) = shapes.split_first() else {
        return true;
    };
    let count = usize::from(shape.workers());
    let mut starts = Vec::new();
    let mut first = 0;
    for len in racks {
        if count <= *racks.iter().max().unwrap() {
            starts.extend((first..first + len).filter(|start| start + count <= first + len));
        } else {
            starts.push(first);
        }
        first += len;
    }
    starts.into_iter().any(|start| {
        let end = start + count;
        if end > left.len() || left[start..end].iter().any(|l| *l < shape.accelerators()) {
            return false;
        }
        left[start..end]
            .iter_mut()
            .for_each(|l| *l -= shape.accelerators());
        let found = fits(racks, left, rest);
        left[start..end]
            .iter_mut()
            .for_each(|l| *l += shape.accelerators());
        found
    })
}

fn shapes() -> impl Strategy<Value = Vec<Shape>> {
    let one = (1..=5_u16, 1..=4_u16).prop_map(|(w, a)| Shape::new(w, a).unwrap());
    prop::collection::vec(one, 1..7)
}

fn racks() -> impl Strategy<Value = Vec<Vec<u16>>> {
    let worker = prop_oneof![Just(4_u16), Just(4), Just(2), Just(1)];
    prop::collection::vec(prop::collection::vec(worker, 1..4), 1..4)
}

proptest! {
    #![proptest_config(Config {
        cases: 1_500,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn check_agrees_with_brute_force(racks in racks(), shapes in shapes()) {
        let racks: Vec<&[u16]> = racks.iter().map(Vec::as_slice).collect();
        let data_centre = data_centre(&racks);
        let expected = brute_force(&data_centre, &shapes);
        match check_guarantees(&data_centre, &with_organisations(&shapes)) {
            Ok(()) => prop_assert!(expected),
            Err(infeasible) => {
                prop_assert!(infeasible.is_certain);
                prop_assert!(!expected);
                prop_assert!(!infeasible.shapes.is_empty());
            }
        }
    }

    #[test]
    fn smallest_change_makes_all_guarantees_fit(racks in racks(), shapes in shapes()) {
        let racks: Vec<&[u16]> = racks.iter().map(Vec::as_slice).collect();
        let data_centre = data_centre(&racks);
        let requested = with_organisations(&shapes);
        if let Err(infeasible) = check_guarantees(&data_centre, &requested)
            && let Some(change) = infeasible.smallest_change
        {
            let mut wanted = requested;
            let item = wanted
                .iter()
                .position(|(id, shape)| *id == change.organisation && *shape == change.from);
            let item = item.expect("the change refers to a requested guarantee");
            match change.to {
                Some(to) => wanted[item].1 = to,
                None => drop(wanted.remove(item)),
            }
            let wanted: Vec<Shape> = wanted.into_iter().map(|(_, shape)| shape).collect();
            prop_assert_eq!(brute_force(&data_centre, &wanted), true);
        }
    }
}

/// The shapes fill racks of 7 and 6 workers, so that greedy placement, largest first, can leave no room for the last.
#[test]
fn fits_shapes_that_fill_all_racks_exactly() {
    let data_centre = data_centre(&[&[4; 7], &[4; 6]]);
    let requested: Vec<Shape> = ["4x4", "3x4", "2x4", "2x4", "2x4"].map(shape).to_vec();
    assert!(brute_force(&data_centre, &requested));
    assert_eq!(
        check_guarantees(&data_centre, &with_organisations(&requested)),
        Ok(())
    );
}

#[test]
fn error_names_unplaced_shape_and_smallest_change() {
    let data_centre = data_centre(&[&[8; 6]]);
    let requested = [
        ("anise".parse().unwrap(), shape("4x8")),
        ("basil".parse().unwrap(), shape("3x8")),
    ];
    let infeasible = check_guarantees(&data_centre, &requested).unwrap_err();
    assert_eq!(
        infeasible.to_string(),
        "3x8 of basil; 3x8 in place of 4x8 for anise would fit"
    );
    assert!(infeasible.is_certain);
}

#[rstest]
#[case::none_lost(&[], 0)]
#[case::spare_worker_takes_over(&["w001"], 0)]
#[case::two_lost(&["w001", "w003"], 1)]
fn reports_shortfall_after_lost_workers(#[case] lost: &[&str], #[case] short: usize) {
    let mut snapshot = Snapshot::new(
        data_centre(&[&[4; 3]]),
        organisations(&[("anise", &["1x4"]), ("basil", &["1x4"])]),
    );
    snapshot.unavailable = lost.iter().map(|id| id.parse().unwrap()).collect();
    assert_eq!(guarantee_shortfall(&snapshot).len(), short);
}

/// The size expected in two years, 1,100 workers and 200 organisations, with all accelerators guaranteed.
#[test]
fn fits_guarantees_that_fill_a_large_data_centre() {
    let racks: Vec<Vec<u16>> = (0..137)
        .map(|rack| if rack < 9 { vec![8; 8] } else { vec![1; 8] })
        .collect();
    let racks: Vec<&[u16]> = racks.iter().map(Vec::as_slice).collect();
    let data_centre = data_centre(&racks);
    let mut requested = vec![shape("8x8"); 9];
    requested.extend(vec![shape("8x1"); 128]);
    assert_eq!(
        check_guarantees(&data_centre, &with_organisations(&requested)),
        Ok(())
    );
    requested.push(shape("1x1"));
    let infeasible = check_guarantees(&data_centre, &with_organisations(&requested)).unwrap_err();
    assert!(infeasible.is_certain);
}
