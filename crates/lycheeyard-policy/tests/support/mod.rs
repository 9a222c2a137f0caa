//! Small data centres, organisations and traces for the policy tests.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use lycheeyard_bench::jobs::{Trace, TraceJob};
use lycheeyard_policy::{JobKey, Snapshot};
use lycheeyard_protocol::{
    Bytes, Cores, DataCentre, Guarantee, JobRecord, JobSpec, Organisation, OrganisationId, Percent,
    PolicySettings, Preemption, Priority, Rack, RequestsPerSecond, Shape, Slots, Timestamp, Weight,
    Worker,
};
use std::collections::BTreeMap;

pub fn shape(text: &str) -> Shape {
    text.parse().unwrap()
}

/// Builds a data centre; `racks` lists the numbers of accelerators of the workers of each rack.
pub fn data_centre(racks: &[&[u16]]) -> DataCentre {
    let mut number = 0;
    let racks = racks.iter().enumerate().map(|(rack, workers)| Rack {
        id: format!("r{rack}").parse().unwrap(),
        workers: workers
            .iter()
            .map(|accelerators| {
                number += 1;
                Worker {
                    id: format!("w{number:03}").parse().unwrap(),
                    accelerators: *accelerators,
                    cores: Cores(8),
                    memory: Bytes(1 << 30),
                }
            })
            .collect(),
    });
    DataCentre {
        id: "dc1".parse().unwrap(),
        racks: racks.collect(),
        policy: PolicySettings {
            urgent_reserve: Percent(0),
            ..PolicySettings::default()
        },
    }
}

/// An organisation with guarantees in `dc1`.
pub fn organisation(id: &str, shapes: &[&str]) -> Organisation {
    Organisation {
        id: id.parse().unwrap(),
        weight: Weight(1),
        concurrency: Slots(10),
        rate: RequestsPerSecond(10),
        guarantees: shapes
            .iter()
            .map(|text| Guarantee {
                data_centre: "dc1".parse().unwrap(),
                shape: shape(text),
            })
            .collect(),
        key_digests: Vec::new(),
    }
}

pub fn organisations(list: &[(&str, &[&str])]) -> BTreeMap<OrganisationId, Organisation> {
    let list = list.iter().map(|(id, shapes)| organisation(id, shapes));
    list.map(|organisation| (organisation.id.clone(), organisation))
        .collect()
}

pub fn spec(organisation: &str, job: &str, shape_text: &str) -> JobSpec {
    JobSpec {
        organisation: organisation.parse().unwrap(),
        job: job.parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        shape: shape(shape_text),
        priority: Priority::Normal,
        preemption: Preemption::Checkpoint,
        guaranteed: false,
        run_time_ms: 600_000,
        window_ms: None,
        payload: String::new(),
    }
}

pub fn key(organisation: &str, job: &str) -> JobKey {
    JobKey {
        organisation: organisation.parse().unwrap(),
        job: job.parse().unwrap(),
    }
}

pub fn submit(snapshot: &mut Snapshot, spec: JobSpec, at: u64) -> JobKey {
    let record = JobRecord::submitted(spec, Timestamp(at));
    let key = JobKey::of(&record);
    snapshot.jobs.insert(key.clone(), record);
    key
}

/// A generated job: organisation, shape, time since the previous submission (ms), run time (ms), declared run time in
/// tenths of the actual one, and flags for the guarantee and the preemption mode.
pub type JobDraw = (usize, usize, u64, u64, u64, u8);

pub const SHAPES: [&str; 7] = ["1x1", "1x2", "1x4", "2x4", "2x2", "3x4", "1x3"];
const ORGANISATIONS: [&str; 3] = ["anise", "basil", "cress"];

/// A trace on three racks of three workers with four accelerators each; two thirds of them are guaranteed.
pub fn small_trace(draws: &[JobDraw]) -> Trace {
    let mut now = 0;
    let jobs = draws.iter().enumerate().map(|(number, draw)| {
        let (owner, shape_number, gap_ms, run_ms, tenths, flags) = *draw;
        now += gap_ms;
        let mut spec = spec(
            ORGANISATIONS[owner],
            &format!("j{number:03}"),
            SHAPES[shape_number],
        );
        spec.run_time_ms = (run_ms * tenths / 10).max(1_000);
        spec.guaranteed = flags % 2 == 0;
        spec.preemption = match flags / 2 % 4 {
            0 => Preemption::Never,
            1 => Preemption::Stop,
            _ => Preemption::Checkpoint,
        };
        TraceJob {
            spec,
            submitted_at: Timestamp(now),
            actual_ms: run_ms,
            checkpoint_write_ms: 500,
        }
    });
    Trace {
        jobs: jobs.collect(),
        data_centre: data_centre(&[[4; 3].as_slice(); 3]),
        organisations: organisations(&[
            ("anise", &["3x4"]),
            ("basil", &["2x4"]),
            ("cress", &["1x4"]),
        ]),
    }
}
