//! Worker health and what the scheduler learns, without any input or output.

use lycheeyard_protocol::{
    AcceleratorIndex, Allocation, JobRecord, JobSpec, JobState, Placement, Preemption, Priority,
    Shape, Timestamp, WorkerId,
};
use lycheeyard_scheduler::{HealthChange, SchedulerStatistics, WorkerHealth, task_id};
use rstest::rstest;
use std::collections::BTreeSet;

const MINUTE_MS: u64 = 60_000;

fn worker(name: &str) -> WorkerId {
    name.parse().expect("a name")
}

fn record(organisation: &str, job: &str) -> JobRecord {
    let spec = JobSpec {
        organisation: organisation.parse().expect("a name"),
        job: job.parse().expect("a name"),
        data_centre: "dc1".parse().expect("a name"),
        shape: Shape::new(1, 2).expect("a shape"),
        priority: Priority::Normal,
        preemption: Preemption::Checkpoint,
        guaranteed: false,
        run_time_ms: MINUTE_MS,
        window_ms: None,
        payload: String::new(),
    };
    let mut record = JobRecord::submitted(spec, Timestamp(0));
    record.state = JobState::Running;
    record.started_at = Some(Timestamp(0));
    record.placement = Some(Placement {
        allocations: vec![Allocation {
            worker: worker("w1"),
            accelerators: [0, 1].map(AcceleratorIndex).into(),
        }],
    });
    record
}

#[test]
fn worker_that_fails_three_jobs_is_quarantined_and_returns() {
    let mut health = WorkerHealth::default();
    let bad = worker("w1");
    for job in ["a/1", "a/2"] {
        let change = health.observe_failure(&bad, job, Timestamp(0));
        assert_eq!(change, HealthChange::None);
    }
    let change = health.observe_failure(&bad, "a/3", Timestamp(0));
    assert_eq!(change, HealthChange::Quarantined);
    assert!(health.quarantined(Timestamp(MINUTE_MS - 1)).contains(&bad));
    assert!(health.quarantined(Timestamp(MINUTE_MS)).is_empty());
    assert_eq!(health.observe_success(&bad), HealthChange::Returned);
}

#[test]
fn worker_that_fails_on_probation_waits_twice_as_long() {
    let mut health = WorkerHealth::default();
    let bad = worker("w1");
    for job in ["a/1", "a/2", "a/3"] {
        health.observe_failure(&bad, job, Timestamp(0));
    }
    let change = health.observe_failure(&bad, "a/4", Timestamp(MINUTE_MS));
    assert_eq!(change, HealthChange::Quarantined);
    assert!(
        health
            .quarantined(Timestamp(3 * MINUTE_MS - 1))
            .contains(&bad)
    );
    assert!(health.quarantined(Timestamp(3 * MINUTE_MS)).is_empty());
}

#[test]
fn one_faulty_job_takes_no_worker_out() {
    let mut health = WorkerHealth::default();
    for _ in 0..10 {
        let change = health.observe_failure(&worker("w1"), "a/1", Timestamp(0));
        assert_eq!(change, HealthChange::None);
    }
    health.clear_job_failures("a/1");
    assert_eq!(health, WorkerHealth::default());
}

#[test]
fn success_clears_earlier_failures() {
    let mut health = WorkerHealth::default();
    let good = worker("w1");
    for job in 0..20 {
        let change = health.observe_failure(&good, &format!("a/{job}"), Timestamp(0));
        assert_eq!(change, HealthChange::None);
        health.observe_success(&good);
    }
}

#[test]
fn usage_is_charged_once_and_survives_a_successor() {
    let running = record("org-a", "build");
    let organisation = &running.spec.organisation;
    let mut book = SchedulerStatistics::default();
    book.charge([&running], Timestamp(MINUTE_MS));
    let stored = serde_json::to_string(&book).expect("a book");
    let mut successor: SchedulerStatistics = serde_json::from_str(&stored).expect("a book");
    successor.charge([&running], Timestamp(2 * MINUTE_MS));
    let used = successor.usage[organisation].at(Timestamp(2 * MINUTE_MS));
    let expected = 2.0 * 2.0 * 60_000.0;
    assert!((used - expected).abs() < expected / 100.0, "{used}");
}

#[rstest]
#[case::ten_times_longer(10, 6.0)]
#[case::as_declared(1, 0.9)]
fn run_times_are_learnt(#[case] factor: u64, #[case] least: f64) {
    let job = record("org-a", "build");
    let mut book = SchedulerStatistics::default();
    for _ in 0..40 {
        book.observe_run(&job, Timestamp(factor * MINUTE_MS));
    }
    let declared = std::time::Duration::from_secs(60);
    let expected = book.corrections[&job.spec.organisation].expected(declared);
    let ratio = expected.as_secs_f64() / declared.as_secs_f64();
    #[expect(clippy::cast_precision_loss, reason = "the factor is small")]
    let most = 1.2 * factor as f64;
    assert!(ratio >= least && ratio <= most, "{ratio}");
}

#[test]
fn longest_names_make_distinct_task_ids() {
    let longest = "x".repeat(127);
    let names = ["a", "b"].map(|last| format!("{longest}{last}"));
    let mut ids = BTreeSet::new();
    for organisation in &names {
        for job in &names {
            for name in &names {
                let mut record = record(organisation, job);
                record.attempts = u32::MAX;
                let id = task_id(&record, &worker(name)).expect("it fits");
                assert!(ids.insert(id));
            }
        }
    }
    assert_eq!(ids.len(), 8);
}
