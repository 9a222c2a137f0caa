//! Rule LOST: a job is shown as failed although none of its runs has ended `failed`, since runners crashed while they ran it.

use crate::{
    Verdict,
    record::Record,
    runner::Room,
    yard::{Failure, Yard},
};
use std::{
    collections::BTreeMap,
    path::Path,
    sync::{Arc, PoisonError},
    thread,
    time::{Duration, Instant},
};

const RUNNERS: usize = 6;
const ROOM: Room = Room {
    cpu: 32_000,
    memory_mb: 131_072,
    gpu: 8,
};
const DEMAND: Room = Room {
    cpu: 6_500,
    memory_mb: 26_000,
    gpu: 2,
};
/// The longest work of a work unit on the small deployments.
const WORK_MS: u64 = 11_000;
const BATCH_JOB: &str = "00000000000000c0";
const LASTING_JOBS: [&str; 3] = ["00000000000000d1", "00000000000000d2", "00000000000000d3"];
/// One runner of six at a time is cut off for this long; it crashes behind the cut and starts again.
const CUT: Duration = Duration::from_millis(1000);
const CRASH_AFTER: Duration = Duration::from_millis(300);
const DOWN: Duration = Duration::from_millis(300);
/// The time between the cuts of two runners.
const INTERVAL: Duration = Duration::from_millis(1500);
/// How long runners are cut off by turns.
const TROUBLE: Duration = Duration::from_secs(45);
/// How long the batch job may take after that.
const FINISH: Duration = Duration::from_secs(25);

pub fn run(record: &Arc<Record>, folder: &Path, has_trouble: bool) -> Result<Verdict, Failure> {
    let yard = Yard::start(Arc::clone(record), folder, RUNNERS, ROOM, 0)?;
    yard.submit(BATCH_JOB, WORK_MS, DEMAND)?;
    for id in LASTING_JOBS {
        yard.submit_lasting(id, 1, 0, DEMAND)?;
    }
    let have_begun = |yard: &Yard| jobs().all(|id| yard.begun_at(id).is_some());
    if !yard.wait_until(Duration::from_secs(10), have_begun) {
        return Err("the jobs have not begun".to_owned());
    }
    let until = Instant::now() + TROUBLE;
    let mut turn = 0;
    let mut states = shown_states(&yard, turn);
    while has_trouble && Instant::now() < until {
        let next_at = Instant::now() + INTERVAL;
        let runner = &yard.runners[turn % RUNNERS];
        runner.cut(CUT);
        thread::sleep(CRASH_AFTER);
        runner.crash();
        thread::sleep(DOWN);
        runner.restart();
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
        turn += 1;
        states = shown_states(&yard, turn);
    }
    let until = Instant::now() + FINISH;
    while Instant::now() < until && !has_failed(&states) && states[BATCH_JOB] != "completed" {
        thread::sleep(INTERVAL);
        turn += 1;
        states = shown_states(&yard, turn);
    }
    let mut is_broken = false;
    for (id, state) in states.iter().filter(|(_, state)| is_lost(state)) {
        let failed = failed_ends(&yard, id);
        record.line(&format!(
            "job {id} is shown as {state}; {failed} of its runs have ended `failed`"
        ));
        is_broken |= failed == 0;
    }
    if is_broken {
        record.line(
            "LOST: a job that nobody has cancelled is shown as failed or cancelled without cause",
        );
        return Ok(Verdict::Broken);
    }
    if states[BATCH_JOB] != "completed" {
        return Err("the batch job has not ended in time".to_owned());
    }
    Ok(Verdict::Held)
}

fn jobs() -> impl Iterator<Item = &'static str> {
    LASTING_JOBS.into_iter().chain([BATCH_JOB])
}

fn shown_states(yard: &Yard, node: usize) -> BTreeMap<&'static str, String> {
    let states = jobs().map(|id| {
        let answer = yard.state(node, id).filter(|answer| answer.status == 200);
        let state = answer.and_then(|answer| Some(answer.body.get("state").text()?.to_owned()));
        (id, state.unwrap_or_default())
    });
    states.collect()
}

fn is_lost(state: &str) -> bool {
    matches!(state, "failed" | "cancelled")
}

fn has_failed(states: &BTreeMap<&'static str, String>) -> bool {
    states.values().any(|state| is_lost(state))
}

fn failed_ends(yard: &Yard, id: &str) -> usize {
    let log = yard.log.lock().unwrap_or_else(PoisonError::into_inner);
    let of_job = log.ends.iter().filter(|end| end.task.starts_with(id));
    of_job.filter(|end| end.how == "failed").count()
}
