//! Values that are well-formed and absurd, in submissions, descriptions of workers, reports and records.

mod support;

use lycheeyard_jobs::{
    EndNumber, EndReport, Job, Progress, Resources, RunEnd, RunNumber, Schedule, Step, WorkerReport,
};
use lycheeyard_protocol::{Incarnation, JobState, Timestamp};
use lycheeyard_standin::{SimulatedSite, SiteFault};
use rstest::rstest;
use support::{
    ACCELERATORS, BULK, ORDINARY, URGENT, assert_no_violations, gang, id, job, policy, secs, site,
    site_with, step,
};

const HUGE: Resources = Resources {
    cpu_milli: u64::MAX,
    memory_mb: u64::MAX,
    accelerators: u32::MAX,
};

fn one_task(site: &SimulatedSite, name: &str) -> Job {
    job(site, name, ORDINARY, vec![step(1, 1, 100)])
}

/// Guards against a scheduler that ends, or counts wrongly, on estimates, demands and times at the ends of their ranges.
#[rstest]
#[case::run_time(Step { expected_ms: u64::MAX, ..step(3, 1, 0) }, None)]
#[case::remote_run_time(Step { expected_ms: u64::MAX / 2, same_rack: true, ..gang(2, 8, 0) }, None)]
#[case::accelerators(step(20_000, u32::MAX, 100), None)]
#[case::processor_time(Step { demand: HUGE, ..step(3, 0, 100) }, None)]
#[case::best_effort(best_effort_step(), None)]
#[case::last_due_time(step(1, 1, 100), Some(Timestamp(u64::MAX)))]
#[case::first_due_time(Step { expected_ms: u64::MAX, ..step(1, 1, 0) }, Some(Timestamp(0)))]
fn extreme_submissions_do_not_end_the_scheduler(
    #[case] extreme: Step,
    #[case] first_at: Option<Timestamp>,
    #[values(URGENT, ORDINARY, BULK)] queue: &str,
) {
    let mut site = site(2, 2);
    for number in 0..3 {
        let mut job = job(
            &site,
            &format!("extreme-{number}"),
            queue,
            vec![extreme.clone(), extreme.clone()],
        );
        job.schedule = first_at.map(|first_at| Schedule {
            repetitions: 3,
            first_at,
            interval_ms: u64::MAX,
        });
        job.validate().expect("submission is accepted");
        site.submit(job);
    }
    site.advance(secs(2));
    let _ = site.scheduler.service_loads(site.now);
    let _ = site.scheduler.stats();
    // An urgent job is to stop some of the runs, and then there is to be room for another.
    site.submit(job(&site, "urgent", URGENT, vec![gang(1, 8, 1000)]));
    site.advance(secs(2));
    for number in 0..3 {
        site.cancel(&id(&format!("extreme-{number}")));
    }
    let submitted = job(&site, "other", URGENT, vec![gang(2, 8, 100)]);
    site.submit(submitted);
    site.advance(secs(8));
    assert!(site.ended_at.contains_key(&id("other")));
    assert_no_violations(&site);
}

fn best_effort_step() -> Step {
    Step {
        best_effort: true,
        demand: Resources {
            cpu_milli: u64::MAX,
            ..step(1, 1, 0).demand
        },
        ..step(40, 1, 60_000)
    }
}

/// Guards against a scheduler that ends, or takes a full site for an idle one, since the capacities of its workers add up to more than
/// a number can hold.
#[rstest]
fn capacities_add_up_without_a_bound(
    #[values(HUGE, Resources::default())] capacity: Resources,
    #[values(1, 3)] odd_workers: usize,
) {
    let mut site = site(2, 4);
    let ids: Vec<_> = site.workers.keys().take(odd_workers).cloned().collect();
    for id in &ids {
        let worker = site.workers.get_mut(id).expect("worker exists");
        worker.info.capacity = capacity;
        site.scheduler.worker_listed(worker.info.clone(), site.now);
    }
    site.submit(job(&site, "bulk", BULK, vec![step(64, 1, 3000)]));
    site.submit(job(
        &site,
        "urgent",
        URGENT,
        vec![gang(4, ACCELERATORS, 500)],
    ));
    site.submit(job(
        &site,
        "wide",
        ORDINARY,
        vec![gang(5, ACCELERATORS, 500)],
    ));
    site.advance(secs(2));
    let _ = site.scheduler.service_loads(site.now);
    let _ = site.scheduler.stats();
    assert!(site.settle(secs(120)));
    assert_no_violations(&site);
}

