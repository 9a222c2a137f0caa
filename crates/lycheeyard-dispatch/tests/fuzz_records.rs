//! Random changes of valid records in the store. What can still be decoded is scheduled with.
//!
//! `FUZZ_CASES=100000 cargo test -p lycheeyard-dispatch --test fuzz_records` runs more cases; each is its own seed.

use lycheeyard_jobs::{
    AdvicePolicy, BootTime, ClosedQueue, EndNumber, EndReport, EndedJob, Job, JobScheduler, Now,
    Progress, QueuePolicy, Resources, RunEnd, RunNumber, RunReport, SchedulingPolicy, SpeedRecord,
    Wave, WaveNumber, WaveProgress, WorkerInfo, WorkerKey, WorkerLimits, WorkerReport,
};
use lycheeyard_protocol::{Incarnation, Percent, Timestamp};
use lycheeyard_standin::odd_json;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::de::DeserializeOwned;
use std::{collections::BTreeMap, time::Duration};

const DEFAULT_CASES: u64 = 400;
const PASSES: u64 = 12;
const PASS_TIME: Duration = Duration::from_millis(700);
/// A job of more tasks is not scheduled here, so that a case takes milliseconds.
const MAX_TASKS: u64 = 2000;
const EXTREMES: [u64; 8] = [
    0,
    1,
    8,
    100,
    u32::MAX as u64 - 1,
    u32::MAX as u64,
    u64::MAX - 1,
    u64::MAX,
];

const JOB: &str = r#"{"id":"a","queue":"grids","policy":{"service":"maps","priority":1,"max_attempts":2,"stretch":3.0,
    "target_latency_ms":1000,"advice":null},"organisation":"north","payload":"text","steps":[
    {"tasks":3,"demand":{"cpu_milli":1000,"memory_mb":100,"accelerators":1},"expected_ms":900},
    {"tasks":2,"demand":{"cpu_milli":1000,"memory_mb":100,"accelerators":2},"expected_ms":900,"after":[0],"gang":true,
     "same_rack":true,"checkpointing":true,"spread_limit":1},
    {"tasks":2,"demand":{"cpu_milli":1000,"memory_mb":100,"accelerators":0},"expected_ms":900,"long_running":true,
     "target_tail_ms":20,"may_miss":1},
    {"tasks":2,"demand":{"cpu_milli":1000,"memory_mb":100,"accelerators":0},"expected_ms":900,"fills":true}],
    "schedule":{"repetitions":3,"first_at":1700000000000,"interval_ms":1000},"submitted_at":1700000000000}"#;
const PROGRESS: &str = r#"{"state":"running","opened":1,"open":{"0":[
    {"tasks":[{"r":1,"w":["w-0",1]},{"r":2,"f":1,"x":1,"w":["w-1",1],"b":true,"a":true},{"r":1,"d":true}]},
    {"tasks":[{"r":1,"w":["w-0",1],"c":"x"},{"r":1,"w":["w-2",1]}],"gang_failures":1,"failed_run":1,"gang_checkpoint":"c"},
    {"tasks":[{},{"r":3}]},{"tasks":[{},{}]}]}}"#;
const SPEEDS: &str = r#"{"steady":100,"queues":{"grids":{"m":1,"v":300,"w":100,"n":3000}},"workers":{"w-0":[1,-500,20]}}"#;
const WAVE: &str =
    r#"{"due_at":1700000060000,"ordered":["m-1"],"begun":["m-2"],"gone":[],"state":"running"}"#;
const ENDED: &str = r#"{"job":"a","queue":"grids","organisation":"north","state":"succeeded","ended_at":1700000000000}"#;
const CLOSED: &str = r#"{"served_at":1700000060000,"opens_at":1700000060000}"#;

fn cases() -> u64 {
    let cases = std::env::var("FUZZ_CASES").ok();
    cases
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(DEFAULT_CASES)
}

