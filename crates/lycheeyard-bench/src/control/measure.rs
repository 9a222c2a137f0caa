use super::{
    ControlError, ControlFleet, FleetMember, FleetSize, large_ticket, organisation_ticket,
    put_ticket,
    recovery::{JOBS, measure_recovery},
};
use lycheeyard_peer::peer_traffic_bytes;
use lycheeyard_protocol::DataCentreId;
use lycheeyard_standin::StoreCounts;
use std::{fmt, time::Duration};
use tokio::time::{Instant, sleep};

const TIMEOUT: Duration = Duration::from_secs(30);
const SETTLING_TIME: Duration = Duration::from_secs(5);
const IDLE_WINDOW: Duration = Duration::from_secs(20);
/// The interval between changes at 2,000 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(43_200);
const SAMPLES: u64 = 20;

/// The measurements of one fleet.
#[derive(Clone, Debug)]
pub struct ControlFigures {
    /// The size of the fleet.
    pub size: FleetSize,
    /// Sorted times from the call of an operator until the change is in effect at every instance.
    pub propagation: Vec<Duration>,
    /// Like `propagation`, while one data centre is partitioned from the store but reaches its peers.
    pub propagation_store_partitioned: Vec<Duration>,
    /// Like `propagation`, at the other data centres, while one is partitioned from the store and all peers.
    pub propagation_isolated: Vec<Duration>,
    /// The time until the partitioned data centre has caught up after the partition healed.
    pub catch_up: Duration,
    /// The time from the start of a new instance until it has the configuration, while the store is down.
    pub join_without_store: Duration,
    /// The time from the start of a new instance until it has the configuration and the job records of its data
    /// centre have been read.
    pub recovery: Duration,
    /// The number of job records in the store during the measurement of `recovery`.
    pub jobs: usize,
    /// The time from the partition of the lease holder from the store until another instance holds the scheduler lease.
    pub takeover: Duration,
    /// Store calls per instance and second without changes: reads, writes and watches.
    pub idle_calls: [f64; 3],
    /// Peer bytes sent and received per instance and second without changes.
    pub idle_bytes: f64,
    /// Additional peer bytes per instance for one change.
    pub bytes_per_change: f64,
    /// Peer bytes per instance and second at 2,000 changes a day, computed from `idle_bytes` and `bytes_per_change`.
    pub bytes_with_changes: f64,
}

impl fmt::Display for ControlFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let size = self.size;
        let [reads, writes, watches] = self.idle_calls;
        writeln!(
            f,
            "{} instances in {} data centres, {} workers and {} organisations",
            size.data_centres * size.instances,
            size.data_centres,
            size.data_centres * size.workers,
            size.organisations
        )?;
        writeln!(
            f,
            "  in force everywhere, ms: {}",
            format_quantiles(&self.propagation)
        )?;
        writeln!(
            f,
            "  one data centre cut from the store, ms: {}",
            format_quantiles(&self.propagation_store_partitioned)
        )?;
        writeln!(
            f,
            "  one data centre cut from all, the rest, ms: {}",
            format_quantiles(&self.propagation_isolated)
        )?;
        writeln!(
            f,
            "  caught up after the heal: {} ms",
            self.catch_up.as_millis()
        )?;
        writeln!(
            f,
            "  new instance without the store: {} ms",
            self.join_without_store.as_millis()
        )?;
        writeln!(
            f,
            "  new instance with {} job records: {} ms",
            self.jobs,
            self.recovery.as_millis()
        )?;
        writeln!(f, "  scheduler takeover: {} ms", self.takeover.as_millis())?;
        writeln!(
            f,
            "  store calls an instance and second, idle: {reads:.3} reads, {writes:.3} writes, {watches:.3} watches"
        )?;
        writeln!(
            f,
            "  peer bytes an instance and second: {:.0} idle, {:.0} at 2,000 changes a day ({:.0} a change)",
            self.idle_bytes, self.bytes_with_changes, self.bytes_per_change
        )
    }
}

