//! Each reason for which preferences keep a step from room, alone and together with all others.
//!
//! Guards against a reason to wait that has no end, which was found one reason at a time before, and against waits that add up. Each
//! step has room for it many times over on workers that work.

mod support;

use lycheeyard_jobs::{AdvicePolicy, SchedulingPolicy, Step};
use lycheeyard_standin::{SimulatedSite, SimulatedWorker};
use std::{collections::BTreeSet, time::Duration};
use strum::{EnumIter, IntoEnumIterator};
use support::{
    ACCELERATORS, BULK, ORDINARY, URGENT, assert_no_violations, gang, id, ids, job, list_workers,
    policy, rack, secs, set_failing, site_with, step,
};

/// Callers are promised that nothing of a job waits for longer beside room for it twice over.
const LIMIT: Duration = Duration::from_secs(14);
/// Longer than any limit, so that nothing ends by itself.
const LONG_MS: u64 = 120_000;
const RACKS: usize = 6;
const PER_RACK: usize = 2;
/// The workers with room for the step, all on one rack.
const LABELLED: usize = PER_RACK;
const LABEL: &str = "rare";
const WAITS: &str = "waits";
const ADVICE: AdvicePolicy = AdvicePolicy {
    decision_ms: 100,
    per_worker_ms: 5,
    validity_ms: 1000,
};

/// Why a step does not start at once.
#[derive(Clone, Copy, Debug, EnumIter, Eq, Ord, PartialEq, PartialOrd)]
enum Reason {
    /// The workers that may run it are in quarantine.
    Quarantine,
    /// A run of it has failed there.
    EarlierFailure,
    /// It needs tickets of an advisor that allows these workers only.
    Advice,
    /// Its data is on another rack, whose workers may run it and are full.
    RackOfData,
    /// Room is kept for urgent work.
    Headroom,
    /// Room is drained for a gang.
    Drain,
    /// More than half of the service is in use.
    Load,
}

type Reasons = BTreeSet<Reason>;

/// All sets of reasons.
fn all_sets() -> Vec<Reasons> {
    Reason::iter().fold(vec![Reasons::new()], |sets, reason| {
        let with = sets.iter().map(|set| {
            let mut set = set.clone();
            set.insert(reason);
            set
        });
        let with: Vec<Reasons> = with.collect();
        sets.into_iter().chain(with).collect()
    })
}

fn policy_of(reasons: &Reasons) -> SchedulingPolicy {
    let mut policy = policy();
    let queue = BULK.parse().expect("queue name is valid");
    let queue = policy.queues.get_mut(&queue).expect("queue is configured");
    queue.advice = reasons.contains(&Reason::Advice).then_some(ADVICE);
    policy
}

fn labelled(step: Step) -> Step {
    Step {
        required_label: Some(LABEL.to_owned()),
        ..step
    }
}

fn site_of(reasons: &Reasons) -> SimulatedSite {
    let mut site = site_with(RACKS, PER_RACK, policy_of(reasons));
    let mut allowed = LABELLED;
    if reasons.contains(&Reason::RackOfData) {
        allowed += PER_RACK;
    }
    let workers = ids(&site);
    for worker in &workers[..allowed] {
        let worker = site.workers.get_mut(worker).expect("worker exists");
        worker.info.labels.insert(LABEL.to_owned());
    }
    list_workers(&mut site);
    site.advisor.denied = workers[allowed..].iter().cloned().collect();
    site
}

fn set_labelled_failing(site: &mut SimulatedSite, fails: bool) {
    let labelled = ids(site)[..LABELLED].to_vec();
    set_failing(site, &labelled, fails);
}

/// Lets the workers that may run the step fail runs of other jobs, for as long as it takes to put them into quarantine.
fn quarantine(site: &mut SimulatedSite) {
    let names: Vec<String> = (0..8 * LABELLED)
        .map(|number| format!("fails-{number}"))
        .collect();
    for name in &names {
        let failing = labelled(step(1, 1, 100));
        site.submit(job(site, name, ORDINARY, vec![failing]));
    }
    site.advance(Duration::from_millis(800));
    for name in &names {
        site.cancel(&id(name));
    }
}

/// Fills other racks with work that lasts.
fn fill(site: &mut SimulatedSite, racks: usize) {
    for number in 1..=racks {
        let mut whole = step(2, ACCELERATORS, LONG_MS);
        whole.demand.cpu_milli = 32_000;
        whole.data_rack = Some(rack(number));
        let name = format!("fill-{number}");
        site.submit(job(site, &name, ORDINARY, vec![whole]));
    }
}

fn submit_step(site: &mut SimulatedSite, reasons: &Reasons) {
    let data_rack = reasons.contains(&Reason::RackOfData).then(|| rack(1));
    let waits = Step {
        data_rack,
        ..labelled(step(1, 1, LONG_MS))
    };
    site.submit(job(site, WAITS, BULK, vec![waits]));
}

/// Makes the reasons true and submits the step.
fn prepare(site: &mut SimulatedSite, reasons: &Reasons) {
    if reasons.contains(&Reason::Load) {
        fill(site, RACKS - 2);
    } else if reasons.contains(&Reason::Drain) {
        fill(site, 2);
    } else if reasons.contains(&Reason::RackOfData) {
        fill(site, 1);
    }
    site.advance(secs(1));
    if reasons.contains(&Reason::Headroom) {
        for number in 0..5 {
            let urgent = job(
                site,
                &format!("urgent-{number}"),
                URGENT,
                vec![gang(8, 1, 100)],
            );
            site.submit(urgent);
            site.advance(Duration::from_millis(500));
        }
    }
    if reasons.contains(&Reason::Drain) {
        let wide = gang(12, ACCELERATORS, LONG_MS);
        site.submit(job(site, "wide", ORDINARY, vec![wide]));
        site.advance(Duration::from_millis(500));
    }
    set_labelled_failing(site, true);
    if reasons.contains(&Reason::EarlierFailure) {
        submit_step(site, reasons);
        site.advance(Duration::from_millis(600));
    }
    if reasons.contains(&Reason::Quarantine) {
        quarantine(site);
    }
    set_labelled_failing(site, false);
    if !reasons.contains(&Reason::EarlierFailure) {
        submit_step(site, reasons);
    }
}

fn runs(site: &SimulatedSite) -> bool {
    let mut tasks = site.workers.values().flat_map(SimulatedWorker::tasks);
    tasks.any(|task| task.step.job == id(WAITS))
}

/// How long the step has no run, for a little longer than the limit at most.
fn wait_with(reasons: &Reasons) -> Duration {
    let mut site = site_of(reasons);
    prepare(&mut site, reasons);
    let since = site.now.boot;
    while !runs(&site) && site.now.boot.since(since) <= LIMIT {
        site.advance(Duration::from_millis(50));
    }
    assert_no_violations(&site);
    site.now.boot.since(since)
}

#[test]
fn no_reason_keeps_a_step_from_room_for_long() {
    let late = all_sets().into_iter().filter_map(|reasons| {
        let waited = wait_with(&reasons);
        (waited > LIMIT).then_some(reasons)
    });
    let late: Vec<Reasons> = late.collect();
    assert!(late.is_empty(), "{} sets of reasons: {late:#?}", late.len());
}
