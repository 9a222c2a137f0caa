use super::{OutagePolicy, OutageReport, OutageRow};
use lycheeyard_policy::{Action, JobKey, Snapshot, plan};
use lycheeyard_protocol::{
    Bytes, Cores, DataCentre, JobRecord, JobSpec, JobState, ParseError, Placement, PolicySettings,
    Preemption, Priority, Rack, Shape, Timestamp, Worker,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::BTreeMap;
use strum::IntoEnumIterator;

const RACKS: u16 = 4;
const WORKERS_PER_RACK: u16 = 8;
const ACCELERATORS_PER_WORKER: u16 = 8;
const STEP_MS: u64 = 10_000;
const WARM_UP_MS: u64 = 24 * 3_600_000;
const WAITING_JOBS: usize = 20;
const MIN_RUN_TIME_MS: f64 = 1_800_000.0;
const MAX_RUN_TIME_MS: f64 = 28_800_000.0;

/// One simulation: a data centre that always has jobs waiting, and an outage of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OutageCase {
    /// The seed of the jobs.
    pub seed: u64,
    /// The length of the outage in milliseconds.
    pub outage_ms: u64,
    /// The policy of the scheduler during the outage.
    pub policy: OutagePolicy,
}

struct SimulatedCluster {
    rng: SmallRng,
    snapshot: Snapshot,
    end_times: BTreeMap<JobKey, Timestamp>,
    generated_jobs: u64,
}

/// Simulates every policy for every outage length, with the seeds from 1 to `seeds`.
///
/// # Errors
/// Fails when a generated name is invalid.
pub fn measure_outages(outages_ms: &[u64], seeds: u64) -> Result<OutageReport, ParseError> {
    let mut report = OutageReport::default();
    for &outage_ms in outages_ms {
        for policy in OutagePolicy::iter() {
            let cases = (1..=seeds).map(|seed| OutageCase {
                seed,
                outage_ms,
                policy,
            });
            let idle = cases.map(run_outage).collect::<Result<Vec<f64>, _>>()?;
            let count = u32::try_from(idle.len()).unwrap_or(u32::MAX);
            report.rows.push(OutageRow {
                outage_s: outage_ms / 1_000,
                policy,
                idle_mean: idle.iter().sum::<f64>() / f64::from(count),
                idle_max: idle.iter().copied().fold(0.0, f64::max),
            });
        }
    }
    Ok(report)
}

/// Simulates one case and returns the idle share of the accelerator time in the outage.
///
/// # Errors
/// Fails when a generated name is invalid.
pub fn run_outage(case: OutageCase) -> Result<f64, ParseError> {
    let mut cluster = SimulatedCluster::new(case.seed)?;
    let (mut idle, mut steps) = (0_u32, 0_u32);
    let mut now = 0;
    while now < WARM_UP_MS + case.outage_ms {
        let in_outage = now >= WARM_UP_MS;
        cluster.end_jobs(Timestamp(now));
        if !in_outage {
            cluster.fill_queue(Timestamp(now))?;
        }
        if !in_outage || case.policy == OutagePolicy::KeepStarting {
            cluster.start_jobs(Timestamp(now));
        }
        if in_outage {
            idle += cluster.idle_accelerators();
            steps += 1;
        }
        now += STEP_MS;
    }
    let all = steps * u32::from(RACKS * WORKERS_PER_RACK * ACCELERATORS_PER_WORKER);
    Ok(f64::from(idle) / f64::from(all))
}

impl SimulatedCluster {
    fn new(seed: u64) -> Result<Self, ParseError> {
        let snapshot = Snapshot::new(data_centre()?, BTreeMap::new());
        Ok(Self {
            rng: SmallRng::seed_from_u64(seed),
            snapshot,
            end_times: BTreeMap::new(),
            generated_jobs: 0,
        })
    }

    fn fill_queue(&mut self, now: Timestamp) -> Result<(), ParseError> {
        let waiting = |record: &&JobRecord| record.state == JobState::Queued;
        while self.snapshot.jobs.values().filter(waiting).count() < WAITING_JOBS {
            let record = self.generate_job(now)?;
            self.snapshot.jobs.insert(JobKey::of(&record), record);
        }
        Ok(())
    }

    fn generate_job(&mut self, now: Timestamp) -> Result<JobRecord, ParseError> {
        self.generated_jobs += 1;
        let workers = 1 << self.rng.random_range(0..4_u16);
        let accelerators = if workers > 1 {
            ACCELERATORS_PER_WORKER
        } else {
            1 << self.rng.random_range(0..4_u16)
        };
        let log_range = (MAX_RUN_TIME_MS / MIN_RUN_TIME_MS).ln();
        let run_time_ms = MIN_RUN_TIME_MS * (log_range * self.rng.random::<f64>()).exp();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a run time is positive and at most eight hours"
        )]
        let run_time_ms = run_time_ms as u64;
        let spec = JobSpec {
            organisation: "org-a".parse()?,
            job: format!("job-{:06}", self.generated_jobs).parse()?,
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
        let ended = self.end_times.iter().filter(|(_, at)| at.is_past(now));
        let ended: Vec<JobKey> = ended.map(|(key, _)| key.clone()).collect();
        for key in ended {
            self.end_times.remove(&key);
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
            let run_time = std::time::Duration::from_millis(record.spec.run_time_ms);
            self.end_times.insert(job, now.after(run_time));
        }
    }

    fn idle_accelerators(&self) -> u32 {
        let placements = self
            .snapshot
            .jobs
            .values()
            .filter_map(|record| record.placement.as_ref());
        let busy: usize = placements
            .map(|placement| placement.accelerators().count())
            .sum();
        let all = u32::from(RACKS * WORKERS_PER_RACK * ACCELERATORS_PER_WORKER);
        all.saturating_sub(u32::try_from(busy).unwrap_or(u32::MAX))
    }
}

fn data_centre() -> Result<DataCentre, ParseError> {
    let mut racks = Vec::new();
    for rack in 1..=RACKS {
        let mut workers = Vec::new();
        for worker in 1..=WORKERS_PER_RACK {
            workers.push(Worker {
                id: format!("r{rack}-w{worker}").parse()?,
                accelerators: ACCELERATORS_PER_WORKER,
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
