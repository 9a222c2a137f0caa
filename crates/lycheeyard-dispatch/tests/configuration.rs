//! Following the configuration and admitting calls by it. Guards against admissions and denials by a configuration that
//! may be outdated, and against a follower that overloads the store or goes back to an older revision.

mod support;

use lycheeyard_dispatch::{
    AccessKey, CallGate, Clock, ConfigReader, ConfigState, FreshnessLimits, Refusal, ServingConfig,
    follow_config,
};
use std::{num::ParseIntError, time::Duration};
use support::{FakeStore, KEY, QUEUE, TestClock, config};
use tokio::time::sleep;

const LIMITS: FreshnessLimits = FreshnessLimits {
    keys: Duration::from_millis(3500),
    denials: Duration::from_millis(1500),
};

/// Decodes a configuration from its revision: odd revisions have the key, and those from 10 on have a second queue.
struct TestConfig;

impl ConfigReader for TestConfig {
    type Error = ParseIntError;

    fn key(&self) -> &'static str {
        "config"
    }

    fn read(&self, bytes: &[u8]) -> Result<ServingConfig, ParseIntError> {
        let revision: u64 = String::from_utf8_lossy(bytes).parse()?;
        let keys = if revision % 2 == 1 { &[KEY][..] } else { &[] };
        let queues = if revision >= 10 {
            &[QUEUE, "new"][..]
        } else {
            &[QUEUE]
        };
        Ok(config(revision, queues, keys))
    }
}

struct Instance {
    store: FakeStore,
    state: ConfigState,
    gate: CallGate,
    clock: TestClock,
}

fn start(store: FakeStore) -> Instance {
    let state = ConfigState::default();
    let clock = TestClock::default();
    tokio::spawn(follow_config(
        store.clone(),
        clock.clone(),
        TestConfig,
        state.clone(),
    ));
    Instance {
        gate: CallGate::new(state.clone(), LIMITS),
        store,
        state,
        clock,
    }
}

impl Instance {
    fn call(&self, path: &str) -> Result<String, Refusal> {
        let key = AccessKey(KEY.to_owned());
        let admitted = self
            .gate
            .admit("jobs.example", path, Some(&key), self.clock.boot());
        admitted.map(|admitted| admitted.subpath)
    }
}

#[tokio::test(start_paused = true)]
async fn applies_change_at_once() {
    let instance = start(FakeStore::default());
    assert_eq!(instance.call("/grids/a1"), Err(Refusal::NoConfiguration));
    instance.store.put("config", b"1");
    sleep(Duration::from_millis(100)).await;
    assert_eq!(instance.call("/grids/a1"), Ok("a1".to_owned()));
    assert_eq!(instance.call("/new/a1"), Err(Refusal::UnknownRoute));
    instance.store.put("config", b"11");
    sleep(Duration::from_millis(100)).await;
    assert_eq!(instance.call("/new/a1"), Ok("a1".to_owned()));
    instance.store.put("config", b"12");
    sleep(Duration::from_millis(100)).await;
    assert_eq!(instance.call("/grids/a1"), Err(Refusal::UnknownKey));
}

#[tokio::test(start_paused = true)]
async fn denials_need_fresher_configuration_than_admissions() {
    let instance = start(FakeStore::default());
    instance.store.put("config", b"1");
    sleep(Duration::from_secs(3)).await;
    assert_eq!(instance.call("/none/a1"), Err(Refusal::UnknownRoute));
    instance.store.link.change(|link| link.store_silent = true);
    sleep(Duration::from_millis(2600)).await;
    assert_eq!(instance.call("/grids/a1"), Ok("a1".to_owned()));
    assert_eq!(instance.call("/none/a1"), Err(Refusal::StaleConfiguration));
    sleep(Duration::from_secs(2)).await;
    assert_eq!(instance.call("/grids/a1"), Err(Refusal::StaleConfiguration));
    assert!(!instance.gate.is_ready(instance.clock.boot()));
    instance.store.link.clear_faults();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(instance.call("/grids/a1"), Ok("a1".to_owned()));
    assert_eq!(instance.call("/none/a1"), Err(Refusal::UnknownRoute));
}

#[tokio::test(start_paused = true)]
async fn configuration_stays_fresh_without_changes() {
    let instance = start(FakeStore::default());
    instance.store.put("config", b"1");
    sleep(Duration::from_secs(1)).await;
    for _ in 0..400 {
        sleep(Duration::from_millis(37)).await;
        assert_eq!(instance.call("/none/a1"), Err(Refusal::UnknownRoute));
    }
}

