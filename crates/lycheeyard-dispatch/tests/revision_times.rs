//! When the store reached its revisions, as an instance knows it.

mod support;

use lycheeyard_dispatch::{DatedStore, KeyValueStore, RevisionTimes, StoreRevision, Transaction};
use lycheeyard_jobs::BootTime;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{ops::RangeInclusive, time::Duration};
use support::{FakeStore, TestClock};
use tokio::time::{Instant, sleep};

const RESOLUTION: Duration = Duration::from_millis(100);
/// Longer than the times are kept.
const LONG: Duration = Duration::from_secs(125);

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(1)
}

// Guards against a revision that counts as reached before an answer has shown it, and against one that counts as reached much later since
// only some answers are kept.
#[test]
fn revision_is_reached_when_an_answer_has_named_it_or_a_later_one() {
    /// The milliseconds between two answers.
    const GAPS: RangeInclusive<u64> = 0..=70;
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let times = RevisionTimes::default();
        let (mut revision, mut at) = (10, BootTime(1000));
        let mut shown = Vec::new();
        for _ in 0..500 {
            revision += rng.random_range(0..4);
            at = at.after(Duration::from_millis(rng.random_range(GAPS)));
            times.note(StoreRevision(revision), at);
            shown.push((revision, at));
        }
        for named in 10..=revision {
            let (_, first) = shown.iter().find(|(shown, _)| *shown >= named).unwrap();
            let reached_by = times.reached_by(StoreRevision(named)).unwrap();
            assert!(*first <= reached_by, "seed {seed}: {named} too early");
            assert!(
                reached_by.since(*first) < RESOLUTION,
                "seed {seed}: {named}"
            );
        }
        let unseen = StoreRevision(revision + 1);
        assert_eq!(times.reached_by(unseen), None);
    }
}

// Guards against an old answer that arrives late and moves the time of a revision, and against a history that grows without end.
#[test]
fn old_answers_move_nothing_and_old_times_are_forgotten() {
    let times = RevisionTimes::default();
    let start = BootTime(1000);
    times.note(StoreRevision(7), start);
    times.note(StoreRevision(5), start.after(RESOLUTION));
    times.note(StoreRevision(0), start.after(RESOLUTION));
    assert_eq!(times.reached_by(StoreRevision(6)), Some(start));
    let later = start.after(RESOLUTION * 2);
    times.note(StoreRevision(8), later);
    times.note(StoreRevision(9), later.after(LONG));
    assert_eq!(times.reached_by(StoreRevision(6)), Some(later));
    assert_eq!(times.reached_by(StoreRevision(9)), Some(later.after(LONG)));
}

// Guards against answers that are not noted: an instance that does not schedule only reads and watches.
#[tokio::test(start_paused = true)]
async fn each_answer_that_names_a_revision_is_noted() {
    let fake = FakeStore::default();
    let clock = TestClock::default();
    let store = DatedStore::new(fake.connect(), clock);
    let write = Transaction {
        writes: vec![("a".to_owned(), Vec::new(), None)],
        ..Transaction::default()
    };
    let times = store.times().clone();
    let mut revision = 0;
    for answer in 0..4 {
        sleep(Duration::from_secs(1)).await;
        fake.put("a", b"1");
        let wait = Duration::from_millis(10);
        let is_answered = match answer {
            0 => store.get("a", deadline()).await.is_ok(),
            1 => store.range("a", None, deadline()).await.is_ok(),
            2 => {
                let after = StoreRevision(revision);
                store.watch("b", after, wait, deadline()).await.is_ok()
            }
            _ => store.commit(&write, deadline()).await.is_ok(),
        };
        assert!(is_answered, "answer {answer}");
        revision = fake.item("a").expect("key exists").revision.0;
        let named = StoreRevision(revision);
        assert!(times.reached_by(named).is_some(), "answer {answer}");
    }
}

// Guards against an age that an instance has from a record and that makes a revision count as reached before it was, or moves what is known of
// others.
#[test]
fn ages_of_a_record_date_earlier_revisions() {
    const GAPS: RangeInclusive<u64> = 0..=400;
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let reached: Vec<BootTime> = (0..40)
            .scan(BootTime(1000), |at, _| {
                *at = at.after(Duration::from_millis(rng.random_range(GAPS)));
                Some(*at)
            })
            .collect();
        let revision = |index: usize| StoreRevision(10 + u64::try_from(index).unwrap());
        let (former, present) = (RevisionTimes::default(), RevisionTimes::default());
        for (index, at) in reached.iter().enumerate() {
            let delay = Duration::from_millis(rng.random_range(0..=50));
            former.note(revision(index), at.after(delay));
            if index >= 20 && rng.random_bool(0.5) {
                present.note(revision(index), at.after(delay));
            }
        }
        let dated = (0..30).step_by(3).map(revision).collect();
        let written = rng.random_range(30..40);
        let ages = former.ages(&dated, reached[written]);
        let known = present.reached_by(revision(39));
        present.note_ages(&ages, revision(written));
        assert_eq!(present.reached_by(revision(39)), known, "seed {seed}");
        for (index, at) in reached.iter().enumerate() {
            if let Some(by) = present.reached_by(revision(index)) {
                assert!(*at <= by, "seed {seed}: {index} too early");
            }
        }
        if known.is_some() && present.reached_by(revision(written)).is_some() {
            let by = present.reached_by(revision(0)).unwrap();
            assert!(by.since(reached[0]) < Duration::from_secs(3), "seed {seed}");
        }
    }
}
