//! Single planning rounds: where jobs start, which jobs are stopped for which, and how waiting jobs are explained.

mod support;

use lycheeyard_policy::{Action, JobKey, Snapshot, StopReason, explain, plan};
use lycheeyard_protocol::{
    JobState, Percent, Placement, Preemption, Priority, Timestamp, WaitReason,
};
use support::{data_centre, key, organisations, spec, submit};

const NOW: Timestamp = Timestamp(10_000_000);

/// Two workers of four accelerators; the first is guaranteed to anise.
fn snapshot() -> Snapshot {
    Snapshot::new(
        data_centre(&[&[4; 2]]),
        organisations(&[("anise", &["1x4"]), ("basil", &[])]),
    )
}

/// Applies the starts of a plan, as the scheduler would.
fn start_all(snapshot: &mut Snapshot, now: Timestamp) -> Vec<JobKey> {
    let mut started = Vec::new();
    for action in plan(snapshot, now) {
        if let Action::Start { job, placement } = action {
            mark_running(snapshot, &job, placement, now);
            started.push(job);
        }
    }
    started
}

fn mark_running(snapshot: &mut Snapshot, job: &JobKey, placement: Placement, now: Timestamp) {
    let record = snapshot.jobs.get_mut(job).unwrap();
    record.state = JobState::Running;
    record.started_at = Some(now);
    record.placement = Some(placement);
}

fn stopped_jobs(actions: &[Action]) -> Vec<&JobKey> {
    let stopped = actions.iter().filter_map(|action| match action {
        Action::Stop { job, .. } => Some(job),
        _ => None,
    });
    stopped.collect()
}

/// Submits two jobs of basil, each as large as a worker, and starts those that may start.
fn snapshot_with_basil_jobs(preemption: Preemption) -> Snapshot {
    let mut snapshot = snapshot();
    for job in ["b1", "b2"] {
        let mut spec = spec("basil", job, "1x4");
        spec.preemption = preemption;
        submit(&mut snapshot, spec, 1);
    }
    start_all(&mut snapshot, Timestamp(2));
    snapshot
}

fn guaranteed(job: &str, shape: &str) -> lycheeyard_protocol::JobSpec {
    let mut spec = spec("anise", job, shape);
    spec.guaranteed = true;
    spec
}

#[test]
fn guaranteed_job_reclaims_its_shape_from_borrower() {
    let mut snapshot = snapshot_with_basil_jobs(Preemption::Checkpoint);
    submit(&mut snapshot, guaranteed("a1", "1x4"), 5);
    let actions = plan(&snapshot, NOW);
    assert_eq!(stopped_jobs(&actions).len(), 1);
    let Action::Stop {
        reason, checkpoint, ..
    } = &actions[0]
    else {
        panic!("the first action is not a stop");
    };
    assert!(*checkpoint);
    let claimant = "anise".parse().unwrap();
    assert_eq!(*reason, StopReason::Reclaim { claimant });
}

#[test]
fn guaranteed_jobs_get_no_more_than_the_guarantee() {
    let mut snapshot = snapshot();
    submit(&mut snapshot, guaranteed("a1", "1x4"), 1);
    let mut other = spec("basil", "b1", "1x4");
    other.preemption = Preemption::Stop;
    submit(&mut snapshot, other, 1);
    assert_eq!(start_all(&mut snapshot, Timestamp(2)).len(), 2);
    submit(&mut snapshot, guaranteed("a2", "1x4"), 5);
    assert_eq!(plan(&snapshot, NOW), Vec::new());
}

#[test]
fn guaranteed_job_of_organisation_without_guarantee_stops_no_job() {
    let mut snapshot = snapshot_with_basil_jobs(Preemption::Checkpoint);
    let mut job = spec("basil", "b3", "1x4");
    job.guaranteed = true;
    submit(&mut snapshot, job, 5);
    assert_eq!(plan(&snapshot, Timestamp(10)), Vec::new());
}

#[test]
fn non_preemptible_job_never_borrows() {
    let mut snapshot = snapshot_with_basil_jobs(Preemption::Never);
    let running = snapshot.jobs.values();
    let running: Vec<_> = running
        .filter(|job| job.state == JobState::Running)
        .collect();
    assert_eq!(running.len(), 1);
    submit(&mut snapshot, guaranteed("a1", "1x4"), 5);
    assert_eq!(start_all(&mut snapshot, NOW), [key("anise", "a1")]);
}

#[test]
fn retires_job_that_never_fits_but_not_for_unavailable_workers() {
    let mut snapshot = snapshot();
    submit(&mut snapshot, spec("basil", "b1", "1x5"), 1);
    submit(&mut snapshot, spec("basil", "b2", "2x4"), 1);
    snapshot.unavailable.insert("w002".parse().unwrap());
    let actions = plan(&snapshot, NOW);
    assert_eq!(
        actions,
        [Action::Retire {
            job: key("basil", "b1"),
            reason: "no part of dc1 holds 1x5".to_owned(),
        }]
    );
}

#[test]
fn quarantined_and_unavailable_workers_get_no_tasks() {
    let mut snapshot = snapshot();
    snapshot.unavailable.insert("w001".parse().unwrap());
    snapshot.quarantined.insert("w002".parse().unwrap());
    submit(&mut snapshot, spec("basil", "b1", "1x1"), 1);
    assert_eq!(plan(&snapshot, NOW), Vec::new());
}

