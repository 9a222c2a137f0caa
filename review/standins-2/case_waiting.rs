//! Rule MIXED: a node gives too few jobs as waiting, while a runner is cut off.

use crate::{
    Verdict,
    record::Record,
    runner::Room,
    yard::{Failure, Yard},
};
use std::{path::Path, sync::Arc, thread, time::Duration};

const RUNNERS: usize = 6;
const ROOM: Room = Room {
    cpu: 32_000,
    memory_mb: 131_072,
    gpu: 8,
};
/// A work unit that takes the whole of a runner.
const WHOLE: Room = Room {
    cpu: 26_000,
    memory_mb: 106_000,
    gpu: 8,
};
const SMALL: Room = Room {
    cpu: 3_700,
    memory_mb: 15_000,
    gpu: 1,
};
const LONG_MS: u64 = 30_000;
const SHORT_MS: u64 = 2_500;
const SMALL_JOBS: usize = 3;
/// The longest cut of workers that the sites of the small deployments have.
const CUT: Duration = Duration::from_millis(5500);
/// `visible_ms` + 2 s.
const COUNTED_AFTER_MS: u64 = 5000;
/// How long the counts are asked for.
const ASKED_FOR: Duration = Duration::from_secs(10);
const ASK_INTERVAL: Duration = Duration::from_millis(150);

struct Submitted {
    id: String,
    accepted_ms: u64,
}

pub fn run(record: &Arc<Record>, folder: &Path, has_trouble: bool) -> Result<Verdict, Failure> {
    let yard = Yard::start(Arc::clone(record), folder, RUNNERS, ROOM, 0)?;
    let mut jobs = Vec::new();
    for number in 1..RUNNERS {
        let id = format!("{:016x}", 0xf00 + number);
        let accepted_ms = yard.submit(&id, LONG_MS, WHOLE)?;
        jobs.push(Submitted { id, accepted_ms });
    }
    let is_filled = |yard: &Yard| {
        yard.runners
            .iter()
            .filter(|runner| runner.is_empty())
            .count()
            == 1
    };
    if !yard.wait_until(Duration::from_secs(10), is_filled) {
        return Err("the long jobs have not begun".to_owned());
    }
    let free = yard.runners.iter().find(|runner| runner.is_empty());
    let free = free.ok_or("no runner is free")?;
    record.line(&format!("{} is the one with room", free.config.id));
    if has_trouble {
        free.cut(CUT);
    }
    for number in 0..SMALL_JOBS {
        let id = format!("{:016x}", 0xa00 + number);
        let accepted_ms = yard.submit(&id, SHORT_MS, SMALL)?;
        jobs.push(Submitted { id, accepted_ms });
    }
    let until = record.now_ms() + u64::try_from(ASKED_FOR.as_millis()).unwrap_or(0);
    let mut is_broken = false;
    let mut node = 0;
    while record.now_ms() < until {
        is_broken |= asks_in_vain(&yard, node, &jobs);
        node += 1;
        thread::sleep(ASK_INTERVAL);
    }
    for job in &jobs {
        yard.state(0, &job.id);
        record.line(&format!(
            "job {}: accepted at {}, begun at {:?}",
            job.id,
            job.accepted_ms,
            yard.begun_at(&job.id)
        ));
    }
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Asks a node for the number of waiting jobs. Returns whether it is under half of those that have to be counted: accepted over
/// `visible_ms` + 2 s before the call, and not begun when it was answered.
fn asks_in_vain(yard: &Yard, node: usize, jobs: &[Submitted]) -> bool {
    let Some(answer) = yard.waiting(node).filter(|answer| answer.status == 200) else {
        return false;
    };
    let Some(waiting) = answer.body.get("waiting").number() else {
        return false;
    };
    let counts = |job: &&Submitted| {
        let begun_ms = yard.begun_at(&job.id);
        job.accepted_ms + COUNTED_AFTER_MS < answer.sent_ms
            && begun_ms.is_none_or(|at| at > answer.answered_ms)
    };
    let expected = u64::try_from(jobs.iter().filter(counts).count()).unwrap_or(0);
    let is_too_few = 2 * waiting < expected;
    if is_too_few {
        yard.record.line(&format!(
            "MIXED: {waiting} jobs are given as waiting, {expected} have not begun"
        ));
    }
    is_too_few
}
