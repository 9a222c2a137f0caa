use super::{Deployment, Scale};
use lycheeyard_protocol::{
    DataCentre, JobSpec, Organisation, OrganisationId, ParseError, Preemption, Priority, Shape,
    Timestamp,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;

const MINUTE_MS: f64 = 60_000.0;
/// The share of the accelerators' time that the submitted work fills.
const LOAD: f64 = 0.85;
/// The share of jobs that arrive together with the one before.
const IN_BURST: f64 = 0.6;

/// A job with what the scheduler does not know of it.
#[derive(Clone, Debug)]
pub struct TraceJob {
    /// The job as submitted.
    pub spec: JobSpec,
    /// When it is submitted.
    pub submitted_at: Timestamp,
    /// The run time, in milliseconds, that it really needs.
    pub actual_ms: u64,
    /// The time, in milliseconds, that it needs to write a checkpoint.
    pub checkpoint_write_ms: u64,
}

/// A data centre and the jobs that come to it.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The racks and workers.
    pub data_centre: DataCentre,
    /// The organisations.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// The jobs, in the order in which they are submitted.
    pub jobs: Vec<TraceJob>,
}

impl Trace {
    /// The number of accelerators.
    #[must_use]
    pub fn accelerators(&self) -> u32 {
        let workers = self.data_centre.workers();
        workers.map(|worker| u32::from(worker.accelerators)).sum()
    }
}

/// Makes the trace of a deployment for a seed.
///
/// # Errors
/// Fails when a name is malformed.
pub fn trace(deployment: Deployment, scale: Scale, seed: u64) -> Result<Trace, ParseError> {
    let count = match scale {
        Scale::Today => 1_500,
        Scale::TwoYears => 1_000,
    };
    trace_of(deployment, scale, seed, count)
}

/// Makes a trace with a number of jobs.
///
/// # Errors
/// Fails when a name is malformed.
pub fn trace_of(
    deployment: Deployment,
    scale: Scale,
    seed: u64,
    count: usize,
) -> Result<Trace, ParseError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let data_centre = deployment.data_centre(scale)?;
    let organisations = deployment.organisations(scale)?;
    let mut jobs = (0..count)
        .map(|number| job(&mut rng, deployment, scale, number, &organisations))
        .collect::<Result<Vec<_>, _>>()?;
    let mut trace = Trace {
        data_centre,
        organisations,
        jobs: Vec::new(),
    };
    arrive(&mut rng, &mut jobs, trace.accelerators());
    trace.jobs = jobs;
    Ok(trace)
}

/// Spreads the submissions so that the work fills the stated share of the accelerators.
fn arrive(rng: &mut StdRng, jobs: &mut [TraceJob], accelerators: u32) {
    let work: f64 = jobs.iter().map(work_ms).sum();
    let horizon = work / (f64::from(accelerators) * LOAD);
    let mut now = 0.0;
    let count = f64::from(u32::try_from(jobs.len()).unwrap_or(u32::MAX));
    let gap = horizon / (count * (1.0 - IN_BURST));
    for job in jobs {
        if !rng.random_bool(IN_BURST) {
            now += -gap * (1.0 - rng.random::<f64>()).ln();
        }
        job.submitted_at = Timestamp(whole(now));
    }
}

fn work_ms(job: &TraceJob) -> f64 {
    let minutes = u32::try_from(job.actual_ms / 1_000).unwrap_or(u32::MAX);
    f64::from(minutes) * 1_000.0 * f64::from(job.spec.shape.total())
}