#[test]
fn urgent_job_shortens_grace_period_of_slow_checkpoint() {
    let mut snapshot = snapshot_with_basil_jobs(Preemption::Checkpoint);
    snapshot.data_centre.policy.checkpoint_grace_ms = 60_000;
    let mut urgent = guaranteed("a1", "1x4");
    urgent.priority = Priority::Urgent;
    submit(&mut snapshot, urgent, 5);
    let actions = plan(&snapshot, NOW);
    let Some(Action::Stop {
        checkpoint_until, ..
    }) = actions.first()
    else {
        panic!("no borrower is stopped");
    };
    assert!(checkpoint_until.0 + 1_000 <= NOW.0 + 3_400);
}

#[test]
fn urgent_job_stops_normal_job_of_same_organisation() {
    let mut snapshot = snapshot();
    submit(&mut snapshot, guaranteed("a1", "1x4"), 1);
    submit(&mut snapshot, spec("basil", "b1", "1x4"), 1);
    start_all(&mut snapshot, Timestamp(2));
    let mut urgent = guaranteed("a2", "1x2");
    urgent.priority = Priority::Urgent;
    submit(&mut snapshot, urgent, 5);
    assert_eq!(stopped_jobs(&plan(&snapshot, NOW)), [&key("anise", "a1")]);
}

#[test]
fn jobs_with_slow_checkpoints_do_not_use_urgent_reserve() {
    let mut snapshot = snapshot();
    snapshot.data_centre.policy.checkpoint_grace_ms = 60_000;
    snapshot.data_centre.policy.urgent_reserve = Percent(50);
    for number in 0..8 {
        submit(
            &mut snapshot,
            spec("basil", &format!("b{number}"), "1x1"),
            1,
        );
    }
    assert_eq!(start_all(&mut snapshot, Timestamp(2)).len(), 6);
}

#[test]
fn chooses_victim_with_lowest_cost() {
    let mut snapshot = Snapshot::new(
        data_centre(&[&[4]]),
        organisations(&[("anise", &["1x4"]), ("basil", &[])]),
    );
    for (job, preemption) in [("b1", Preemption::Stop), ("b2", Preemption::Checkpoint)] {
        let mut spec = spec("basil", job, "1x2");
        spec.preemption = preemption;
        submit(&mut snapshot, spec, 1);
    }
    start_all(&mut snapshot, Timestamp(2));
    submit(&mut snapshot, guaranteed("a1", "1x2"), 5);
    assert_eq!(stopped_jobs(&plan(&snapshot, NOW)), [&key("basil", "b2")]);
}

#[test]
fn small_job_starts_on_partly_used_worker() {
    let mut snapshot = Snapshot::new(data_centre(&[&[4; 2]]), organisations(&[("basil", &[])]));
    submit(&mut snapshot, spec("basil", "b1", "1x3"), 1);
    start_all(&mut snapshot, Timestamp(2));
    submit(&mut snapshot, spec("basil", "b2", "1x1"), 5);
    submit(&mut snapshot, spec("basil", "b3", "1x4"), 6);
    assert_eq!(start_all(&mut snapshot, NOW).len(), 2);
}

#[test]
fn explain_reports_reclaim_impossible_and_accelerators() {
    let mut snapshot = snapshot_with_basil_jobs(Preemption::Checkpoint);
    let claimant = submit(&mut snapshot, guaranteed("a1", "1x4"), 5);
    let impossible = submit(&mut snapshot, spec("basil", "b3", "9x4"), 5);
    let waiting = submit(&mut snapshot, spec("basil", "b4", "1x4"), 5);
    assert_eq!(
        explain(&snapshot, &claimant, NOW).waits_for,
        WaitReason::Reclaim
    );
    assert_eq!(
        explain(&snapshot, &impossible, NOW).waits_for,
        WaitReason::Impossible
    );
    let explanation = explain(&snapshot, &waiting, NOW);
    assert_eq!(explanation.waits_for, WaitReason::Accelerators);
    assert!(explanation.expected_start > Some(NOW));
    assert!(explanation.latest_start >= explanation.expected_start);
}

/// An urgent job that starts ahead of a waiting job must not let later jobs reclaim what the waiting job will need.
#[test]
fn later_job_does_not_reclaim_what_an_earlier_one_needs() {
    let mut snapshot = Snapshot::new(
        data_centre(&[&[4; 2]]),
        organisations(&[("anise", &["2x4"]), ("basil", &[])]),
    );
    submit(&mut snapshot, spec("basil", "b1", "1x4"), 1);
    start_all(&mut snapshot, Timestamp(2));
    let mut urgent = guaranteed("a3", "1x1");
    urgent.priority = Priority::Urgent;
    submit(&mut snapshot, urgent, 7);
    submit(&mut snapshot, guaranteed("a1", "2x4"), 5);
    submit(&mut snapshot, guaranteed("a2", "1x4"), 6);
    let actions = plan(&snapshot, Timestamp(10));
    assert_eq!(stopped_jobs(&actions), Vec::<&JobKey>::new());
}