/// Guards against sums over the guarantees and over the arrivals of urgent jobs that do not fit.
#[test]
fn guarantees_and_urgent_arrivals_add_up_without_a_bound() {
    let mut policy = policy();
    for name in ["north-survey", "other"] {
        policy
            .guarantees
            .insert(support::organisation(name), u32::MAX);
    }
    let mut site = site_with(1, 2, policy);
    for number in 0..4 {
        let steps = vec![step(20_000, u32::MAX, 100)];
        site.submit(job(&site, &format!("urgent-{number}"), URGENT, steps));
    }
    let submitted = one_task(&site, "ordinary");
    site.submit(submitted);
    site.advance(secs(3));
    let _ = site.scheduler.service_loads(site.now);
    assert_no_violations(&site);
}

fn end_report(number: u64, task: &str) -> EndReport {
    EndReport {
        number: EndNumber(number),
        task: task.parse().expect("task key is valid"),
        run: RunNumber(u32::MAX),
        outcome: RunEnd::Failed,
        checkpoint: None,
    }
}

/// Guards against a scheduler that ends on numbers of ends at the ends of their range, also in reports some rows of which could not be
/// read.
#[rstest]
fn numbers_of_ends_may_be_extreme(
    #[values(0, 1, u64::MAX - 1, u64::MAX)] first: u64,
    #[values(0, 1, u64::MAX - 1, u64::MAX)] second: u64,
    #[values(true, false)] is_partial: bool,
) {
    let mut site = site(1, 2);
    site.scheduler.set_job_aside(id("held"));
    let worker = site.workers.values().next().expect("there is a worker");
    let worker = worker.info.key.clone();
    let report = WorkerReport {
        worker,
        polled_at: site.now.boot,
        received_at: site.now.boot,
        running: Vec::new(),
        ended: vec![
            end_report(first, "held.0.0.0"),
            end_report(second, "other.4294967295.0.1"),
        ],
        is_partial,
    };
    for _ in 0..2 {
        site.scheduler.worker_reported(&report, site.now);
        let acknowledged = site.scheduler.acknowledgements(site.now);
        assert_eq!(acknowledged.count(), 2);
    }
}

/// Guards against a record whose numbers have no successors: it would end the scheduler that starts the next run or counts the next
/// failure, and each of its successors.
#[rstest]
fn numbers_in_records_may_be_the_last_ones(#[values(false, true)] is_gang: bool) {
    let mut site = site(1, 2);
    let submitted = Job {
        steps: vec![Step {
            gang: is_gang,
            ..step(2, 1, 300)
        }],
        ..one_task(&site, "last")
    };
    let mut progress = Progress::default();
    progress.open_due(&submitted, site.now.wall);
    progress.state = JobState::Running;
    let step = progress.step_mut(0, 0).expect("occurrence is open");
    step.gang_failures = u32::MAX;
    for task in &mut step.tasks {
        task.run = RunNumber(u32::MAX);
        task.failures = u32::MAX;
        task.worker_crashes = u32::MAX;
    }
    site.failing_jobs.insert(id("last"));
    site.scheduler.add_job(submitted, Some(progress), site.now);
    site.advance(secs(5));
    let other = one_task(&site, "other");
    site.submit(other);
    site.advance(secs(5));
    assert!(site.ended_at.contains_key(&id("other")));
}

/// Guards against an incarnation at an end of its range that ends the scheduler, or hides the worker that is there.
#[rstest]
fn incarnations_may_be_extreme(#[values(0, u64::MAX)] incarnation: u64) {
    let mut site = site(1, 2);
    site.submit(job(&site, "bulk", BULK, vec![step(16, 1, 3000)]));
    site.advance(secs(1));
    let worker = site.workers.values().next().expect("there is a worker");
    let mut info = worker.info.clone();
    info.key.incarnation = Incarnation(incarnation);
    site.scheduler.worker_listed(info, site.now);
    site.advance(secs(2));
    site.inject_fault(SiteFault::Takeover);
    assert!(site.settle(secs(60)));
    assert_no_violations(&site);
}

/// Guards against runs that are started a second time since an entry of another writer gives their worker, which reports, the address of
/// another one. A worker that has not reported yet is asked at the address that the list has now.
#[rstest]
#[case::reports(true)]
#[case::no_report_yet(false)]
fn address_of_a_worker_that_reports_is_kept(#[case] reports: bool) {
    let mut site = site(1, 2);
    site.submit(job(&site, "bulk", BULK, vec![step(16, 1, 3000)]));
    site.advance(secs(1));
    let worker = site.workers.values().next().expect("there is a worker");
    let mut info = worker.info.clone();
    if !reports {
        info.key.id = "w-new".parse().expect("worker id is valid");
        site.scheduler.worker_listed(info.clone(), site.now);
    }
    let former = info.address;
    info.address.set_port(1);
    let (key, listed) = (info.key.clone(), info.address);
    site.scheduler.worker_listed(info, site.now);
    let mut asked = site.scheduler.workers_to_poll();
    let asked = asked
        .find(|asked| asked.key == key)
        .map(|info| info.address);
    assert_eq!(asked, Some(if reports { former } else { listed }));
}