fn job(
    rng: &mut StdRng,
    deployment: Deployment,
    scale: Scale,
    number: usize,
    organisations: &BTreeMap<OrganisationId, Organisation>,
) -> Result<TraceJob, ParseError> {
    let shape: Shape = pick_shape(rng, deployment, scale).parse()?;
    let index = rng.random_range(0..organisations.len());
    let owner = organisations.values().nth(index);
    let Some(owner) = owner else {
        return Err(ParseError::Shape("no organisations".to_owned()));
    };
    let inside = owner.guarantees.iter().any(|guarantee| {
        guarantee.shape.workers() >= shape.workers()
            && guarantee.shape.accelerators() >= shape.accelerators()
    });
    let guaranteed = inside && rng.random_bool(0.35);
    let urgent = guaranteed && shape.total() <= 8 && rng.random_bool(0.12);
    let actual_ms = run_time_ms(rng, shape, urgent);
    let run_time_ms = declared_ms(rng, actual_ms);
    let is_batch = deployment == Deployment::Kapeng && shape.total() >= 16;
    Ok(TraceJob {
        spec: JobSpec {
            organisation: owner.id.clone(),
            job: format!("job-{number:05}").parse()?,
            data_centre: "dc1".parse()?,
            shape,
            priority: if urgent {
                Priority::Urgent
            } else {
                Priority::Normal
            },
            preemption: pick_preemption(rng),
            guaranteed,
            run_time_ms,
            window_ms: is_batch.then_some(actual_ms * 2 + 8 * 60 * 60 * 1_000),
            payload: String::new(),
        },
        submitted_at: Timestamp(0),
        actual_ms,
        checkpoint_write_ms: rng.random_range(300..1_800),
    })
}

fn pick_preemption(rng: &mut StdRng) -> Preemption {
    match rng.random_range(0..100) {
        0..5 => Preemption::Never,
        5..20 => Preemption::Stop,
        _ => Preemption::Checkpoint,
    }
}

/// Log-normal run times: minutes for small jobs, hours for large ones.
fn run_time_ms(rng: &mut StdRng, shape: Shape, urgent: bool) -> u64 {
    let median_minutes = match shape.total() {
        _ if urgent => 10.0,
        1..=4 => 45.0,
        5..=16 => 90.0,
        _ => 150.0,
    };
    let spread = 0.9;
    whole((median_minutes * (spread * normal(rng)).exp() * MINUTE_MS).clamp(30_000.0, 8.64e7))
}

/// Most declared run times are near the truth, three in ten are off by up to ten times either way.
fn declared_ms(rng: &mut StdRng, actual_ms: u64) -> u64 {
    let factor = if rng.random_bool(0.3) {
        10.0_f64.powf(rng.random_range(-1.0..1.0))
    } else {
        rng.random_range(0.8..1.5)
    };
    let seconds = u32::try_from(actual_ms / 1_000).unwrap_or(u32::MAX);
    whole((f64::from(seconds) * 1_000.0 * factor).max(1_000.0))
}

/// A normally distributed number, by the Box-Muller transform.
fn normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

fn pick_shape(rng: &mut StdRng, deployment: Deployment, scale: Scale) -> &'static str {
    const CORDILLERA: [(&str, u32); 7] = [
        ("1x1", 40),
        ("1x2", 20),
        ("1x4", 12),
        ("1x8", 12),
        ("2x8", 8),
        ("4x8", 5),
        ("6x8", 3),
    ];
    const KAPENG: [(&str, u32); 7] = [
        ("1x1", 38),
        ("1x2", 16),
        ("1x4", 12),
        ("1x8", 14),
        ("2x8", 9),
        ("4x8", 7),
        ("8x8", 4),
    ];
    const TWO_YEARS: [(&str, u32); 11] = [
        ("1x1", 30),
        ("1x4", 6),
        ("1x8", 7),
        ("2x8", 4),
        ("4x8", 2),
        ("16x8", 1),
        ("4x1", 16),
        ("8x1", 16),
        ("16x1", 9),
        ("32x1", 6),
        ("128x1", 3),
    ];
    let mix: &[(&str, u32)] = match (scale, deployment) {
        (Scale::TwoYears, _) => &TWO_YEARS,
        (Scale::Today, Deployment::Cordillera) => &CORDILLERA,
        (Scale::Today, Deployment::Kapeng) => &KAPENG,
    };
    let mut draw = rng.random_range(0..mix.iter().map(|(_, weight)| weight).sum());
    for (shape, weight) in mix {
        if draw < *weight {
            return shape;
        }
        draw -= weight;
    }
    mix[0].0
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "callers pass finite times that are not negative"
)]
fn whole(ms: f64) -> u64 {
    ms as u64
}
