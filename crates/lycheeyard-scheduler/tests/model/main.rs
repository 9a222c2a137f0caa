//! Two schedulers over one store and three workers, driven through random interleavings of lost and delayed calls,
//! pauses, clock errors, worker restarts and store outages.

mod call;
mod machine;
mod scheduler;
mod simulation;

use machine::{Defect, run};

const CASES: u32 = 400;
const DEFECT_CASES: u32 = 4000;

#[test]
fn no_job_runs_twice_and_no_accelerator_is_shared() {
    let cases = std::env::var("LYCHEEYARD_MODEL_CASES").ok();
    let cases = cases.and_then(|text| text.parse().ok()).unwrap_or(CASES);
    assert_eq!(run(Defect::None, cases), None);
}

#[test]
fn silent_worker_taken_as_stopped_at_once_is_found() {
    assert!(run(Defect::TreatsSilenceAsStopped, DEFECT_CASES).is_some());
}

#[test]
fn renewal_on_stale_records_is_found() {
    assert!(run(Defect::RenewsWithStaleRecords, DEFECT_CASES).is_some());
}
