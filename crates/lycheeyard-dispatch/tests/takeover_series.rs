//! Takeovers that follow each other closely beside a worker that no instance reaches: no wait for its runs begins anew with a takeover, and
//! none is so short that a task runs twice or that runs on a worker that answers again are lost.

mod support;

use lycheeyard_standin::odd_json;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use std::time::Duration;
use support::{Fleet, first_worker, job, remove_first_entry, step};
use tokio::time::{Instant, sleep, sleep_until};

/// Longer than any test.
const RUN_MS: u64 = 120_000;
const TASKS: u32 = 2;
/// How long a job may have nothing running that has a worker which is lost for good, from the loss.
const LIMIT: Duration = Duration::from_secs(13);
/// How long after the last kill of a holder it may have nothing running in any case.
const TAKEOVER: Duration = Duration::from_secs(3);
/// How long the entry of a worker that has ended stays in the list.
const UNTIL_UNLISTED: Duration = Duration::from_secs(5);
const UPTIME: Duration = Duration::from_secs(5);

/// Starts a fleet with a job on its only worker, and lists another worker.
async fn start_with_job(instances: usize, lease: Duration) -> Fleet {
    let fleet = Fleet::start_with_leases(instances, 1, lease).await;
    fleet.submit(&job("a1", RUN_MS, vec![step(TASKS)])).await;
    sleep(UPTIME).await;
    assert_eq!(fleet.workers.running().len(), TASKS as usize);
    fleet.store.put("workers/w-1", b"1");
    fleet
}

fn silence_first_worker(fleet: &Fleet) {
    for instance in &fleet.instances {
        instance.store.link.silence_worker(&first_worker());
    }
}

/// Waits until an instance holds a term that is newer than `epoch`, and returns the index of the instance.
async fn await_takeover(fleet: &Fleet, epoch: u64) -> usize {
    loop {
        let item = fleet.store.item("scheduler");
        let is_newer = item.is_some_and(|item| item.revision.0 > epoch);
        if let (true, Some(holder)) = (is_newer, fleet.holder()) {
            return holder;
        }
        sleep(Duration::from_millis(1)).await;
    }
}

fn epoch(fleet: &Fleet) -> u64 {
    let item = fleet.store.item("scheduler");
    item.map_or(0, |item| item.revision.0)
}

/// Kills holders in turn, each `gap` after it has taken over, and starts another instance for each.
async fn kill_holders(fleet: &mut Fleet, kills: usize, gap: Duration) {
    let mut former = 0;
    for kill in 0..kills {
        let holder = await_takeover(fleet, former).await;
        if kill > 0 {
            sleep(gap).await;
        }
        former = epoch(fleet);
        fleet.kill(holder);
        let silent = fleet.instances[holder]
            .store
            .link
            .is_silent(&first_worker());
        fleet.add_instance();
        if let (true, Some(added)) = (silent, fleet.instances.last()) {
            added.store.link.silence_worker(&first_worker());
        }
    }
}

// Guards against a job that waits anew with each takeover for a worker that is lost for good (review/14): what the holder before the one that
// was killed last may have extended counts, although the one between has reached nobody.
#[rstest]
#[tokio::test(start_paused = true)]
async fn takeovers_begin_no_wait_for_a_lost_worker_anew(
    #[values(3, 6, 10)] lease_s: u64,
    #[values(1, 2, 3, 4)] kills: usize,
    #[values(0, 20, 100, 300, 500, 1000, 2000, 4000)] gap_ms: u64,
) {
    let mut fleet = start_with_job(3, Duration::from_secs(lease_s)).await;
    silence_first_worker(&fleet);
    let lost_at = Instant::now();
    let unlisting = fleet.store.connect();
    tokio::spawn(async move {
        sleep(UNTIL_UNLISTED).await;
        remove_first_entry(&unlisting).await;
    });
    kill_holders(&mut fleet, kills, Duration::from_millis(gap_ms)).await;
    let until = (lost_at + LIMIT).max(Instant::now() + TAKEOVER);
    while fleet.workers.starts().len() < 2 * TASKS as usize {
        assert!(Instant::now() < until, "{:?}", lost_at.elapsed());
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(fleet.workers.violations(), Vec::<String>::new());
}

/// How a holder loses its term.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// The store does not answer it.
    CutOff,
    /// Its process is suspended.
    Suspended,
    /// It is asked to stop.
    Stopped,
}

