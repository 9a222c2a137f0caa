use super::{
    CostError, CostFigures, CostPoint,
    process::{cpu_seconds, memory_mib},
};
use lycheeyard_protocol::{Bytes, Cores, JobSpec, JobState, ParseError, Shape};
use lycheeyard_standin::{DeploymentSize, EntryFleet, endless_job};
use std::{path::PathBuf, time::Duration};
use tokio::time::{Instant, sleep, sleep_until};

const GIB: u64 = 1024 * 1024 * 1024;
const SETTLING_TIME: Duration = Duration::from_secs(3);
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(10);
const ACCELERATORS_PER_WORKER: u16 = 8;
const WORKERS_PER_GANG: u16 = 4;

/// Runs entry processes of the daemon at `program` at one size and measures their control-plane cost.
///
/// # Errors
/// Fails when a process cannot be started or called, or its resource usage cannot be read.
pub async fn measure_cost(program: PathBuf, point: CostPoint) -> Result<CostFigures, CostError> {
    let fleet = EntryFleet::start_sized(program, deployment_size(point), &[point.entries]).await?;
    let names = fleet.names();
    let first = fleet.api(&names[0])?;
    first.put_ticket(&fleet.base_ticket(1)?).await?;
    for name in &names {
        fleet.api(name)?.wait_until_ready().await?;
    }
    let gangs = (0..point.gangs).map(|number| gang_spec(&fleet, number));
    let gangs: Vec<JobSpec> = gangs.collect::<Result<_, _>>()?;
    for gang in &gangs {
        first.submit(gang).await?;
    }
    for gang in &gangs {
        first.wait_for_job(gang, JobState::Running).await?;
    }
    sleep(SETTLING_TIME).await;
    measure_window(&fleet, &names, point).await
}

async fn measure_window(
    fleet: &EntryFleet,
    names: &[String],
    point: CostPoint,
) -> Result<CostFigures, CostError> {
    let pids = names.iter().map(|name| fleet.process_id(name));
    let pids: Vec<u32> = pids.collect::<Result<_, _>>()?;
    let cpu_times = |pids: &[u32]| -> Result<Vec<f64>, CostError> {
        pids.iter().map(|pid| cpu_seconds(*pid)).collect()
    };
    let (before, calls, bytes) = (
        cpu_times(&pids)?,
        fleet.standins.store.counts(),
        fleet.traffic(),
    );
    let started = Instant::now();
    submit_tickets(fleet, point.tickets, started).await?;
    sleep_until(started + MEASUREMENT_WINDOW).await;
    let seconds = started.elapsed().as_secs_f64();
    let (after, calls_after, bytes_after) = (
        cpu_times(&pids)?,
        fleet.standins.store.counts(),
        fleet.traffic(),
    );
    let percent: Vec<f64> = before
        .iter()
        .zip(&after)
        .map(|(before, after)| (after - before) / seconds * 100.0)
        .collect();
    let memory: Vec<f64> = pids
        .iter()
        .map(|pid| memory_mib(*pid))
        .collect::<Result<_, _>>()?;
    let count = f64::from(u32::try_from(pids.len()).unwrap_or(u32::MAX));
    let rate = |before: u64, after: u64| as_f64(after.saturating_sub(before)) / seconds;
    Ok(CostFigures {
        mean_cpu_percent: percent.iter().sum::<f64>() / count,
        highest_cpu_percent: percent.iter().copied().fold(0.0, f64::max),
        highest_memory_mib: memory.iter().copied().fold(0.0, f64::max),
        store_bytes: rate(bytes.store, bytes_after.store) / count,
        list_bytes: rate(bytes.list, bytes_after.list) / count,
        peer_bytes: 2.0 * rate(bytes.peers, bytes_after.peers) / count,
        worker_bytes: rate(bytes.workers, bytes_after.workers) / count,
        reads: rate(calls.reads, calls_after.reads),
        writes: rate(calls.writes, calls_after.writes),
        watches: rate(calls.watches, calls_after.watches),
    })
}

/// Submits `count` tickets, spread evenly over the measurement window.
async fn submit_tickets(fleet: &EntryFleet, count: u64, started: Instant) -> Result<(), CostError> {
    const FIRST_NUMBER: u64 = 100;
    let names = fleet.names();
    for index in 0..count {
        let fraction = as_f64(index) / as_f64(count);
        sleep_until(started + MEASUREMENT_WINDOW.mul_f64(fraction)).await;
        let ticket = fleet.base_ticket(FIRST_NUMBER + index)?;
        fleet.api(&names[0])?.put_ticket(&ticket).await?;
    }
    Ok(())
}

fn deployment_size(point: CostPoint) -> DeploymentSize {
    DeploymentSize {
        data_centres: 1,
        workers: point.workers,
        rack_workers: 8,
        accelerators: ACCELERATORS_PER_WORKER,
        cores: Cores(32),
        memory: Bytes(128 * GIB),
        runners: 50,
    }
}

fn gang_spec(fleet: &EntryFleet, number: usize) -> Result<JobSpec, ParseError> {
    let name = format!("gang-{number}");
    let mut spec = endless_job(fleet.data_centre(), "org-a", &name, WORKERS_PER_GANG)?;
    spec.shape = Shape::new(WORKERS_PER_GANG, 1)?;
    Ok(spec)
}

fn as_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
