use super::{Deployment, Scale};
use lycheeyard_protocol::{
    DataCentre, JobSpec, Organisation, OrganisationId, ParseError, Preemption, Priority, Shape,
    Timestamp,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;

const MINUTE_MS: f64 = 60_000.0;
/// The work of the trace as a share of the accelerator time over its submissions.
const OFFERED_LOAD: f64 = 0.85;
/// The probability that a job is submitted at the same time as the previous one.
const BURST_SHARE: f64 = 0.6;

/// A job with the values that a scheduler cannot observe in advance.
#[derive(Clone, Debug)]
pub struct TraceJob {
    /// The job as submitted.
    pub spec: JobSpec,
    /// When it is submitted.
    pub submitted_at: Timestamp,
    /// The actual run time in milliseconds; the declared one is in `spec`.
    pub actual_ms: u64,
    /// The time to write a checkpoint, in milliseconds.
    pub checkpoint_write_ms: u64,
}

/// A data centre and the jobs that are submitted to it.
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

/// Generates the trace of a deployment: 1,500 jobs at today's scale, 1,000 at the two-year scale.
///
/// The same seed gives the same trace.
///
/// # Errors
/// Fails when a name is malformed.
pub fn generate_trace(
    deployment: Deployment,
    scale: Scale,
    seed: u64,
) -> Result<Trace, ParseError> {
    let count = match scale {
        Scale::Today => 1_500,
        Scale::TwoYears => 1_000,
    };
    generate_trace_with_jobs(deployment, scale, seed, count)
}

/// Generates a trace of `count` jobs.
///
/// The same arguments give the same trace.
///
/// # Errors
/// Fails when a name is malformed.
pub fn generate_trace_with_jobs(
    deployment: Deployment,
    scale: Scale,
    seed: u64,
    count: usize,
) -> Result<Trace, ParseError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let data_centre = deployment.data_centre(scale)?;
    let organisations = deployment.organisations(scale)?;
    let mut jobs = (0..count)
        .map(|number| generate_job(&mut rng, deployment, scale, number, &organisations))
        .collect::<Result<Vec<_>, _>>()?;
    let mut trace = Trace {
        data_centre,
        organisations,
        jobs: Vec::new(),
    };
    assign_submission_times(&mut rng, &mut jobs, trace.accelerators());
    trace.jobs = jobs;
    Ok(trace)
}

/// Sets submission times at which the work offers a load of `OFFERED_LOAD`: bursts with exponential gaps between them.
fn assign_submission_times(rng: &mut StdRng, jobs: &mut [TraceJob], accelerators: u32) {
    let work_ms: f64 = jobs.iter().map(job_work_ms).sum();
    let duration_ms = work_ms / (f64::from(accelerators) * OFFERED_LOAD);
    let mut now_ms = 0.0;
    let count = f64::from(u32::try_from(jobs.len()).unwrap_or(u32::MAX));
    let mean_gap_ms = duration_ms / (count * (1.0 - BURST_SHARE));
    for job in jobs {
        if !rng.random_bool(BURST_SHARE) {
            now_ms += -mean_gap_ms * (1.0 - rng.random::<f64>()).ln();
        }
        job.submitted_at = Timestamp(truncate_ms(now_ms));
    }
}

fn job_work_ms(job: &TraceJob) -> f64 {
    let seconds = u32::try_from(job.actual_ms / 1_000).unwrap_or(u32::MAX);
    f64::from(seconds) * 1_000.0 * f64::from(job.spec.shape.total())
}

fn generate_job(
    rng: &mut StdRng,
    deployment: Deployment,
    scale: Scale,
    number: usize,
    organisations: &BTreeMap<OrganisationId, Organisation>,
) -> Result<TraceJob, ParseError> {
    let shape: Shape = draw_shape(rng, deployment, scale).parse()?;
    let index = rng.random_range(0..organisations.len());
    let owner = organisations.values().nth(index);
    let Some(owner) = owner else {
        return Err(ParseError::Shape("no organisations".to_owned()));
    };
    let fits_guarantee = owner.guarantees.iter().any(|guarantee| {
        guarantee.shape.workers() >= shape.workers()
            && guarantee.shape.accelerators() >= shape.accelerators()
    });
    let guaranteed = fits_guarantee && rng.random_bool(0.35);
    let urgent = guaranteed && shape.total() <= 8 && rng.random_bool(0.12);
    let actual_ms = draw_run_time_ms(rng, shape, urgent);
    let run_time_ms = draw_declared_run_time_ms(rng, actual_ms);
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
            preemption: draw_preemption(rng),
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

fn draw_preemption(rng: &mut StdRng) -> Preemption {
    match rng.random_range(0..100) {
        0..5 => Preemption::Never,
        5..20 => Preemption::Stop,
        _ => Preemption::Checkpoint,
    }
}

/// Draws a log-normal run time: minutes for small jobs, hours for large ones.
fn draw_run_time_ms(rng: &mut StdRng, shape: Shape, urgent: bool) -> u64 {
    let median_minutes = match shape.total() {
        _ if urgent => 10.0,
        1..=4 => 45.0,
        5..=16 => 90.0,
        _ => 150.0,
    };
    let sigma = 0.9;
    truncate_ms(
        (median_minutes * (sigma * draw_normal(rng)).exp() * MINUTE_MS).clamp(30_000.0, 8.64e7),
    )
}

/// Draws a declared run time: 70 % are within 0.8 to 1.5 times the actual one, 30 % are off by up to ten times in either
/// direction.
fn draw_declared_run_time_ms(rng: &mut StdRng, actual_ms: u64) -> u64 {
    let factor = if rng.random_bool(0.3) {
        10.0_f64.powf(rng.random_range(-1.0..1.0))
    } else {
        rng.random_range(0.8..1.5)
    };
    let seconds = u32::try_from(actual_ms / 1_000).unwrap_or(u32::MAX);
    truncate_ms((f64::from(seconds) * 1_000.0 * factor).max(1_000.0))
}

/// Draws from the standard normal distribution with the Box-Muller transform.
fn draw_normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

fn draw_shape(rng: &mut StdRng, deployment: Deployment, scale: Scale) -> &'static str {
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
    let shapes: &[(&str, u32)] = match (scale, deployment) {
        (Scale::TwoYears, _) => &TWO_YEARS,
        (Scale::Today, Deployment::Cordillera) => &CORDILLERA,
        (Scale::Today, Deployment::Kapeng) => &KAPENG,
    };
    let mut draw = rng.random_range(0..shapes.iter().map(|(_, weight)| weight).sum());
    for (shape, weight) in shapes {
        if draw < *weight {
            return shape;
        }
        draw -= weight;
    }
    shapes[0].0
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "callers pass finite times that are not negative"
)]
fn truncate_ms(ms: f64) -> u64 {
    ms as u64
}
