//! The size of the progress records of jobs, at every moment of their lives. The store takes no value above its limit, and a record that it
//! does not take stops the job for good.

mod support;

use lycheeyard_jobs::{
    Checkpoint, Job, Placement, Progress, Resources, RunEnd, RunNumber, Schedule, Step, TaskKey,
    TaskProgress,
};
use lycheeyard_protocol::{Incarnation, JobState, Timestamp};
use rstest::rstest;
use support::{BULK, ORDINARY, assert_no_violations, gang, id, job, secs, site, step};

/// The largest value that the store takes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// The longest checkpoint that is kept.
const MAX_CHECKPOINT_BYTES: usize = 256;
/// How often a part of the tasks is ended and others begin.
const ROUNDS: usize = 12;

fn encode(progress: &Progress) -> Vec<u8> {
    serde_json::to_vec(progress).expect("progress is encoded")
}

/// A step of tasks so small that one worker runs thousands of them.
fn small_tasks(tasks: u32, expected_ms: u64) -> Step {
    Step {
        demand: Resources {
            cpu_milli: 1,
            memory_mb: 1,
            accelerators: 0,
        },
        ..step(tasks, 0, expected_ms)
    }
}

/// Repeats the steps of a job often enough that many occurrences are due.
fn repeated(job: Job) -> Job {
    Job {
        schedule: Some(Schedule {
            repetitions: 100_000,
            first_at: Timestamp(0),
            interval_ms: 1,
        }),
        ..job
    }
}

/// Lets the next tasks begin that may, with the longest record that a begun task has; false if there are none.
fn begin_longest(progress: &mut Progress) -> bool {
    let mut may_begin = progress.tasks_that_may_begin();
    let worker = "w".repeat(128).parse().expect("worker ID is valid");
    let longest = TaskProgress {
        run: RunNumber(u32::MAX),
        failures: u32::MAX,
        worker_crashes: u32::MAX,
        done: false,
        checkpoint: Some(Checkpoint("c".repeat(MAX_CHECKPOINT_BYTES))),
        placement: Some(Placement(worker, Incarnation(u64::MAX))),
        has_begun: true,
        is_answered: true,
    };
    let mut has_begun = false;
    for step in progress.open.values_mut().flatten() {
        step.gang_failures = u32::MAX;
        step.failed_run = RunNumber(u32::MAX);
        for task in step.tasks.iter_mut().filter(|task| !task.done) {
            if may_begin == 0 {
                return has_begun;
            }
            if !task.is_begun() {
                *task = longest.clone();
                may_begin -= 1;
                has_begun = true;
            }
        }
    }
    has_begun
}

/// Ends every second of the begun tasks as done, so that those that are done lie between others.
fn end_every_second(progress: &mut Progress) {
    let steps = progress.open.values_mut().flatten();
    let begun = steps.flat_map(|step| step.tasks.iter_mut().filter(|task| task.is_begun()));
    for task in begun.step_by(2) {
        *task = TaskProgress {
            done: true,
            placement: None,
            checkpoint: None,
            has_begun: false,
            is_answered: false,
            ..task.clone()
        };
    }
}

/// Guards against a record that the store does not take, of whatever job is accepted, from its first task to its last.
#[rstest]
#[case::one_task(repeated, vec![step(1, 1, 100)])]
#[case::short_lists(repeated, vec![step(16, 1, 100); 3])]
#[case::one_long_list(repeated, vec![step(20_000, 1, 100)])]
#[case::most_tasks(|job| job, vec![step(20_000, 1, 100); 5])]
#[case::most_steps(repeated, vec![step(16, 1, 100); 256])]
#[case::most_gangs(repeated, vec![gang(16, 1, 100); 256])]
#[case::longest_gang(repeated, vec![gang(1200, 1, 100)])]
fn record_of_an_accepted_job_stays_below_the_limit(
    #[case] schedule: fn(Job) -> Job,
    #[case] steps: Vec<Step>,
) {
    let job = schedule(job(&site(1, 1), "large", BULK, steps));
    job.validate().expect("the job is accepted");
    let mut progress = Progress::default();
    progress.open_due(&job, Timestamp(1_700_000_000_000));
    for step in progress.open.values_mut().flatten() {
        if job.steps[0].gang {
            step.gang_checkpoint = Some(Checkpoint("c".repeat(MAX_CHECKPOINT_BYTES)));
        }
    }
    for _ in 0..ROUNDS {
        if !begin_longest(&mut progress) {
            return;
        }
        let record = encode(&progress);
        assert!(record.len() <= MAX_VALUE_BYTES, "{}", record.len());
        let read: Progress = serde_json::from_slice(&record).expect("record is decoded");
        assert!(read.open.keys().eq(progress.open.keys()));
        end_every_second(&mut progress);
    }
}

