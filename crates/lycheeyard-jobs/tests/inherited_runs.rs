//! Runs that the records name when a term begins, and that a previous scheduling instance may have started.

mod support;

use lycheeyard_jobs::{
    Job, JobScheduler, Now, Order, Placement, Progress, RunNumber, RunReport, TaskKey, WorkerInfo,
    WorkerReport,
};
use lycheeyard_protocol::{Incarnation, Percent};
use rstest::rstest;
use std::{collections::BTreeMap, time::Duration};
use support::{BULK, gang, job, limits, policy, secs, site, step};

const OLDER: Incarnation = Incarnation(1);
const NEWER: Incarnation = Incarnation(2);
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the record of a job whose tasks were all placed on one incarnation of a worker.
fn record(job: &Job, worker: &WorkerInfo, incarnation: Incarnation, now: Now) -> Progress {
    let mut progress = Progress::default();
    progress.open_due(job, now.wall);
    for task in &mut progress.step_mut(0, 0).expect("step is open").tasks {
        task.run = RunNumber(1);
        task.placement = Some(Placement(worker.key.id.clone(), incarnation));
    }
    progress
}

/// Lets the worker report the same runs for a while, and returns the starts that are ordered.
fn starts_within(
    scheduler: &mut JobScheduler,
    worker: &WorkerInfo,
    running: &[RunReport],
    mut now: Now,
    time: Duration,
) -> BTreeMap<TaskKey, RunNumber> {
    let mut starts = BTreeMap::new();
    let until = now.boot.after(time);
    while !until.is_past(now.boot) {
        now.boot = now.boot.after(REPORT_INTERVAL);
        now.wall = now.wall.after(REPORT_INTERVAL);
        let report = WorkerReport {
            worker: worker.key.clone(),
            polled_at: now.boot,
            received_at: now.boot,
            running: running.to_vec(),
            ended: Vec::new(),
            is_partial: false,
        };
        scheduler.worker_reported(&report, now);
        scheduler.tick(now);
        scheduler.plan(now);
        while let Some(batch) = scheduler.take_batch(10) {
            scheduler.batch_committed(batch, now);
        }
        for order in scheduler.take_orders() {
            if let Order::Start(order) = order {
                starts.insert(order.task, order.run);
            }
        }
    }
    starts
}

/// Guards against a run that is never ended, so that its task never starts again during the term, because the records also name
/// a run on another incarnation of its worker: a holder was replaced while the worker had just restarted.
#[rstest]
fn runs_on_two_incarnations_of_one_worker_are_both_followed(
    #[values(false, true)] is_newer_first: bool,
    #[values(false, true)] is_newer_running: bool,
    #[values(false, true)] is_gang: bool,
) {
    let site = site(1, 1);
    let now = site.now;
    let mut worker = site.workers.values().next().expect("worker").info.clone();
    worker.key.incarnation = NEWER;
    let work = if is_gang {
        gang(2, 1, 9000)
    } else {
        step(2, 1, 9000)
    };
    let older = job(&site, "a", BULK, vec![work.clone()]);
    let newer = job(&site, "b", BULK, vec![work]);
    let mut records = vec![
        (older.clone(), record(&older, &worker, OLDER, now)),
        (newer.clone(), record(&newer, &worker, NEWER, now)),
    ];
    if is_newer_first {
        records.reverse();
    }
    let mut scheduler = JobScheduler::new(limits(), policy(), now.boot);
    for (job, progress) in records {
        scheduler.add_job(job, Some(progress), now);
    }
    scheduler.workers_listed(vec![worker.clone()], now);
    let newer_tasks = [0, 1].map(|index| task(&newer, index));
    let running: Vec<RunReport> = newer_tasks.iter().cloned().map(run_report).collect();
    let running = if is_newer_running {
        running
    } else {
        Vec::new()
    };
    let starts = starts_within(&mut scheduler, &worker, &running, now, secs(3));
    for index in [0, 1] {
        assert_eq!(starts.get(&task(&older, index)), Some(&RunNumber(2)));
        let expected = (!is_newer_running).then_some(&RunNumber(2));
        assert_eq!(starts.get(&task(&newer, index)), expected);
    }
}

fn task(job: &Job, index: usize) -> TaskKey {
    lycheeyard_jobs::StepKey {
        job: job.id.clone(),
        occurrence: 0,
        step: 0,
    }
    .task(index)
}

fn run_report(task: TaskKey) -> RunReport {
    RunReport {
        task,
        run: RunNumber(1),
        checkpoint: None,
        progress: Percent(10),
        recent: None,
    }
}
