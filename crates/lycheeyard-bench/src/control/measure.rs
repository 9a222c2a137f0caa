use super::{
    ControlError, ControlFleet, FleetMember, FleetSize, large_ticket, organisation_ticket,
    put_ticket,
};
use lycheeyard_peer::peer_traffic_bytes;
use lycheeyard_standin::StoreCounts;
use std::{fmt, time::Duration};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(30);
const SETTLE: Duration = Duration::from_secs(5);
const WINDOW: Duration = Duration::from_secs(20);
/// The time between two changes at 2,000 changes a day.
const CHANGE_EVERY: Duration = Duration::from_millis(43_200);
const SAMPLES: u64 = 20;

/// What was measured of one fleet.
#[derive(Clone, Debug)]
pub struct ControlFigures {
    /// The size.
    pub size: FleetSize,
    /// Times from an operator's call to the change being in force at every instance, sorted.
    pub in_force: Vec<Duration>,
    /// The same while one data centre is cut off from the store, with its peers reachable.
    pub in_force_cut_store: Vec<Duration>,
    /// The same at the rest while one data centre is cut off from everything.
    pub in_force_cut_all: Vec<Duration>,
    /// The time until the cut-off data centre has caught up after it was healed.
    pub healed: Duration,
    /// The time from the start of a new instance to its configuration, without the store.
    pub joined_by_peers: Duration,
    /// The time from the loss of the store at a scheduler to another holder.
    pub takeover: Duration,
    /// Store calls an instance and second without changes: reads, writes, watches.
    pub idle_calls: [f64; 3],
    /// Peer bytes sent and received an instance and second without changes.
    pub idle_bytes: f64,
    /// Peer bytes that one change adds at an instance.
    pub bytes_of_change: f64,
    /// Peer bytes an instance and second at 2,000 changes a day, from the two before.
    pub bytes_at_rate: f64,
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
            quantiles(&self.in_force)
        )?;
        writeln!(
            f,
            "  one data centre cut from the store, ms: {}",
            quantiles(&self.in_force_cut_store)
        )?;
        writeln!(
            f,
            "  one data centre cut from all, the rest, ms: {}",
            quantiles(&self.in_force_cut_all)
        )?;
        writeln!(
            f,
            "  caught up after the heal: {} ms",
            self.healed.as_millis()
        )?;
        writeln!(
            f,
            "  new instance without the store: {} ms",
            self.joined_by_peers.as_millis()
        )?;
        writeln!(f, "  scheduler takeover: {} ms", self.takeover.as_millis())?;
        writeln!(
            f,
            "  store calls an instance and second, idle: {reads:.3} reads, {writes:.3} writes, {watches:.3} watches"
        )?;
        writeln!(
            f,
            "  peer bytes an instance and second: {:.0} idle, {:.0} at 2,000 changes a day ({:.0} a change)",
            self.idle_bytes, self.bytes_at_rate, self.bytes_of_change
        )
    }
}

/// Starts a fleet and measures how fast and at what cost configuration spreads.
///
/// # Errors
/// Fails when a part does not start or something takes longer than half a minute.
pub async fn measure_control(size: FleetSize) -> Result<ControlFigures, ControlError> {
    let mut fleet = ControlFleet::start(size).await?;
    let revision = put_ticket(fleet.members[0].address, &large_ticket(size)?).await?;
    fleet.wait_for(revision, None, LIMIT).await?;
    sleep(SETTLE).await;
    let (idle_calls, idle_bytes) = measure_idle(&fleet, size).await;
    let before = total_bytes();
    let started = Instant::now();
    let mut changes = Changes {
        fleet: &fleet,
        number: 2,
        size,
    };
    let in_force = changes.spread(None).await?;
    let per_change = instance_share(size, total_bytes() - before);
    let bytes_of_change =
        (per_change - idle_bytes * started.elapsed().as_secs_f64()) / as_f64(SAMPLES);
    let ids = size.data_centre_ids()?;
    let cut = &ids[ids.len() - 1];
    fleet.cut_store(cut, true);
    let in_force_cut_store = changes.spread(None).await?;
    fleet.cut_peers(cut, true);
    let in_force_cut_all = changes.spread(Some(cut)).await?;
    let last = fleet.members[0].revision();
    fleet.cut_store(cut, false);
    fleet.cut_peers(cut, false);
    let healed_at = Instant::now();
    fleet.wait_for(last, None, LIMIT).await?;
    let healed = healed_at.elapsed();
    let takeover = measure_takeover(&fleet).await?;
    let joined_by_peers = measure_join(&mut fleet, &ids[0]).await?;
    fleet.stop().await;
    Ok(ControlFigures {
        size,
        in_force,
        in_force_cut_store,
        in_force_cut_all,
        healed,
        joined_by_peers,
        takeover,
        idle_calls,
        idle_bytes,
        bytes_of_change,
        bytes_at_rate: idle_bytes + bytes_of_change / CHANGE_EVERY.as_secs_f64(),
    })
}