/// Starts a fleet and measures the latency and the traffic of configuration changes.
///
/// # Errors
/// Fails when a component does not start or a step takes longer than 30 s.
pub async fn measure_control(size: FleetSize) -> Result<ControlFigures, ControlError> {
    let mut fleet = ControlFleet::start(size).await?;
    let revision = put_ticket(fleet.members[0].address, &large_ticket(size)?).await?;
    fleet.wait_for_revision(revision, None, TIMEOUT).await?;
    sleep(SETTLING_TIME).await;
    let (idle_calls, idle_bytes) = measure_idle(&fleet, size).await;
    let before = total_bytes();
    let started = Instant::now();
    let mut changes = Changes {
        fleet: &fleet,
        number: 2,
        size,
    };
    let propagation = changes.measure_propagation(None).await?;
    let per_change = per_instance(size, total_bytes() - before);
    let bytes_per_change =
        (per_change - idle_bytes * started.elapsed().as_secs_f64()) / as_f64(SAMPLES);
    let ids = size.data_centre_ids()?;
    let partitioned = &ids[ids.len() - 1];
    fleet.set_store_partitioned(partitioned, true);
    let propagation_store_partitioned = changes.measure_propagation(None).await?;
    fleet.set_peers_partitioned(partitioned, true);
    let propagation_isolated = changes.measure_propagation(Some(partitioned)).await?;
    let latest = fleet.members[0].revision();
    fleet.set_store_partitioned(partitioned, false);
    fleet.set_peers_partitioned(partitioned, false);
    let healed_at = Instant::now();
    fleet.wait_for_revision(latest, None, TIMEOUT).await?;
    let catch_up = healed_at.elapsed();
    let takeover = measure_takeover(&fleet).await?;
    let join_without_store = measure_join(&mut fleet, &ids[0]).await?;
    let recovery = measure_recovery(&mut fleet, &ids[0]).await?;
    fleet.stop().await;
    Ok(ControlFigures {
        recovery,
        jobs: JOBS,
        size,
        propagation,
        propagation_store_partitioned,
        propagation_isolated,
        catch_up,
        join_without_store,
        takeover,
        idle_calls,
        idle_bytes,
        bytes_per_change,
        bytes_with_changes: idle_bytes + bytes_per_change / CHANGE_INTERVAL.as_secs_f64(),
    })
}

/// Submits changes to the instances in turn.
struct Changes<'a> {
    fleet: &'a ControlFleet,
    number: u64,
    size: FleetSize,
}

impl Changes<'_> {
    async fn measure_propagation(
        &mut self,
        except: Option<&DataCentreId>,
    ) -> Result<Vec<Duration>, ControlError> {
        let mut times = Vec::new();
        for sample in 0..SAMPLES {
            let index = usize::try_from(sample).unwrap_or_default() % self.size.instances;
            let ticket = organisation_ticket(self.number, index % self.size.organisations)?;
            self.number += 1;
            let started = Instant::now();
            let address = self.fleet.members[index].address;
            let revision = put_ticket(address, &ticket).await?;
            self.fleet
                .wait_for_revision(revision, except, TIMEOUT)
                .await?;
            times.push(started.elapsed());
            sleep(Duration::from_millis(100)).await;
        }
        times.sort();
        Ok(times)
    }
}

async fn measure_idle(fleet: &ControlFleet, size: FleetSize) -> ([f64; 3], f64) {
    let (calls, bytes) = (fleet.store.counts(), total_bytes());
    sleep(IDLE_WINDOW).await;
    let StoreCounts {
        reads,
        writes,
        watches,
    } = fleet.store.counts();
    let per_second = |count: u64| per_instance(size, count) / IDLE_WINDOW.as_secs_f64();
    let calls = [
        per_second(reads - calls.reads),
        per_second(writes - calls.writes),
        per_second(watches - calls.watches),
    ];
    (calls, per_second(total_bytes() - bytes))
}

async fn measure_takeover(fleet: &ControlFleet) -> Result<Duration, ControlError> {
    let first = &fleet.members[0].data_centre;
    let local_members = || {
        fleet
            .members
            .iter()
            .filter(|member| member.data_centre == *first)
    };
    let holder_index = loop {
        match local_members().position(FleetMember::holds_lease) {
            Some(index) => break index,
            None => sleep(Duration::from_millis(10)).await,
        }
    };
    let holder = &fleet.members[holder_index];
    holder.set_store_partitioned(true);
    let started = Instant::now();
    while !local_members().any(|member| member.instance != holder.instance && member.holds_lease())
    {
        if started.elapsed() > TIMEOUT {
            return Err(ControlError::TimedOut("a takeover"));
        }
        sleep(Duration::from_millis(5)).await;
    }
    holder.set_store_partitioned(false);
    Ok(started.elapsed())
}

async fn measure_join(
    fleet: &mut ControlFleet,
    data_centre: &DataCentreId,
) -> Result<Duration, ControlError> {
    let revision = fleet.members[0].revision();
    fleet.store.faults().change(|faults| faults.down = true);
    let started = Instant::now();
    fleet.add_member(data_centre, "newcomer").await?;
    fleet.wait_for_revision(revision, None, TIMEOUT).await?;
    let elapsed = started.elapsed();
    fleet.store.faults().change(|faults| faults.down = false);
    Ok(elapsed)
}

fn total_bytes() -> u64 {
    let (sent, received) = peer_traffic_bytes();
    sent + received
}

fn per_instance(size: FleetSize, total: u64) -> f64 {
    as_f64(total) / as_f64((size.data_centres * size.instances) as u64)
}

/// Converts a count without loss; counts of a run are far below 2^52.
fn as_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count >> 20).unwrap_or(u32::MAX)) * 1_048_576.0
        + f64::from(u32::try_from(count & 0xF_FFFF).unwrap_or_default())
}

fn format_quantiles(sorted: &[Duration]) -> String {
    let at = |percent: usize| {
        let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
        sorted.get(index).map_or(0, Duration::as_millis)
    };
    format!("p50 {}, p90 {}, max {}", at(50), at(90), at(100))
}
