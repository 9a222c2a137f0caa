//! Limits of the deadlines after which a step takes room that preferences keep it from.
//!
//! Guards against reasons to wait that have no deadline, and against starts that harm other steps or the job itself.

mod support;

use lycheeyard_jobs::{Job, Resources, SchedulingPolicy, Step};
use lycheeyard_protocol::WorkerId;
use lycheeyard_standin::SimulatedSite;
use std::time::Duration;
use support::{
    ACCELERATORS, BULK, ORDINARY, URGENT, gang, id, ids, job, list_workers, organisation, policy,
    rack, secs, site, site_with, step,
};

const LIMIT: Duration = Duration::from_secs(14);
const RARE_LABEL: &str = "rare";

fn has_begun(site: &SimulatedSite, job: &str) -> bool {
    site.begun_at.contains_key(&id(job))
}

fn label(site: &mut SimulatedSite, worker: &WorkerId) {
    let worker = site.workers.get_mut(worker).expect("worker exists");
    worker.info.labels.insert(RARE_LABEL.to_owned());
    list_workers(site);
}

fn labelled(step: Step) -> Step {
    Step {
        required_label: Some(RARE_LABEL.to_owned()),
        ..step
    }
}

fn guaranteed_site(workers: usize, guarantee: u32) -> SimulatedSite {
    let guarantees = [(organisation("north"), guarantee)];
    site_with(
        1,
        workers,
        SchedulingPolicy {
            guarantees: guarantees.into(),
            ..policy()
        },
    )
}

fn of(organisation_name: &str, job: Job) -> Job {
    Job {
        organisation: organisation(organisation_name),
        ..job
    }
}

fn lasting(tasks: u32, accelerators: u32, max_unavailable: Option<u32>) -> Step {
    Step {
        long_running: true,
        max_unavailable,
        ..step(tasks, accelerators, 500)
    }
}

/// Submits an urgent gang that fills 11 workers for a short time.
fn submit_urgent_gang(site: &mut SimulatedSite, number: u32) {
    let name = format!("urgent-{number}");
    let step = gang(11, ACCELERATORS, 700);
    site.submit(job(site, &name, URGENT, vec![step]));
}

/// Puts a worker into the longest quarantine. Only it has the label.
fn quarantine(site: &mut SimulatedSite, worker: &WorkerId) {
    label(site, worker);
    let names = (0..8).map(|number| format!("fails-{number}"));
    let names: Vec<String> = names.collect();
    for name in &names {
        site.failing_jobs.insert(id(name));
        let failing = job(site, name, BULK, vec![labelled(step(1, 1, 100))]);
        site.submit(failing);
    }
    site.advance(Duration::from_millis(800));
    for name in &names {
        site.cancel(&id(name));
    }
    site.advance(secs(1));
}

// Guards against a job that waits for ever beside room that is free for most of the time, but not for 2 s on end.
#[test]
fn job_starts_beside_room_that_comes_and_goes() {
    let mut site = site(1, 24);
    let half = job(&site, "half", BULK, vec![step(13, ACCELERATORS, 120_000)]);
    site.submit(half);
    site.advance(secs(1));
    for number in 0..36 {
        if number == 6 {
            site.submit(job(&site, "waits", ORDINARY, vec![step(1, 1, 1000)]));
        }
        submit_urgent_gang(&mut site, number);
        site.advance(secs(2));
    }
    assert!(has_begun(&site, "waits"));
}

// Guards against long-running tasks on the room of guarantees, because workers in quarantine are counted in its place.
#[test]
fn quarantined_workers_are_not_the_room_of_guarantees() {
    let mut site = guaranteed_site(4, ACCELERATORS);
    let last = ids(&site).pop().expect("site has workers");
    quarantine(&mut site, &last);
    let serving = lasting(3, ACCELERATORS, Some(0));
    let serving = of("south", job(&site, "serving", ORDINARY, vec![serving]));
    site.submit(serving);
    site.advance(secs(1));
    let guaranteed = of(
        "north",
        job(
            &site,
            "guaranteed",
            URGENT,
            vec![step(1, ACCELERATORS, 5000)],
        ),
    );
    site.submit(guaranteed);
    site.advance(Duration::from_millis(3400));
    assert!(has_begun(&site, "guaranteed"));
}

// Guards against a step that is passed over in each round, since a long-running one that may not use the room of guarantees did not fit.
#[test]
fn step_that_may_use_the_room_of_guarantees_is_not_ruled_out() {
    let mut site = guaranteed_site(2, ACCELERATORS);
    let fill = of(
        "south",
        job(
            &site,
            "fill",
            ORDINARY,
            vec![lasting(1, ACCELERATORS, Some(0))],
        ),
    );
    site.submit(fill);
    site.advance(secs(1));
    let limited = of(
        "south",
        job(&site, "a-limited", ORDINARY, vec![lasting(1, 1, Some(0))]),
    );
    site.submit(limited);
    site.advance(secs(1));
    let free = of(
        "south",
        job(&site, "b-free", ORDINARY, vec![step(1, 1, 70_000)]),
    );
    site.submit(free);
    site.advance(LIMIT);
    assert!(has_begun(&site, "b-free"));
}

// Guards against a step that waits for a label on a worker in quarantine while a little over half of the service is in use.
#[test]
fn step_starts_in_quarantine_with_more_than_half_in_use() {
    let mut site = site(1, 4);
    let rare = ids(&site).remove(0);
    quarantine(&mut site, &rare);
    let fill = Step {
        demand: Resources {
            cpu_milli: 32_000,
            memory_mb: 1000,
            accelerators: ACCELERATORS,
        },
        ..step(2, ACCELERATORS, 120_000)
    };
    site.submit(job(&site, "half", BULK, vec![fill]));
    site.submit(job(&site, "sound", BULK, vec![labelled(step(1, 1, 500))]));
    site.advance(LIMIT);
    assert!(has_begun(&site, "sound"));
}

