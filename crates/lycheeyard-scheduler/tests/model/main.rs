//! Guards against a job that runs twice and an accelerator that two tasks share, as can happen when a scheduler acts on
//! stale records or reports. A model of two schedulers, one store and three workers runs through random interleavings
//! of lost and delayed calls, pauses, clock errors, worker restarts and store outages. Two variants with a deliberate
//! defect show that the model detects such faults.

mod call;
mod machine;
mod scheduler;
mod simulation;

use machine::{Defect, first_failure};

const CASES: u32 = 400;
const DEFECT_CASES: u32 = 4000;

#[test]
fn no_job_runs_twice_and_no_accelerator_is_shared() {
    let cases = std::env::var("LYCHEEYARD_MODEL_CASES").ok();
    let cases = cases.and_then(|text| text.parse().ok()).unwrap_or(CASES);
    assert_eq!(first_failure(Defect::None, cases), None);
}

#[test]
fn detects_silent_worker_treated_as_stopped() {
    assert!(first_failure(Defect::TreatsSilenceAsStopped, DEFECT_CASES).is_some());
}

#[test]
fn detects_renewal_with_stale_records() {
    assert!(first_failure(Defect::RenewsWithStaleRecords, DEFECT_CASES).is_some());
}
