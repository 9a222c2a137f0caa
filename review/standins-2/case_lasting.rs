//! Rule LOST: a work unit that lasts does not run any more after one runner has left, although most runners are empty.

use crate::{
    Verdict,
    record::Record,
    runner::Room,
    yard::{Failure, Yard},
};
use std::{collections::BTreeSet, path::Path, sync::Arc, thread, time::Duration};

const RUNNERS: usize = 16;
const ROOM: Room = Room {
    cpu: 32_000,
    memory_mb: 131_072,
    gpu: 8,
};
/// A work unit that takes the GPUs of a whole runner.
const DEMAND: Room = Room {
    cpu: 13_000,
    memory_mb: 53_000,
    gpu: 8,
};
/// 0.62 of the GPUs of all runners, as on the small deployments.
const GUARANTEED: u64 = 79;
const UNITS: u64 = 6;
const MAY_MISS: u64 = 1;
const JOB: &str = "00000000000000e1";
/// How long a runner drains: `drainMs` and a little longer.
const DRAIN: Duration = Duration::from_millis(4000);
/// How long the fleet is left alone after that, before it is observed.
const CALM: Duration = Duration::from_secs(10);
/// How long nothing of a work unit may run: 3 s, for the third time to be sure.
const OBSERVED: Duration = Duration::from_secs(9);
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

pub fn run(record: &Arc<Record>, folder: &Path, has_trouble: bool) -> Result<Verdict, Failure> {
    let yard = Yard::start(Arc::clone(record), folder, RUNNERS, ROOM, GUARANTEED)?;
    yard.submit_lasting(JOB, UNITS, MAY_MISS, DEMAND)?;
    let run_all = |yard: &Yard| running(yard).len() == usize::try_from(UNITS).unwrap_or(0);
    if !yard.wait_until(Duration::from_secs(10), run_all) {
        return Err("not all work units have begun".to_owned());
    }
    let leaving = yard.runners.iter().find(|runner| runner.runs_any_of(JOB));
    let leaving = leaving.ok_or("no runner has a work unit")?;
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        leaving.drain(DRAIN);
    }
    thread::sleep(DRAIN + CALM);
    // Work units that run at some time while the fleet is observed.
    let mut seen = BTreeSet::new();
    let until = record.now_ms() + u64::try_from(OBSERVED.as_millis()).unwrap_or(0);
    while record.now_ms() < until {
        seen.extend(running(&yard));
        thread::sleep(LOOK_INTERVAL);
    }
    yard.state(0, JOB);
    let missing: Vec<String> = (0..UNITS)
        .map(|index| format!("{JOB}.0.0.{index}"))
        .filter(|task| !seen.contains(task))
        .collect();
    let empty = yard
        .runners
        .iter()
        .filter(|runner| runner.is_usable() && runner.is_empty())
        .count();
    record.line(&format!(
        "of {UNITS} work units these did not run for {} ms: {missing:?}; {empty} runners are empty",
        OBSERVED.as_millis()
    ));
    // Capacity for a work unit twice over, and under half of the service's capacity in use.
    let has_room = empty >= 2 && 2 * empty > RUNNERS;
    let is_broken = !missing.is_empty() && has_room;
    if is_broken {
        record.line(
            "LOST: a work unit that lasts does not run, though there is capacity for it twice over",
        );
    }
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn running(yard: &Yard) -> BTreeSet<String> {
    yard.runners
        .iter()
        .flat_map(|runner| runner.running())
        .collect()
}