// Guards against the same where holders are not killed, but are cut off from the store, suspended or stopped, and the worker is lost for good.
#[rstest]
#[tokio::test(start_paused = true)]
async fn holders_that_lose_their_term_begin_no_wait_anew(
    #[values(3, 6, 10)] lease_s: u64,
    #[values(1, 2, 3)] losses: usize,
    #[values(0, 100, 300, 1000)] gap_ms: u64,
    #[values(Loss::CutOff, Loss::Suspended, Loss::Stopped)] how: Loss,
) {
    let mut fleet = start_with_job(4, Duration::from_secs(lease_s)).await;
    silence_first_worker(&fleet);
    let lost_at = Instant::now();
    let unlisting = fleet.store.connect();
    tokio::spawn(async move {
        sleep(UNTIL_UNLISTED).await;
        remove_first_entry(&unlisting).await;
    });
    let mut former = 0;
    for loss in 0..losses {
        let holder = await_takeover(&fleet, former).await;
        if loss > 0 {
            sleep(Duration::from_millis(gap_ms)).await;
        }
        former = epoch(&fleet);
        match how {
            Loss::CutOff => {
                let link = &fleet.instances[holder].store.link;
                link.change(|link| link.store_silent = true);
            }
            Loss::Suspended => fleet.suspend(holder, true),
            Loss::Stopped => fleet.stop(holder).await,
        }
    }
    let until = (lost_at + LIMIT).max(Instant::now() + TAKEOVER);
    while fleet.workers.starts().len() < 2 * TASKS as usize {
        assert!(Instant::now() < until, "{:?}", lost_at.elapsed());
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(fleet.workers.violations(), Vec::<String>::new());
}

// Guards against a task that runs twice, since instances that do not reach a worker take over after one that was cut off from the store alone
// and goes on extending leases there.
#[rstest]
#[tokio::test(start_paused = true)]
async fn takeovers_wait_for_a_holder_that_is_cut_off_from_the_store(
    #[values(3, 6, 10)] lease_s: u64,
    #[values(2, 3)] kills: usize,
    #[values(0, 100, 300, 1000, 3000)] gap_ms: u64,
    #[values(false, true)] is_unlisted: bool,
) {
    let mut fleet = start_with_job(4, Duration::from_secs(lease_s)).await;
    let former = epoch(&fleet);
    let holder = fleet.holder().expect("an instance schedules");
    for (number, instance) in fleet.instances.iter().enumerate() {
        let link = &instance.store.link;
        if number == holder {
            link.change(|link| link.store_silent = true);
        } else {
            link.silence_worker(&first_worker());
        }
    }
    if is_unlisted {
        remove_first_entry(&fleet.store).await;
    }
    await_takeover(&fleet, former).await;
    kill_holders(&mut fleet, kills - 1, Duration::from_millis(gap_ms)).await;
    sleep(Duration::from_secs(40)).await;
    assert_eq!(fleet.workers.violations(), Vec::<String>::new());
    assert_eq!(fleet.workers.starts().len(), 2 * TASKS as usize);
}

// Guards against a task that runs twice, since the holder between two takeovers has reached the worker and extended leases there, and its
// successor does not reach it.
#[rstest]
#[tokio::test(start_paused = true)]
async fn extensions_of_the_holder_between_two_takeovers_count(
    #[values(3, 6, 10)] lease_s: u64,
    #[values(0, 50, 100, 200, 300, 500, 1000, 3000)] gap_ms: u64,
    #[values(false, true)] is_suspended: bool,
) {
    let fleet = start_with_job(3, Duration::from_secs(lease_s)).await;
    let former = epoch(&fleet);
    let first = fleet.holder().expect("an instance schedules");
    fleet.kill(first);
    let second = await_takeover(&fleet, former).await;
    for (number, instance) in fleet.instances.iter().enumerate() {
        if number != second {
            instance.store.link.silence_worker(&first_worker());
        }
    }
    sleep(Duration::from_millis(gap_ms)).await;
    if is_suspended {
        fleet.suspend(second, true);
        sleep(Duration::from_millis(2500)).await;
        fleet.suspend(second, false);
        fleet.instances[second]
            .store
            .link
            .change(|link| link.store_silent = true);
    } else {
        let link = &fleet.instances[second].store.link;
        link.change(|link| link.store_silent = true);
    }
    sleep(Duration::from_secs(1)).await;
    remove_first_entry(&fleet.store).await;
    sleep(Duration::from_secs(40)).await;
    assert_eq!(fleet.workers.violations(), Vec::<String>::new());
}

// Guards against runs that end, or begin elsewhere, although their worker answers again while their leases last.
#[rstest]
#[tokio::test(start_paused = true)]
async fn runs_on_a_worker_that_answers_again_go_on(
    #[values(1, 2, 3)] kills: usize,
    #[values(0, 100, 300)] gap_ms: u64,
    #[values(200, 700, 2500, 4000, 5000)] silent_ms: u64,
) {
    let mut fleet = start_with_job(3, Duration::from_secs(10)).await;
    silence_first_worker(&fleet);
    let lost_at = Instant::now();
    let links: Vec<_> = fleet
        .instances
        .iter()
        .map(|instance| instance.store.link.clone())
        .collect();
    tokio::spawn(async move {
        sleep_until(lost_at + Duration::from_millis(silent_ms)).await;
        for link in links {
            link.reach_worker(&first_worker());
        }
    });
    kill_holders(&mut fleet, kills, Duration::from_millis(gap_ms)).await;
    sleep_until(lost_at + Duration::from_millis(silent_ms)).await;
    for instance in &fleet.instances {
        instance.store.link.reach_worker(&first_worker());
    }
    sleep(Duration::from_secs(30)).await;
    assert_eq!(fleet.workers.starts().len(), TASKS as usize);
    assert_eq!(fleet.workers.running().len(), TASKS as usize);
    assert_eq!(fleet.workers.violations(), Vec::<String>::new());
}

// Guards against a successor that takes a holder for ended at a time that no record shows, since the record of terms cannot be read or is of
// another form.
#[rstest]
#[tokio::test(start_paused = true)]
async fn damaged_record_of_terms_shortens_no_wait(
    #[values("", "{}", r#"{"epoch":1,"state":"gone"}"#)] record: &str,
    #[values(0, 500)] gap_ms: u64,
) {
    let mut fleet = start_with_job(4, Duration::from_secs(10)).await;
    let former = epoch(&fleet);
    let holder = fleet.holder().expect("an instance schedules");
    for (number, instance) in fleet.instances.iter().enumerate() {
        let link = &instance.store.link;
        if number == holder {
            link.change(|link| link.store_silent = true);
        } else {
            link.silence_worker(&first_worker());
        }
    }
    fleet.store.put("extending-term", record.as_bytes());
    await_takeover(&fleet, former).await;
    kill_holders(&mut fleet, 1, Duration::from_millis(gap_ms)).await;
    sleep(Duration::from_secs(40)).await;
    assert_eq!(fleet.workers.violations(), Vec::<String>::new());
    assert_eq!(fleet.workers.starts().len(), 2 * TASKS as usize);
}

// Guards against a lease that is extended, or a start that is sent, before the term is recorded as one that may do so: its successor would
// not wait for it. The write arrives late, or its answer is lost.
#[rstest]
#[tokio::test(start_paused = true)]
async fn nothing_is_extended_before_the_term_is_recorded(
    #[values(false, true)] is_applied: bool,
    #[values(100, 1000, 3000)] late_ms: u64,
) {
    let fleet = start_with_job(2, Duration::from_secs(10)).await;
    let former = epoch(&fleet);
    fleet.kill(0);
    await_takeover(&fleet, former).await;
    let link = &fleet.instances[1].store.link;
    link.change(|link| {
        link.answers_lost = is_applied;
        link.write_delay = (!is_applied).then_some(Duration::from_millis(late_ms));
    });
    let lease_until = fleet.workers.lease_until(&first_worker());
    let until = Instant::now() + Duration::from_millis(late_ms);
    fleet.submit(&job("a2", RUN_MS, vec![step(1)])).await;
    while Instant::now() < until {
        assert_eq!(fleet.workers.lease_until(&first_worker()), lease_until);
        assert_eq!(fleet.workers.starts().len(), TASKS as usize);
        sleep(Duration::from_millis(1)).await;
    }
    link.clear_faults();
    sleep(Duration::from_secs(20)).await;
    assert_eq!(fleet.workers.starts().len(), TASKS as usize + 1);
    assert_eq!(fleet.workers.running().len(), TASKS as usize + 1);
    assert_eq!(fleet.workers.violations(), Vec::<String>::new());
}

// Guards against a late write of a deposed holder that moves the deadlines of its successor.
#[tokio::test(start_paused = true)]
async fn late_write_of_a_deposed_holder_is_rejected() {
    let fleet = start_with_job(3, Duration::from_secs(10)).await;
    let former = epoch(&fleet);
    fleet.kill(0);
    let second = await_takeover(&fleet, former).await;
    let deposed = epoch(&fleet);
    let link = &fleet.instances[second].store.link;
    link.change(|link| link.write_delay = Some(Duration::from_secs(4)));
    sleep(Duration::from_millis(500)).await;
    fleet.kill(second);
    await_takeover(&fleet, deposed).await;
    sleep(Duration::from_secs(10)).await;
    let item = fleet
        .store
        .item("extending-term")
        .expect("the record exists");
    let record: serde_json::Value = serde_json::from_slice(&item.value).expect("it is JSON");
    assert_eq!(record["epoch"], epoch(&fleet));
    assert_eq!(fleet.workers.starts().len(), TASKS as usize);
    assert_eq!(fleet.workers.running().len(), TASKS as usize);
}

// Guards against a record of terms, whatever is in it, that ends an instance or keeps a term from beginning.
#[tokio::test(start_paused = true)]
async fn instance_takes_over_whatever_the_record_of_terms_says() {
    const RECORD: &str = r#"{"epoch":9,"state":{"ended":{"after":8}},"ages":[{"revision":8,"age_ms":2140},
        {"revision":10,"age_ms":3937}],"ages_before":11}"#;
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let record = odd_json(RECORD, &mut |below: usize| {
            rng.random_range(0..below.max(1))
        });
        let fleet = Fleet::start(2, 1).await;
        sleep(UPTIME).await;
        fleet.store.put("extending-term", &record);
        fleet.kill(0);
        let job = job("a1", 1000, vec![step(1)]);
        fleet.submit(&job).await;
        fleet.await_success(&job.id, Duration::from_secs(10)).await;
        fleet.kill(1);
    }
}
