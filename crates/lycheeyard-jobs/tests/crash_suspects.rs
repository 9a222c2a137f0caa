//! Tasks that share a worker with a task that crashes it, and where the tasks under suspicion run next.

mod support;

use support::{
    assert_given_up, assert_succeeds, id, secs, site, step, submit, submit_crashing, task,
};

/// Guards against jobs that are given up because their tasks shared workers with one that crashes them.
#[test]
fn keeps_neighbours_of_task_that_crashes_its_workers() {
    let mut site = site(1, 6);
    submit(&mut site, "neighbours", step(20, 1, 20_000));
    site.advance(secs(1));
    for number in 0..3 {
        let name = format!("crashing-{number}");
        submit_crashing(&mut site, &name, step(1, 1, 1000), 0);
    }
    assert_succeeds(&mut site, "neighbours", secs(200));
    for number in 0..3 {
        assert_given_up(&site, &format!("crashing-{number}"), 0);
    }
}

/// Guards against a job that is given up although all its tasks had run well for seconds whenever a task that had just started
/// crashed their worker.
#[test]
fn suspects_first_what_has_just_started() {
    let mut site = site(1, 4);
    submit(&mut site, "neighbours", step(6, 1, 60_000));
    for number in 0..4 {
        site.advance(secs(20));
        let name = format!("crashing-{number}");
        submit_crashing(&mut site, &name, step(1, 1, 1000), 0);
    }
    assert_succeeds(&mut site, "neighbours", secs(200));
    for number in 0..4 {
        assert_given_up(&site, &format!("crashing-{number}"), 0);
    }
}

/// Guards against a task that takes down the runs of other jobs again and again, although an idle worker could run it.
#[test]
fn tries_task_again_on_idle_worker() {
    let mut site = site(1, 6);
    submit(&mut site, "neighbours", step(20, 1, 30_000));
    site.advance(secs(1));
    submit_crashing(&mut site, "crashing", step(1, 1, 1000), 0);
    assert!(site.settle(secs(200)));
    let runs = (0..20).map(|index| {
        let progress = site.progress(&id("neighbours"));
        let progress = progress.and_then(|progress| progress.task(&task("neighbours", index)));
        progress.map_or(0, |task| task.run.0)
    });
    assert!(runs.max() <= Some(2));
    assert_given_up(&site, "crashing", 0);
}
