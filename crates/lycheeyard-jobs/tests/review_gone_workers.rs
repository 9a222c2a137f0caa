//! Findings of the review of the record of silent workers: waits for runs on them that end too early, or never.

mod support;

use lycheeyard_jobs::{
    BootTime, Job, JobScheduler, Now, Order, Placement, Progress, RunNumber, SilentWorker,
    StartAnswer, StepKey, WorkerInfo, WorkerKey, WorkerReport,
};
use lycheeyard_protocol::{Incarnation, JobId};
use rstest::rstest;
use std::{collections::BTreeMap, time::Duration};
use support::{BULK, first_worker, job, limits, policy, secs, site, step};

const TICK: Duration = Duration::from_millis(100);
/// How long a former holder may extend leases.
const GRACE: Duration = Duration::from_secs(5);
/// A lease that was extended at the end of [`GRACE`] lasts until this, at least.
const GRACE_AND_LEASE: Duration = Duration::from_millis(10_900);

/// A term in which no worker answers, and the records that it leaves.
struct Term {
    scheduler: JobScheduler,
    now: Now,
    records: BTreeMap<JobId, Progress>,
    silent: Vec<SilentWorker>,
}

impl Term {
    fn begin(now: Now, silent: Vec<SilentWorker>, records: Vec<(Job, Progress)>) -> Self {
        let mut scheduler = JobScheduler::new(limits(), policy(), now.boot.after(GRACE));
        scheduler.restore_silent_workers(silent.clone());
        let mut stored = BTreeMap::new();
        for (job, progress) in records {
            stored.insert(job.id.clone(), progress.clone());
            scheduler.add_job(job, Some(progress), now);
        }
        Self {
            scheduler,
            now,
            records: stored,
            silent,
        }
    }

    fn advance(&mut self, time: Duration) {
        let until = self.now.boot.after(time);
        while !until.is_past(self.now.boot) {
            self.now.boot = self.now.boot.after(TICK);
            self.now.wall = self.now.wall.after(TICK);
            self.pass();
        }
    }

    fn pass(&mut self) {
        let asked = self.scheduler.workers_to_poll();
        let asked: Vec<WorkerKey> = asked.map(|info| info.key.clone()).collect();
        for key in asked {
            self.scheduler.report_failed(&key, self.now);
        }
        self.scheduler.tick(self.now);
        self.scheduler.plan(self.now);
        if let Some(silent) = self.scheduler.take_silent_workers(self.now) {
            self.silent = silent;
            self.scheduler.silent_workers_written();
        }
        while let Some(batch) = self.scheduler.take_batch(10) {
            for change in &batch.changes {
                let progress = change.progress.clone();
                self.records.insert(change.job.clone(), progress);
            }
            self.scheduler.batch_committed(batch, self.now);
        }
    }

    /// Whether the run of the only task of a job counts as present.
    fn has_run(&self, job: &Job) -> bool {
        let task = step_of(job).task(0);
        let task = self.records[&job.id].task(&task);
        task.is_some_and(|task| task.placement.is_some())
    }
}

fn step_of(job: &Job) -> StepKey {
    StepKey {
        job: job.id.clone(),
        occurrence: 0,
        step: 0,
    }
}

fn one_task(name: &str) -> Job {
    job(&site(1, 1), name, BULK, vec![step(1, 1, 60_000)])
}

/// The record of a job whose only task was started on an incarnation of the first worker.
fn started_on(job: &Job, incarnation: u64, is_answered: bool, now: Now) -> Progress {
    let mut progress = Progress::default();
    progress.open_due(job, now.wall);
    for task in &mut progress.step_mut(0, 0).expect("step is open").tasks {
        task.run = RunNumber(1);
        task.placement = Some(Placement(info(1).key.id, Incarnation(incarnation)));
        task.is_answered = is_answered;
    }
    progress
}

/// The description of an incarnation of the first worker.
fn info(incarnation: u64) -> WorkerInfo {
    let site = site(1, 1);
    let mut info = site.workers[&first_worker(&site)].info.clone();
    info.key.incarnation = Incarnation(incarnation);
    info
}

fn start() -> Now {
    site(1, 1).now
}

// Guards against a run that ends at once after a takeover, since the record names a former incarnation of its worker whose leases have
// expired: the next one has reported and got the run, and the record without the former one was not durable yet.
#[rstest]
fn deadlines_of_a_silent_incarnation_end_no_run_on_the_next(#[values(1, 2)] incarnation: u64) {
    let now = start();
    let former = one_task("a");
    let next = one_task("b");
    let records = vec![
        (former.clone(), started_on(&former, incarnation, true, now)),
        (next.clone(), started_on(&next, 2, true, now)),
    ];
    let silent = SilentWorker {
        worker: info(1).key,
        leases_until: now.boot,
        copies_until: BootTime(0),
        gone_at: None,
    };
    let mut term = Term::begin(now, vec![silent], records);
    // The list of workers has not been read yet.
    term.advance(secs(1));
    assert!(term.has_run(&next));
}

// Guards against leases of a former holder that count as over too early: another incarnation of the worker is listed, is then missing from
// the list, and does not answer, while the former holder may extend its leases.
#[test]
fn worker_that_is_gone_keeps_runs_until_the_leases_of_the_former_holder_are_over() {
    let now = start();
    let job = one_task("a");
    let records = vec![(job.clone(), started_on(&job, 1, true, now))];
    let mut term = Term::begin(now, Vec::new(), records);
    term.scheduler.workers_listed(vec![info(2)], now);
    term.advance(TICK);
    term.scheduler.worker_unlisted(&info(2).key.id);
    term.advance(GRACE_AND_LEASE.saturating_sub(TICK));
    assert!(term.has_run(&job));
}