/// Guards against a successor that starts tasks again that are done, or forgets what has begun.
#[test]
fn record_of_many_tasks_tells_which_have_begun_and_which_are_done() {
    let job = job(
        &site(1, 1),
        "large",
        BULK,
        vec![step(17, 1, 100), step(2, 1, 100)],
    );
    let mut progress = Progress::default();
    progress.open_due(&job, Timestamp(0));
    let begun = TaskProgress {
        run: RunNumber(3),
        failures: 1,
        checkpoint: Some(Checkpoint("half".to_owned())),
        ..TaskProgress::default()
    };
    let done = TaskProgress {
        done: true,
        ..TaskProgress::default()
    };
    let first = progress.step_mut(0, 0).expect("occurrence is open");
    first.tasks[1] = begun.clone();
    first.tasks[4] = done.clone();
    first.tasks[16] = done;
    progress.step_mut(0, 1).expect("occurrence is open").tasks[1] = begun;
    let read: Progress = serde_json::from_slice(&encode(&progress)).expect("record is decoded");
    assert_eq!(read, progress);
}

/// Guards against a job that is set aside after an update: records of before have all tasks as a list.
#[test]
fn record_of_many_tasks_as_a_list_is_read() {
    let tasks = vec![r#"{"r":1,"d":true}"#; 40].join(",");
    let record =
        format!(r#"{{"state":"running","open":{{"0":[{{"tasks":[{tasks}]}}]}},"opened":1}}"#);
    let read: Progress = serde_json::from_slice(record.as_bytes()).expect("record is decoded");
    assert_eq!(read.open[&0][0].tasks.len(), 40);
    assert!(read.open[&0][0].is_done());
}

/// Guards against a faulty record that takes all memory, or is taken for one without tasks.
#[rstest]
#[case::too_many(r#"{"n":4000000000,"d":"","s":[]}"#)]
#[case::done_outside(r#"{"n":4,"d":"01","s":[]}"#)]
#[case::no_digit(r#"{"n":4,"d":"x","s":[]}"#)]
#[case::begun_outside(r#"{"n":4,"d":"","s":[[4,{"r":1}]]}"#)]
#[case::no_number(r#"{"d":"","s":[]}"#)]
fn faulty_record_of_many_tasks_is_not_read(#[case] tasks: &str) {
    let record =
        format!(r#"{{"state":"running","open":{{"0":[{{"tasks":{tasks}}}]}},"opened":1}}"#);
    assert!(serde_json::from_slice::<Progress>(record.as_bytes()).is_err());
}

/// Guards against a job of more tasks than may begin at a time that is not done, or that lets more of them begin.
#[test]
fn job_of_many_tasks_runs_a_part_of_them_at_a_time() {
    let mut site = site(1, 1);
    site.submit(job(&site, "large", ORDINARY, vec![small_tasks(3000, 500)]));
    let mut most = 0;
    for _ in 0..200 {
        site.advance(secs(1) / 10);
        let Some(progress) = site.progress(&id("large")) else {
            break;
        };
        let tasks = progress
            .open
            .values()
            .flatten()
            .flat_map(|step| &step.tasks);
        most = most.max(tasks.filter(|task| task.is_begun()).count());
    }
    assert_eq!(most, 1200);
    assert_eq!(site.state(&id("large")), JobState::Succeeded);
    assert_no_violations(&site);
}

/// Guards against a task that never starts again since others of its job have taken the room of the record.
#[test]
fn task_that_has_begun_is_started_again_while_the_record_is_full() {
    let mut site = site(1, 1);
    site.submit(job(
        &site,
        "large",
        ORDINARY,
        vec![small_tasks(1300, 60_000)],
    ));
    site.advance(secs(3));
    let task: TaskKey = "large.0.0.7".parse().expect("task key is valid");
    site.end_run(&task, RunEnd::Stopped);
    site.advance(secs(2));
    let progress = site
        .progress(&id("large"))
        .and_then(|progress| progress.task(&task));
    let progress = progress.expect("task is open");
    assert_eq!(progress.run, RunNumber(2));
    assert!(progress.placement.is_some());
}

/// Guards against an accepted job that can never have all its tasks present, as its gang or its long-running tasks need.
#[rstest]
#[case::gang(gang(1200, 1, 100), true)]
#[case::larger_gang(gang(1201, 1, 100), false)]
#[case::long_running(Step { long_running: true, ..step(1200, 1, 100) }, true)]
#[case::more_long_running(Step { long_running: true, ..step(1201, 1, 100) }, false)]
#[case::others(step(20_000, 1, 100), true)]
fn job_of_too_many_present_tasks_is_rejected(#[case] step: Step, #[case] is_accepted: bool) {
    let job = job(&site(1, 1), "present", BULK, vec![step]);
    assert_eq!(job.validate().is_ok(), is_accepted);
}

/// Guards against checkpoints that make the record larger than the store takes, also by characters that are stored as several.
#[rstest]
#[case::usual("0123456789abcdef".to_owned(), true)]
#[case::longest("c".repeat(256), true)]
#[case::longer("c".repeat(257), false)]
#[case::escaped("\u{1}".repeat(43), false)]
fn only_short_checkpoints_are_kept(#[case] checkpoint: String, #[case] is_kept: bool) {
    assert_eq!(Checkpoint(checkpoint).is_storable(), is_kept);
}