/// Submits changes at one instance after another.
struct Changes<'a> {
    fleet: &'a ControlFleet,
    number: u64,
    size: FleetSize,
}

impl Changes<'_> {
    async fn spread(
        &mut self,
        except: Option<&lycheeyard_protocol::DataCentreId>,
    ) -> Result<Vec<Duration>, ControlError> {
        let mut times = Vec::new();
        for sample in 0..SAMPLES {
            let index = usize::try_from(sample).unwrap_or_default() % self.size.instances;
            let ticket = organisation_ticket(self.number, index % self.size.organisations)?;
            self.number += 1;
            let started = Instant::now();
            let address = self.fleet.members[index].address;
            let revision = put_ticket(address, &ticket).await?;
            self.fleet.wait_for(revision, except, LIMIT).await?;
            times.push(started.elapsed());
            sleep(Duration::from_millis(100)).await;
        }
        times.sort();
        Ok(times)
    }
}

async fn measure_idle(fleet: &ControlFleet, size: FleetSize) -> ([f64; 3], f64) {
    let (calls, bytes) = (fleet.store.counts(), total_bytes());
    sleep(WINDOW).await;
    let StoreCounts {
        reads,
        writes,
        watches,
    } = fleet.store.counts();
    let per_second = |count: u64| instance_share(size, count) / WINDOW.as_secs_f64();
    let calls = [
        per_second(reads - calls.reads),
        per_second(writes - calls.writes),
        per_second(watches - calls.watches),
    ];
    (calls, per_second(total_bytes() - bytes))
}

async fn measure_takeover(fleet: &ControlFleet) -> Result<Duration, ControlError> {
    let first = &fleet.members[0].data_centre;
    let here = || {
        fleet
            .members
            .iter()
            .filter(|member| member.data_centre == *first)
    };
    let lost = loop {
        match here().position(FleetMember::holds_lease) {
            Some(index) => break index,
            None => sleep(Duration::from_millis(10)).await,
        }
    };
    let holder = &fleet.members[lost];
    holder.cut_store(true);
    let started = Instant::now();
    while !here().any(|member| member.instance != holder.instance && member.holds_lease()) {
        if started.elapsed() > LIMIT {
            return Err(ControlError::Late("a takeover"));
        }
        sleep(Duration::from_millis(5)).await;
    }
    holder.cut_store(false);
    Ok(started.elapsed())
}

async fn measure_join(
    fleet: &mut ControlFleet,
    data_centre: &lycheeyard_protocol::DataCentreId,
) -> Result<Duration, ControlError> {
    let revision = fleet.members[0].revision();
    fleet.store.faults().change(|faults| faults.down = true);
    let started = Instant::now();
    fleet.add_member(data_centre, "newcomer").await?;
    fleet.wait_for(revision, None, LIMIT).await?;
    let joined = started.elapsed();
    fleet.store.faults().change(|faults| faults.down = false);
    Ok(joined)
}

fn total_bytes() -> u64 {
    let (sent, received) = peer_traffic_bytes();
    sent + received
}

fn instance_share(size: FleetSize, total: u64) -> f64 {
    as_f64(total) / as_f64((size.data_centres * size.instances) as u64)
}

/// Counts of a run are far below 2^52.
fn as_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count >> 20).unwrap_or(u32::MAX)) * 1_048_576.0
        + f64::from(u32::try_from(count & 0xF_FFFF).unwrap_or_default())
}

fn quantiles(sorted: &[Duration]) -> String {
    let at = |per_cent: usize| {
        let index = (sorted.len() * per_cent / 100).min(sorted.len().saturating_sub(1));
        sorted.get(index).map_or(0, Duration::as_millis)
    };
    format!("p50 {}, p90 {}, max {}", at(50), at(90), at(100))
}