/// Decodes a record that may have been changed once or twice.
fn decode<T: DeserializeOwned>(record: &str, rng: &mut StdRng) -> Option<T> {
    let mut pick = |below: usize| rng.random_range(0..below.max(1));
    let mut bytes = record.as_bytes().to_vec();
    for _ in 0..pick(3) {
        let text = String::from_utf8(bytes).ok()?;
        bytes = odd_json(&text, &mut pick);
    }
    serde_json::from_slice(&bytes).ok()
}

fn extreme(rng: &mut StdRng) -> u64 {
    EXTREMES[rng.random_range(0..EXTREMES.len())]
}

fn extreme_u32(rng: &mut StdRng) -> u32 {
    u32::try_from(extreme(rng)).unwrap_or(u32::MAX)
}

fn now(pass: u64) -> Now {
    let since = PASS_TIME * u32::try_from(pass).expect("few passes");
    Now {
        boot: BootTime(1_000_000).after(since),
        wall: Timestamp(1_700_000_001_000).after(since),
    }
}

fn policy(rng: &mut StdRng) -> SchedulingPolicy {
    let advice = AdvicePolicy {
        decision_ms: extreme(rng),
        per_worker_ms: extreme(rng),
        validity_ms: extreme(rng),
    };
    let stretches = [0.0, -1.0, 3.0, 1e308, f64::MAX];
    let queue = QueuePolicy {
        service: "maps".parse().expect("service id is valid"),
        priority: [0, 1, 2, u32::MAX][rng.random_range(0..4)],
        max_attempts: extreme_u32(rng),
        stretch: stretches[rng.random_range(0..stretches.len())],
        target_latency_ms: extreme(rng),
        advice: rng.random_bool(0.3).then_some(advice),
    };
    let organisation = "north".parse().expect("organisation id is valid");
    SchedulingPolicy {
        queues: BTreeMap::from([("grids".parse().expect("queue id is valid"), queue)]),
        guarantees: BTreeMap::from([(organisation, extreme_u32(rng))]),
    }
}

fn worker(number: usize, rng: &mut StdRng) -> WorkerInfo {
    let is_usual = rng.random_bool(0.5);
    let usual = Resources {
        cpu_milli: 32_000,
        memory_mb: 100_000,
        accelerators: 8,
    };
    let odd = Resources {
        cpu_milli: extreme(rng),
        memory_mb: extreme(rng),
        accelerators: extreme_u32(rng),
    };
    let incarnation = if is_usual { 1 } else { extreme(rng) };
    WorkerInfo {
        key: WorkerKey {
            id: format!("w-{number}").parse().expect("worker id is valid"),
            incarnation: Incarnation(incarnation),
        },
        address: ([127, 0, 0, 1], 9).into(),
        service: "maps".parse().expect("service id is valid"),
        data_centre: "north".parse().expect("data centre id is valid"),
        rack: "r1".parse().expect("rack id is valid"),
        labels: ["r1".to_owned()].into(),
        capacity: if is_usual { usual } else { odd },
        draining: rng.random_bool(0.1),
        is_cold: rng.random_bool(0.1),
    }
}

fn report(worker: &WorkerKey, at: BootTime, rng: &mut StdRng) -> WorkerReport {
    let tasks = [
        "a.0.0.0",
        "a.0.0.1",
        "a.0.1.0",
        "a.4294967295.0.0",
        "held.0.0.0",
        "a.0.2.18446744073709551615",
    ];
    let task = |rng: &mut StdRng| {
        let text = tasks[rng.random_range(0..tasks.len())];
        text.parse().expect("task key is valid")
    };
    let running = (0..rng.random_range(0..3)).map(|_| RunReport {
        task: task(rng),
        run: RunNumber(extreme_u32(rng)),
        checkpoint: None,
        progress: Percent(u8::try_from(extreme(rng).min(255)).expect("value fits")),
        recent: Some(extreme(rng)),
    });
    let running = running.collect();
    let ended = (0..rng.random_range(0..3)).map(|_| EndReport {
        number: EndNumber(extreme(rng)),
        task: task(rng),
        run: RunNumber(extreme_u32(rng)),
        outcome: [RunEnd::Done, RunEnd::Failed, RunEnd::Stopped][rng.random_range(0..3)],
        checkpoint: None,
    });
    WorkerReport {
        worker: worker.clone(),
        polled_at: at,
        received_at: at,
        running,
        ended: ended.collect(),
        is_partial: rng.random_bool(0.3),
    }
}

