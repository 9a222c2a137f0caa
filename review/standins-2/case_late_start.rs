//! Rule TWICE: a work unit that is done begins again, as a late start order reaches the next lifetime of its runner.

use crate::{
    Verdict,
    record::Record,
    runner::{End, Room, Runner},
    yard::{Failure, Yard},
};
use std::{
    path::Path,
    sync::{Arc, PoisonError},
    thread,
    time::Duration,
};

const RUNNERS: usize = 6;
const ROOM: Room = Room {
    cpu: 32_000,
    memory_mb: 131_072,
    gpu: 8,
};
const DEMAND: Room = Room {
    cpu: 3_700,
    memory_mb: 15_000,
    gpu: 1,
};
const WORK_MS: u64 = 2_500;
const JOB: &str = "00000000000000b1";
const TASK: &str = "00000000000000b1.0.0.0";
/// Workers carry orders out 2 to 12 s late.
const DELAY: Duration = Duration::from_millis(8000);
/// The longest cut of workers that the sites of the small deployments have.
const CUT: Duration = Duration::from_millis(5500);
const CRASH_AFTER: Duration = Duration::from_millis(1000);
const DOWN: Duration = Duration::from_millis(500);
/// How long the runners are observed after the cut.
const OBSERVED: Duration = Duration::from_secs(8);

pub fn run(record: &Arc<Record>, folder: &Path, has_trouble: bool) -> Result<Verdict, Failure> {
    let yard = Yard::start(Arc::clone(record), folder, RUNNERS, ROOM, 0)?;
    if has_trouble {
        yard.runners
            .iter()
            .for_each(|runner| runner.delay_next_start(DELAY));
    }
    yard.submit(JOB, WORK_MS, DEMAND)?;
    if !yard.wait_until(Duration::from_secs(12), |yard| noted_end(yard).is_some()) {
        return Err("the end of the work unit is not taken note of".to_owned());
    }
    let runner = runner_of_first_start(&yard).ok_or("the work unit has not begun")?;
    record.line(&format!(
        "the end of {TASK} on {} is taken note of",
        runner.config.id
    ));
    if has_trouble {
        runner.cut(CUT);
        thread::sleep(CRASH_AFTER);
        runner.crash();
        thread::sleep(DOWN);
        runner.restart();
    }
    thread::sleep(CUT + OBSERVED);
    for node in 0..yard.nodes.len() {
        yard.state(node, JOB);
    }
    let done = noted_end(&yard).ok_or("the end of the work unit is not taken note of")?;
    let log = yard.log.lock().unwrap_or_else(PoisonError::into_inner);
    let starts = log
        .starts
        .iter()
        .filter(|start| start.task == TASK && start.at_ms > done.at_ms);
    let mut is_broken = false;
    for start in starts {
        is_broken = true;
        let (at, on) = (start.at_ms, &start.runner);
        record.line(&format!(
            "TWICE: run {} of {TASK} begins on {on} at {at}, after run {} ended done at {}",
            start.run, done.run, done.at_ms
        ));
    }
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Returns the end of the work unit that is done and taken note of.
fn noted_end(yard: &Yard) -> Option<End> {
    let log = yard.log.lock().unwrap_or_else(PoisonError::into_inner);
    let mut ends = log.ends.iter();
    let end = ends.find(|end| end.task == TASK && end.how == "done" && end.noted_at_ms.is_some());
    end.cloned()
}

fn runner_of_first_start(yard: &Yard) -> Option<Arc<Runner>> {
    let log = yard.log.lock().unwrap_or_else(PoisonError::into_inner);
    let start = log.starts.iter().find(|start| start.task == TASK)?;
    let runner = yard
        .runners
        .iter()
        .find(|runner| runner.config.id == start.runner);
    runner.cloned()
}