// Guards against a record of silent workers that hands on a shorter wait than its writer keeps: the wait of the writer includes leases that
// late report requests for the former incarnation may extend, and those of its own predecessor.
#[rstest]
fn record_of_a_silent_incarnation_ends_no_run_before_its_writer_would(
    #[values(false, true)] is_taken_over: bool,
) {
    let now = start();
    let job = one_task("a");
    let records = vec![(job.clone(), started_on(&job, 1, true, now))];
    let mut term = Term::begin(now, Vec::new(), records);
    term.scheduler.workers_listed(vec![info(2)], now);
    term.advance(secs(3));
    if is_taken_over {
        let records = vec![(job.clone(), term.records[&job.id].clone())];
        term = Term::begin(term.now, term.silent, records);
        term.scheduler.workers_listed(vec![info(2)], term.now);
    }
    term.advance(GRACE_AND_LEASE.saturating_sub(secs(3)));
    assert!(term.has_run(&job));
}

// Guards against a job that waits for ever for a start order without an answer: its worker starts again and again, is listed each time, and
// does not answer. Copies of the order are carried out for 15 s, and what they begin lasts for one lease; the wait begins anew
// with each listing.
#[rstest]
fn incarnations_that_never_report_begin_no_wait_anew(#[values(1, 7)] incarnations: u64) {
    let now = start();
    let job = one_task("a");
    let records = vec![(job.clone(), started_on(&job, 1, false, now))];
    let mut term = Term::begin(now, Vec::new(), records);
    for number in 0..7 {
        let listed = info(1 + number % incarnations);
        term.scheduler.worker_listed(listed, term.now);
        term.advance(secs(8));
    }
    assert!(!term.has_run(&job));
}

/// Submits a job and returns the number of its run once its only task is ordered to start.
fn start_job(term: &mut Term, job: &Job) -> RunNumber {
    term.scheduler.add_job(job.clone(), None, term.now);
    term.scheduler.plan(term.now);
    let batch = term.scheduler.take_batch(10).expect("task is placed");
    for change in &batch.changes {
        let progress = change.progress.clone();
        term.records.insert(change.job.clone(), progress);
    }
    term.scheduler.batch_committed(batch, term.now);
    let orders = term.scheduler.take_orders().into_iter();
    let mut starts = orders.filter_map(|order| match order {
        Order::Start(order) if order.task.step.job == job.id => Some(order.run),
        _ => None,
    });
    starts.next().expect("task is ordered to start")
}

/// Lets time pass without an answer to the report request that is under way, nor its failure.
fn pass_time(term: &mut Term, time: Duration) {
    term.now.boot = term.now.boot.after(time);
    term.now.wall = term.now.wall.after(time);
    term.scheduler.tick(term.now);
}

// Guards against a run that counts as over before its lease: an incarnation of its worker that nobody has seen has confirmed it, and takes
// the longest lease from each later start order too, whether it refuses that one or does not answer.
#[rstest]
fn later_start_order_extends_the_lease_on_an_unseen_incarnation(
    #[values(StartAnswer::Present, StartAnswer::NoRoom, StartAnswer::Unclear)] answer: StartAnswer,
) {
    const BETWEEN_STARTS: Duration = Duration::from_millis(1900);
    const LEASE: Duration = Duration::from_millis(5900);
    let mut term = Term::begin(start(), Vec::new(), Vec::new());
    let worker = info(1).key;
    term.scheduler.workers_listed(vec![info(1)], term.now);
    let report = WorkerReport {
        worker: worker.clone(),
        polled_at: term.now.boot,
        received_at: term.now.boot,
        running: Vec::new(),
        ended: Vec::new(),
        is_partial: false,
    };
    term.scheduler.worker_reported(&report, term.now);
    let (first, second) = (one_task("a"), one_task("b"));
    for (job, answer) in [(&first, StartAnswer::Present), (&second, answer)] {
        pass_time(&mut term, BETWEEN_STARTS / 2);
        let run = start_job(&mut term, job);
        let task = step_of(job).task(0);
        let now = term.now;
        let scheduler = &mut term.scheduler;
        scheduler.start_answered(&task, run, &worker, answer, now);
        pass_time(&mut term, BETWEEN_STARTS / 2);
    }
    term.advance(LEASE.saturating_sub(BETWEEN_STARTS / 2));
    assert!(term.has_run(&first));
}

// Guards against a worker that counts as gone as soon as it is missing from the list, since the record has an older time for that: its entry
// was back in between.
#[test]
fn worker_whose_entry_was_back_is_not_gone_at_once() {
    const LISTED_AFTER: Duration = Duration::from_secs(12);
    const NO_COPY_BEGINS_AFTER: Duration = Duration::from_millis(13_500);
    let now = start();
    let job = one_task("a");
    let records = vec![(job.clone(), started_on(&job, 1, false, now))];
    let silent = SilentWorker {
        worker: info(1).key,
        leases_until: now.boot,
        copies_until: now.boot.after(secs(15)),
        gone_at: Some(now.boot),
    };
    let mut term = Term::begin(now, vec![silent], records);
    term.scheduler.workers_listed(Vec::new(), term.now);
    term.advance(LISTED_AFTER);
    term.scheduler.worker_listed(info(1), term.now);
    term.scheduler.worker_unlisted(&info(1).key.id);
    term.advance(NO_COPY_BEGINS_AFTER.saturating_sub(LISTED_AFTER));
    assert!(term.has_run(&job));
}