/// Adds what can be decoded of the records of a term.
fn add_records(scheduler: &mut JobScheduler, rng: &mut StdRng) {
    if let Some(speeds) = decode::<SpeedRecord>(SPEEDS, rng) {
        scheduler.restore_speeds(&speeds, now(0));
    }
    if let Some(wave) = decode::<WaveProgress>(WAVE, rng) {
        scheduler.set_wave_records(BTreeMap::from([(WaveNumber(extreme(rng)), wave)]));
    }
    scheduler.set_job_aside("held".parse().expect("job id is valid"));
    for _ in 0..2 {
        let progress = decode::<Progress>(PROGRESS, rng);
        let job = decode::<Job>(JOB, rng).filter(|job| job.validate().is_ok());
        if let Some(job) = job.filter(|job| job.tasks() <= MAX_TASKS) {
            scheduler.add_job(job, progress, now(0));
        }
    }
    if let Some(ended) = decode::<EndedJob>(ENDED, rng) {
        scheduler.archive_listed(vec![ended], now(0));
    }
    if let Some(closed) = decode::<ClosedQueue>(CLOSED, rng) {
        let (first, last) = closed.retry_after_s(now(0).wall);
        assert!(first <= last);
        let _ = closed.wait(now(0).wall);
    }
}

fn run_case(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let limits = WorkerLimits {
        max_lease: Duration::from_secs(6),
        stop_timeout: Duration::from_millis(900),
        maintenance: Duration::from_secs(2),
        remote_slowdown: [0, 1, 3, u32::MAX][rng.random_range(0..4)],
    };
    let policy = policy(&mut rng);
    let mut scheduler = JobScheduler::new(limits, policy, now(0).boot);
    add_records(&mut scheduler, &mut rng);
    scheduler.wave_listed(
        Wave {
            number: WaveNumber(extreme(&mut rng)),
            machines: ["m-1", "m-2", "m-3"]
                .map(|id| id.parse().expect("machine id is valid"))
                .into(),
            due_at: Timestamp(extreme(&mut rng)),
            cap: usize::try_from(extreme(&mut rng)).unwrap_or(usize::MAX),
        },
        now(0),
    );
    for pass in 1..=PASSES {
        let now = now(pass);
        for number in 0..4 {
            if rng.random_bool(0.3) || pass == 1 {
                scheduler.worker_listed(worker(number, &mut rng), now);
            }
        }
        let asked: Vec<WorkerKey> = scheduler
            .workers_to_poll()
            .map(|info| info.key.clone())
            .collect();
        for key in asked {
            scheduler.worker_reported(&report(&key, now.boot, &mut rng), now);
        }
        scheduler.tick(now);
        scheduler.request_plan();
        scheduler.plan(now);
        if let Some(batch) = scheduler.take_batch(10) {
            scheduler.batch_committed(batch, now);
        }
        let _ = scheduler.take_orders();
        let _ = scheduler.take_maintenance_orders();
        let _ = scheduler.take_speed_record(now);
        let _ = scheduler.take_advice_request();
        let _ = scheduler.service_loads(now);
        let _ = scheduler.stats();
        let _ = scheduler.acknowledgements(now).count();
    }
}

/// Guards against a record, a description or a report with odd values that ends the scheduler, and each of its successors.
#[test]
fn odd_records_do_not_end_the_scheduler() {
    for seed in 0..cases() {
        let ran = std::panic::catch_unwind(|| run_case(seed));
        assert!(ran.is_ok(), "seed {seed}");
    }
}
