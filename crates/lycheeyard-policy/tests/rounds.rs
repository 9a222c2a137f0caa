//! Single rounds: who may start where, who is stopped for whom, and what is said about it.

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

/// Carries out the starts, as the scheduler would.
fn start_all(snapshot: &mut Snapshot, now: Timestamp) -> Vec<JobKey> {
    let mut started = Vec::new();
    for action in plan(snapshot, now) {
        if let Action::Start { job, placement } = action {
            run(snapshot, &job, placement, now);
            started.push(job);
        }
    }
    started
}

fn run(snapshot: &mut Snapshot, job: &JobKey, placement: Placement, now: Timestamp) {
    let record = snapshot.jobs.get_mut(job).unwrap();
    record.state = JobState::Running;
    record.started_at = Some(now);
    record.placement = Some(placement);
}

fn stops(actions: &[Action]) -> Vec<&JobKey> {
    let stops = actions.iter().filter_map(|action| match action {
        Action::Stop { job, .. } => Some(job),
        _ => None,
    });
    stops.collect()
}

/// Fills both workers with work of basil.
fn filled(preemption: Preemption) -> Snapshot {
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
fn a_guaranteed_job_reclaims_its_shape() {
    let mut snapshot = filled(Preemption::Checkpoint);
    submit(&mut snapshot, guaranteed("a1", "1x4"), 5);
    let actions = plan(&snapshot, NOW);
    assert_eq!(stops(&actions).len(), 1);
    let Action::Stop {
        reason, checkpoint, ..
    } = &actions[0]
    else {
        panic!("a stop comes first");
    };
    assert!(*checkpoint);
    let claimant = "anise".parse().unwrap();
    assert_eq!(*reason, StopReason::Reclaim { claimant });
}

#[test]
fn the_guaranteed_flag_gives_no_more_than_the_guarantee() {
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
fn a_guaranteed_job_of_an_organisation_without_guarantee_stops_nobody() {
    let mut snapshot = filled(Preemption::Checkpoint);
    let mut claim = spec("basil", "b3", "1x4");
    claim.guaranteed = true;
    submit(&mut snapshot, claim, 5);
    assert_eq!(plan(&snapshot, Timestamp(10)), Vec::new());
}

#[test]
fn work_that_may_not_be_stopped_never_borrows() {
    let mut snapshot = filled(Preemption::Never);
    let running = snapshot.jobs.values();
    let running: Vec<_> = running
        .filter(|job| job.state == JobState::Running)
        .collect();
    assert_eq!(running.len(), 1);
    submit(&mut snapshot, guaranteed("a1", "1x4"), 5);
    assert_eq!(start_all(&mut snapshot, NOW), [key("anise", "a1")]);
}

#[test]
fn a_shape_that_fits_nowhere_is_retired_but_not_for_lost_workers() {
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
fn urgent_work_cuts_the_grace_of_a_slow_checkpoint() {
    let mut snapshot = filled(Preemption::Checkpoint);
    snapshot.data_centre.policy.checkpoint_grace_ms = 60_000;
    let mut urgent = guaranteed("a1", "1x4");
    urgent.priority = Priority::Urgent;
    submit(&mut snapshot, urgent, 5);
    let actions = plan(&snapshot, NOW);
    let Some(Action::Stop {
        checkpoint_until, ..
    }) = actions.first()
    else {
        panic!("a borrower is stopped");
    };
    assert!(checkpoint_until.0 + 1_000 <= NOW.0 + 3_400);
}

#[test]
fn urgent_work_stops_its_organisations_own_ordinary_work() {
    let mut snapshot = snapshot();
    submit(&mut snapshot, guaranteed("a1", "1x4"), 1);
    submit(&mut snapshot, spec("basil", "b1", "1x4"), 1);
    start_all(&mut snapshot, Timestamp(2));
    let mut urgent = guaranteed("a2", "1x2");
    urgent.priority = Priority::Urgent;
    submit(&mut snapshot, urgent, 5);
    assert_eq!(stops(&plan(&snapshot, NOW)), [&key("anise", "a1")]);
}

#[test]
fn slow_work_stays_off_the_urgent_reserve() {
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
fn the_victim_that_loses_least_is_chosen() {
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
    assert_eq!(stops(&plan(&snapshot, NOW)), [&key("basil", "b2")]);
}

#[test]
fn small_jobs_go_into_broken_workers() {
    let mut snapshot = Snapshot::new(data_centre(&[&[4; 2]]), organisations(&[("basil", &[])]));
    submit(&mut snapshot, spec("basil", "b1", "1x3"), 1);
    start_all(&mut snapshot, Timestamp(2));
    submit(&mut snapshot, spec("basil", "b2", "1x1"), 5);
    submit(&mut snapshot, spec("basil", "b3", "1x4"), 6);
    assert_eq!(start_all(&mut snapshot, NOW).len(), 2);
}

#[test]
fn explain_tells_reclaim_reservation_and_impossible() {
    let mut snapshot = filled(Preemption::Checkpoint);
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