#[tokio::test(start_paused = true)]
async fn compacted_history_loses_no_change_and_costs_few_calls() {
    let instance = start(FakeStore::default());
    instance.store.put("config", b"1");
    sleep(Duration::from_secs(1)).await;
    instance.store.put("config", b"3");
    instance.store.compact_history();
    sleep(Duration::from_millis(200)).await;
    let revision = instance
        .state
        .current()
        .config
        .map(|config| config.revision);
    assert_eq!(revision.map(|revision| revision.0), Some(3));
    // The configuration's key is now older than the history that the store keeps.
    instance.store.put("other", b"1");
    instance.store.compact_history();
    let before = instance.store.calls();
    sleep(Duration::from_secs(20)).await;
    // About one watch per second.
    let calls = instance.store.calls() - before;
    assert!(calls < 40, "{calls} calls");
}

#[tokio::test(start_paused = true)]
async fn ignores_older_revision_and_invalid_configuration() {
    let instance = start(FakeStore::default());
    instance.store.put("config", b"11");
    sleep(Duration::from_millis(100)).await;
    instance.store.put("config", b"9");
    sleep(Duration::from_millis(100)).await;
    assert_eq!(instance.call("/new/a1"), Ok("a1".to_owned()));
    instance.store.put("config", b"not a configuration");
    sleep(Duration::from_millis(100)).await;
    assert_eq!(instance.call("/new/a1"), Ok("a1".to_owned()));
}

/// How long a large configuration takes to arrive over a small link.
const VALUE_TIME: Duration = Duration::from_millis(1800);

/// Guards against all instances that read a large configuration again at the same time because the store has compacted its history,
/// and against calls that are refused meanwhile, although the configuration has not changed.
#[tokio::test(start_paused = true)]
async fn unchanged_configuration_is_not_read_again_after_compaction() {
    let instance = start(FakeStore::default());
    instance.store.put("config", b"1");
    sleep(Duration::from_secs(1)).await;
    let link = &instance.store.link;
    link.change(|link| link.value_time = VALUE_TIME);
    let before = instance.store.values_read();
    for number in 0..400 {
        if number % 100 == 0 {
            instance.store.put("other", b"1");
            instance.store.compact_history();
        }
        sleep(Duration::from_millis(50)).await;
        assert_eq!(instance.call("/grids/a1"), Ok("a1".to_owned()));
        assert_eq!(instance.call("/none/a1"), Err(Refusal::UnknownRoute));
    }
    assert_eq!(instance.store.values_read(), before);
}

/// Guards against a link that stays full: a watch that failed for want of room led to a read of the whole configuration.
#[tokio::test(start_paused = true)]
async fn unchanged_configuration_is_not_read_again_after_a_failed_watch() {
    let instance = start(FakeStore::default());
    instance.store.put("config", b"1");
    sleep(Duration::from_secs(1)).await;
    let before = instance.store.values_read();
    instance.store.link.change(|link| link.store_silent = true);
    sleep(Duration::from_secs(1)).await;
    instance.store.link.clear_faults();
    sleep(Duration::from_secs(5)).await;
    assert_eq!(instance.call("/none/a1"), Err(Refusal::UnknownRoute));
    assert_eq!(instance.store.values_read(), before);
}

/// Guards against a changed configuration that is missed because it was compacted before the watch could see it, also where the
/// store does not answer checks of the revision, and against a revoked key that is admitted then.
#[tokio::test(start_paused = true)]
async fn change_is_applied_after_compaction_whether_or_not_checks_are_answered() {
    for are_checks_answered in [true, false] {
        let instance = start(FakeStore::default());
        instance.store.put("config", b"1");
        sleep(Duration::from_millis(1200)).await;
        instance.store.link.change(|link| {
            link.answers_lost = !are_checks_answered;
        });
        instance.store.put("config", b"2");
        instance.store.compact_history();
        sleep(Duration::from_millis(1800)).await;
        assert_eq!(instance.call("/grids/a1"), Err(Refusal::UnknownKey));
        instance.store.put("config", b"11");
        sleep(Duration::from_millis(100)).await;
        assert_eq!(instance.call("/new/a1"), Ok("a1".to_owned()));
    }
}

/// Guards against calls that are refused after each change of a large configuration: it arrives so late that it must be verified
/// again soon.
#[tokio::test(start_paused = true)]
async fn configuration_is_verified_soon_after_it_was_read() {
    let instance = start(FakeStore::default());
    instance.store.put("config", b"1");
    let link = &instance.store.link;
    link.change(|link| link.value_time = VALUE_TIME);
    sleep(VALUE_TIME + Duration::from_millis(250)).await;
    assert_eq!(instance.call("/none/a1"), Err(Refusal::UnknownRoute));
}
