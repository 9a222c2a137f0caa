//! Unit tests of worker health, usage and run-time corrections. They guard against quarantine of a healthy worker,
//! usage that a takeover charges twice or loses, and ids of different tasks that collide after truncation.

use lycheeyard_protocol::{
    AcceleratorIndex, Allocation, JobRecord, JobSpec, JobState, Placement, Preemption, Priority,
    Shape, Timestamp, WorkerId,
};
use lycheeyard_scheduler::{HealthChange, SchedulerStatistics, WorkerHealth, task_id};
use rstest::rstest;
use std::collections::BTreeSet;

const MINUTE_MS: u64 = 60_000;

fn worker(name: &str) -> WorkerId {
    name.parse().expect("identifier is valid")
}

fn record(organisation: &str, job: &str) -> JobRecord {
    let spec = JobSpec {
        organisation: organisation.parse().expect("identifier is valid"),
        job: job.parse().expect("identifier is valid"),
        data_centre: "dc1".parse().expect("identifier is valid"),
        shape: Shape::new(1, 2).expect("shape is valid"),
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
fn quarantines_worker_after_three_failed_jobs_and_returns_it() {
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
fn doubles_quarantine_of_worker_that_fails_on_probation() {
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
fn repeated_failures_of_one_job_do_not_quarantine_worker() {
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
fn charges_usage_once_across_a_takeover() {
    let running = record("org-a", "build");
    let organisation = &running.spec.organisation;
    let mut statistics = SchedulerStatistics::default();
    statistics.charge([&running], Timestamp(MINUTE_MS));
    let stored = serde_json::to_string(&statistics).expect("statistics round-trip through JSON");
    let mut successor: SchedulerStatistics =
        serde_json::from_str(&stored).expect("statistics round-trip through JSON");
    successor.charge([&running], Timestamp(2 * MINUTE_MS));
    let used = successor.usage[organisation].at(Timestamp(2 * MINUTE_MS));
    let expected = 2.0 * 2.0 * 60_000.0;
    assert!((used - expected).abs() < expected / 100.0, "{used}");
}

#[rstest]
#[case::ten_times_longer(10, 6.0)]
#[case::as_declared(1, 0.9)]
fn corrects_declared_run_times_from_observed_ones(#[case] factor: u64, #[case] least: f64) {
    let job = record("org-a", "build");
    let mut statistics = SchedulerStatistics::default();
    for _ in 0..40 {
        statistics.observe_run(&job, Timestamp(factor * MINUTE_MS));
    }
    let declared = std::time::Duration::from_secs(60);
    let expected = statistics.corrections[&job.spec.organisation].expected(declared);
    let ratio = expected.as_secs_f64() / declared.as_secs_f64();
    #[expect(clippy::cast_precision_loss, reason = "the factor is small")]
    let most = 1.2 * factor as f64;
    assert!(ratio >= least && ratio <= most, "{ratio}");
}

#[test]
fn longest_names_yield_distinct_task_ids() {
    let longest = "x".repeat(127);
    let names = ["a", "b"].map(|last| format!("{longest}{last}"));
    let mut ids = BTreeSet::new();
    for organisation in &names {
        for job in &names {
            for name in &names {
                let mut record = record(organisation, job);
                record.attempts = u32::MAX;
                let id = task_id(&record, &worker(name)).expect("truncated id is valid");
                assert!(ids.insert(id));
            }
        }
    }
    assert_eq!(ids.len(), 8);
}