// Guards against a step that waits for the rack of its data for twice its run time beside a rack that is empty.
#[test]
fn step_leaves_the_rack_of_its_data_with_more_than_half_in_use() {
    let mut site = site(4, 1);
    let full = |number| Step {
        data_rack: Some(rack(number)),
        demand: Resources {
            cpu_milli: 32_000,
            memory_mb: 1000,
            accelerators: ACCELERATORS,
        },
        ..step(1, ACCELERATORS, 120_000)
    };
    for number in 0..2 {
        let name = format!("full-{number}");
        site.submit(job(&site, &name, BULK, vec![full(number)]));
    }
    site.advance(secs(1));
    let near = Step {
        data_rack: Some(rack(0)),
        ..step(1, 1, 30_000)
    };
    site.submit(job(&site, "waits", BULK, vec![near]));
    site.advance(LIMIT);
    assert!(has_begun(&site, "waits"));
}

// Guards against a wide gang that never gets room, since small steps of a lower priority take what is drained for it.
#[test]
fn wide_gang_starts_beside_a_steady_flow_of_small_steps() {
    const WORKERS: usize = 8;
    let mut site = site(1, WORKERS);
    // Six tenths of the accelerators in use on average.
    let interval = 4 * 8000 * 100 / (60 * 8 * u64::from(ACCELERATORS));
    let mut next = 0;
    let mut number = 0;
    for tick in 0..1200_u64 {
        while next <= tick * 100 {
            let small = job(
                &site,
                &format!("small-{number}"),
                BULK,
                vec![step(1, 4, 8000)],
            );
            site.submit(small);
            number += 1;
            next += interval;
        }
        if tick == 100 {
            site.submit(job(
                &site,
                "wide",
                ORDINARY,
                vec![gang(6, ACCELERATORS, 20_000)],
            ));
        }
        site.advance(Duration::from_millis(100));
        if has_begun(&site, "wide") {
            return;
        }
    }
    panic!("has not begun after 110 s");
}

// Guards against attempts that are spent on a faulty worker while a sound one is free soon.
#[test]
fn quarantine_does_not_spend_the_attempts_of_a_job() {
    let mut site = site(1, 4);
    let all = ids(&site);
    let bad = all[0].clone();
    let sound = all[1].clone();
    quarantine(&mut site, &bad);
    label(&mut site, &sound);
    site.workers
        .get_mut(&bad)
        .expect("worker exists")
        .faults
        .fails = true;
    let busy = job(
        &site,
        "busy",
        URGENT,
        vec![labelled(step(1, ACCELERATORS, 30_000))],
    );
    site.submit(busy);
    site.advance(secs(1));
    let urgent = job(
        &site,
        "tried",
        URGENT,
        vec![labelled(step(1, ACCELERATORS, 20_000))],
    );
    site.submit(urgent);
    assert!(site.settle(secs(120)));
    assert_eq!(
        site.state(&id("tried")),
        lycheeyard_protocol::JobState::Succeeded
    );
}

// Guards against a job that starts after its deadline and is stopped at once for urgent work, again and again.
#[test]
fn kept_job_is_not_stopped_again_and_again() {
    let mut site = site(1, 24);
    let half = job(&site, "half", BULK, vec![step(13, ACCELERATORS, 120_000)]);
    site.submit(half);
    site.advance(secs(1));
    let mut most_runs = 0;
    for number in 0..24 {
        if number == 4 {
            site.submit(job(&site, "waits", ORDINARY, vec![step(1, 1, 4000)]));
        }
        submit_urgent_gang(&mut site, number);
        site.advance(Duration::from_millis(3600));
        if let Some(progress) = site.progress(&id("waits"))
            && let Some(steps) = progress.open.get(&0)
        {
            most_runs = most_runs.max(steps[0].tasks[0].run.0);
        }
    }
    assert!(most_runs <= 2);
    assert!(site.state(&id("waits")).is_final());
}

// Guards against a long-running step that is kept from a worker in quarantine which alone has its label, where nothing is guaranteed.
#[test]
fn long_running_step_that_stays_starts_in_quarantine_if_it_fits_nowhere_else() {
    let mut site = site(1, 4);
    let rare = ids(&site).remove(0);
    quarantine(&mut site, &rare);
    let serving = labelled(lasting(1, 1, Some(0)));
    site.submit(job(&site, "serving", BULK, vec![serving]));
    site.advance(LIMIT);
    assert!(has_begun(&site, "serving"));
}

// Guards against room that is reserved again and again for a step whose victim does not end: its worker carries orders out late.
#[test]
fn step_starts_beside_room_that_is_reserved_again_and_again() {
    let mut site = site(1, 4);
    let all = ids(&site);
    let victim = job(&site, "victim", BULK, vec![step(1, ACCELERATORS, 120_000)]);
    site.submit(victim);
    site.advance(secs(1));
    let slow = all
        .iter()
        .find(|id| site.workers[*id].tasks().next().is_some());
    let slow = slow.expect("victim runs").clone();
    let worker = site.workers.get_mut(&slow).expect("worker exists");
    worker.faults.order_delay = Some(secs(60));
    let urgent = gang(4, ACCELERATORS, 30_000);
    site.submit(job(&site, "urgent", URGENT, vec![urgent]));
    site.advance(secs(1));
    site.submit(job(&site, "waits", ORDINARY, vec![step(1, 1, 1000)]));
    site.advance(LIMIT);
    assert!(has_begun(&site, "waits"));
}
