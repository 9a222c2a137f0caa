use super::{OutageReport, OutageRow, OutageWay};
use lycheeyard_policy::{Action, JobKey, Snapshot, plan};
use lycheeyard_protocol::{
    Bytes, Cores, DataCentre, JobRecord, JobSpec, JobState, ParseError, Placement, PolicySettings,
    Preemption, Priority, Rack, Shape, Timestamp, Worker,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::BTreeMap;
use strum::IntoEnumIterator;

const RACKS: u16 = 4;
const RACK_WORKERS: u16 = 8;
const ACCELERATORS: u16 = 8;
const STEP_MS: u64 = 10_000;
const WARM_UP_MS: u64 = 24 * 3_600_000;
const WAITING_JOBS: usize = 20;
const SHORTEST_RUN_MS: f64 = 1_800_000.0;
const LONGEST_RUN_MS: f64 = 28_800_000.0;

/// One run: a data centre with work always waiting, and an outage of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OutageCase {
    /// The seed of the jobs.
    pub seed: u64,
    /// The length of the outage in milliseconds.
    pub outage_ms: u64,
    /// What the scheduler does in it.
    pub way: OutageWay,
}

struct World {
    rng: SmallRng,
    snapshot: Snapshot,
    ends: BTreeMap<JobKey, Timestamp>,
    made: u64,
}

/// Measures every way at every length, over seeds from 1.
///
/// # Errors
/// Fails when a generated name is invalid.
pub fn measure_outages(outages_ms: &[u64], seeds: u64) -> Result<OutageReport, ParseError> {
    let mut report = OutageReport::default();
    for &outage_ms in outages_ms {
        for way in OutageWay::iter() {
            let cases = (1..=seeds).map(|seed| OutageCase {
                seed,
                outage_ms,
                way,
            });
            let idle = cases.map(run_outage).collect::<Result<Vec<f64>, _>>()?;
            let count = u32::try_from(idle.len()).unwrap_or(u32::MAX);
            report.rows.push(OutageRow {
                outage_s: outage_ms / 1_000,
                way,
                idle_mean: idle.iter().sum::<f64>() / f64::from(count),
                idle_max: idle.iter().copied().fold(0.0, f64::max),
            });
        }
    }
    Ok(report)
}

/// Runs one case and gives the idle share of the accelerator time in the outage.
///
/// # Errors
/// Fails when a generated name is invalid.
pub fn run_outage(case: OutageCase) -> Result<f64, ParseError> {
    let mut world = World::new(case.seed)?;
    let (mut idle, mut steps) = (0_u32, 0_u32);
    let mut now = 0;
    while now < WARM_UP_MS + case.outage_ms {
        let in_outage = now >= WARM_UP_MS;
        world.end_jobs(Timestamp(now));
        if !in_outage {
            world.submit(Timestamp(now))?;
        }
        if !in_outage || case.way == OutageWay::GoOn {
            world.start_jobs(Timestamp(now));
        }
        if in_outage {
            idle += world.idle();
            steps += 1;
        }
        now += STEP_MS;
    }
    let all = steps * u32::from(RACKS * RACK_WORKERS * ACCELERATORS);
    Ok(f64::from(idle) / f64::from(all))
}

impl World {
    fn new(seed: u64) -> Result<Self, ParseError> {
        let snapshot = Snapshot::new(data_centre()?, BTreeMap::new());
        Ok(Self {
            rng: SmallRng::seed_from_u64(seed),
            snapshot,
            ends: BTreeMap::new(),
            made: 0,
        })
    }

    fn submit(&mut self, now: Timestamp) -> Result<(), ParseError> {
        let waiting = |record: &&JobRecord| record.state == JobState::Queued;
        while self.snapshot.jobs.values().filter(waiting).count() < WAITING_JOBS {
            let record = self.make_job(now)?;
            self.snapshot.jobs.insert(JobKey::of(&record), record);
        }
        Ok(())
    }

    fn make_job(&mut self, now: Timestamp) -> Result<JobRecord, ParseError> {
        self.made += 1;
        let workers = 1 << self.rng.random_range(0..4_u16);
        let accelerators = if workers > 1 {
            ACCELERATORS
        } else {
            1 << self.rng.random_range(0..4_u16)
        };
        let span = (LONGEST_RUN_MS / SHORTEST_RUN_MS).ln();
        let run = SHORTEST_RUN_MS * (span * self.rng.random::<f64>()).exp();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a run time is positive and at most eight hours"
        )]
        let run_time_ms = run as u64;
        let spec = JobSpec {
            organisation: "org-a".parse()?,
            job: format!("job-{:06}", self.made).parse()?,
            data_centre: "dc1".parse()?,
            shape: Shape::new(workers, accelerators)?,
            priority: Priority::Normal,
            preemption: Preemption::Never,
            guaranteed: false,
            run_time_ms,
            window_ms: None,
            payload: String::new(),
        };
        Ok(JobRecord::submitted(spec, now))
    }

    fn end_jobs(&mut self, now: Timestamp) {
        let ended = self.ends.iter().filter(|(_, at)| at.is_past(now));
        let ended: Vec<JobKey> = ended.map(|(key, _)| key.clone()).collect();
        for key in ended {
            self.ends.remove(&key);
            self.snapshot.jobs.remove(&key);
        }
    }

    fn start_jobs(&mut self, now: Timestamp) {
        for action in plan(&self.snapshot, now) {
            if let Action::Start { job, placement } = action {
                self.start(job, placement, now);
            }
        }
    }

    fn start(&mut self, job: JobKey, placement: Placement, now: Timestamp) {
        if let Some(record) = self.snapshot.jobs.get_mut(&job) {
            record.state = JobState::Running;
            record.placement = Some(placement);
            record.started_at = Some(now);
            let run = std::time::Duration::from_millis(record.spec.run_time_ms);
            self.ends.insert(job, now.after(run));
        }
    }

    fn idle(&self) -> u32 {
        let placements = self
            .snapshot
            .jobs
            .values()
            .filter_map(|record| record.placement.as_ref());
        let busy: usize = placements
            .map(|placement| placement.accelerators().count())
            .sum();
        let all = u32::from(RACKS * RACK_WORKERS * ACCELERATORS);
        all.saturating_sub(u32::try_from(busy).unwrap_or(u32::MAX))
    }
}

fn data_centre() -> Result<DataCentre, ParseError> {
    let mut racks = Vec::new();
    for rack in 1..=RACKS {
        let mut workers = Vec::new();
        for worker in 1..=RACK_WORKERS {
            workers.push(Worker {
                id: format!("r{rack}-w{worker}").parse()?,
                accelerators: ACCELERATORS,
                cores: Cores(64),
                memory: Bytes(1 << 38),
            });
        }
        racks.push(Rack {
            id: format!("r{rack}").parse()?,
            workers,
        });
    }
    Ok(DataCentre {
        id: "dc1".parse()?,
        racks,
        policy: PolicySettings::default(),
    })
}
