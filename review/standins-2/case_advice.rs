//! Rule LOST: a job of a queue with advice has nothing running beside its idle runner, long after this runner has failed all for a time.

use crate::{
    Verdict,
    record::Record,
    runner::Room,
    yard::{ADVISED_RUNNER, Failure, Yard},
};
use std::{path::Path, sync::Arc, thread, time::Duration};

const RUNNERS: usize = 12;
const ROOM: Room = Room {
    cpu: 32_000,
    memory_mb: 131_072,
    gpu: 8,
};
const SMALL: Room = Room {
    cpu: 3_700,
    memory_mb: 15_000,
    gpu: 1,
};
const WORK_MS: u64 = 2_500;
/// The jobs of the other queue fill all runners once.
const WIDE_JOBS: u64 = 12;
const WIDTH: u64 = 8;
const JOB: &str = "00000000000000aa";
/// The longest time for which workers fail all on the sites of the small deployments.
const FAILING: Duration = Duration::from_millis(6500);
/// The pause after that: `contactMs` and a second, in which nothing is disturbed.
const CALM: Duration = Duration::from_millis(4000);
/// `finish_s`: the job is the last thing that consumers send.
const FINISH: Duration = Duration::from_secs(14);
/// Nothing of a job may run for 3 s beside room for it twice over.
const OBSERVED: Duration = Duration::from_millis(3500);
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

pub fn run(record: &Arc<Record>, folder: &Path, has_trouble: bool) -> Result<Verdict, Failure> {
    let yard = Yard::start(Arc::clone(record), folder, RUNNERS, ROOM, 0)?;
    let advised = yard
        .runners
        .iter()
        .find(|runner| runner.config.id == ADVISED_RUNNER);
    let advised = advised.ok_or("the runner is missing")?;
    if has_trouble {
        advised.set_failing(true);
    }
    for number in 0..WIDE_JOBS {
        yard.submit_wide(&format!("{:016x}", 0xe00 + number), WIDTH, WORK_MS, SMALL)?;
    }
    thread::sleep(FAILING);
    if has_trouble {
        advised.set_failing(false);
    }
    thread::sleep(CALM);
    yard.submit_advised(JOB, WORK_MS, SMALL)?;
    thread::sleep(FINISH);
    yard.advised_state(0, JOB);
    let until = record.now_ms() + u64::try_from(OBSERVED.as_millis()).unwrap_or(0);
    // Whether the whole runner was free all the time, and all other runners too.
    let mut is_idle = true;
    while record.now_ms() < until {
        is_idle &= yard.runners.iter().all(|runner| runner.is_empty());
        thread::sleep(LOOK_INTERVAL);
    }
    let answer = yard
        .advised_state(1, JOB)
        .ok_or("no answer to the last query")?;
    let state = answer.body.get("state").text().unwrap_or("").to_owned();
    let begun_ms = yard.begun_at(JOB);
    record.line(&format!("job {JOB} is shown as {state}, has begun at {begun_ms:?}; all runners were empty: {is_idle}"));
    let is_broken = begun_ms.is_none() && is_idle;
    if is_broken {
        record.line("LOST: a job has nothing running, though there is capacity for it twice over and all runners are idle");
    }
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
