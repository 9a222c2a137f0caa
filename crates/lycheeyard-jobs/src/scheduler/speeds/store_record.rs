use super::{
    QueuePace, Regime, SpeedChange, SpeedClass, SpeedRecord, WorkerSpeed, WorkerSpeedRecord,
    WorkerSpeeds,
    estimates::Estimates,
    known_worker::KnownWorker,
    queue_pace::{from_thousandths, thousandths},
    regime_odds::RegimeOdds,
};
use crate::{
    BootTime,
    scheduler::{JobScheduler, Now},
};
use lycheeyard_protocol::{QueueId, WorkerId};
use std::time::Duration;

/// The record is written at most this often.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// A stored logarithm has changed noticeably by this many thousandths: two thirds of the step in which speeds are compared.
const NOTICEABLE_MILLI: u64 = 100;
/// A stored variance has changed noticeably once it has fallen below this part of the stored one.
const NOTICEABLE_VARIANCE: f64 = 0.6;
/// A worker is stored once this part of the prior variance is removed.
const MIN_LEARNED: f64 = 0.1;
/// Variances are stored in ten-thousandths.
const VARIANCE_UNITS: f64 = 10.0;

impl JobScheduler {
    /// Restores the estimates of an earlier term, in place of those of this one. Values that are out of range are dropped.
    pub fn restore_speeds(&mut self, record: &SpeedRecord, now: Now) {
        self.speeds = WorkerSpeeds::from_record(record, now.boot);
        for entry in self.workers.values_mut() {
            entry.speed = None;
        }
    }

    /// Takes the estimates for writing, if they have changed noticeably and the last time was long enough ago.
    pub fn take_speed_record(&mut self, now: Now) -> Option<SpeedRecord> {
        let due = self.speeds.written_at.after(WRITE_INTERVAL);
        if !due.is_past(now.boot) {
            return None;
        }
        let record = self.speeds.to_record();
        if !differs_noticeably(&record, &self.speeds.written) {
            return None;
        }
        self.speeds.written_at = now.boot;
        self.speeds.written = record.clone();
        Some(record)
    }

    /// The speed of a worker as decisions use it; `None` if it is not known or was not evaluated yet.
    #[must_use]
    pub fn worker_speed(&self, id: &WorkerId) -> Option<WorkerSpeed> {
        self.workers.get(id)?.speed
    }

    pub(in crate::scheduler) fn slow_workers(&self) -> usize {
        let known = self.speeds.workers.values();
        let slow = known.filter(|known| known.is_listed && known.class != SpeedClass::Usual);
        slow.count()
    }

    /// Takes the changes of the classes of workers since the last call.
    pub fn take_speed_changes(&mut self) -> Vec<SpeedChange> {
        std::mem::take(&mut self.speeds.changes)
    }

    pub(super) fn pace(&self, queue: &QueueId) -> QueuePace {
        self.speeds.queues.get(queue).copied().unwrap_or_default()
    }

    pub(super) fn pace_mut(&mut self, queue: &QueueId) -> &mut QueuePace {
        self.speeds.queues.entry(queue.clone()).or_default()
    }
}

impl WorkerSpeeds {
    fn from_record(record: &SpeedRecord, now: BootTime) -> Self {
        let queues = record.queues.iter();
        let queues = queues
            .filter_map(|(queue, pace)| Some((queue.clone(), QueuePace::from_record(*pace)?)));
        let workers = record.workers.iter();
        let workers = workers.filter_map(|(worker, stored)| {
            let WorkerSpeedRecord(incarnation, mean, variance) = *stored;
            let mean = from_thousandths(mean)?;
            let variance = from_thousandths(variance)? / VARIANCE_UNITS;
            let estimates = Estimates::restore(mean, variance, now)?;
            Some((
                worker.clone(),
                KnownWorker::new(incarnation, estimates, now),
            ))
        });
        let mut odds = RegimeOdds::default();
        if let Some(log_odds) = from_thousandths(record.steady_milli) {
            odds.set(log_odds);
        }
        Self {
            odds,
            queues: queues.collect(),
            workers: workers.collect(),
            written: record.clone(),
            written_at: now,
            ..Self::default()
        }
    }

    fn to_record(&self) -> SpeedRecord {
        let regime = self.odds.regime();
        let queues = self.queues.iter();
        let workers = self.workers.iter().filter(|(_, known)| {
            known.is_listed && known.estimates.of(regime).lasting().learned() >= MIN_LEARNED
        });
        SpeedRecord {
            steady_milli: thousandths(self.odds.log_odds()),
            queues: queues
                .map(|(queue, pace)| (queue.clone(), pace.to_record()))
                .collect(),
            workers: workers
                .map(|(worker, known)| (worker.clone(), stored_worker(known, regime)))
                .collect(),
        }
    }
}

fn stored_worker(known: &KnownWorker, regime: Regime) -> WorkerSpeedRecord {
    let lasting = known.estimates.of(regime).lasting();
    WorkerSpeedRecord(
        known.incarnation,
        thousandths(lasting.mean),
        thousandths(lasting.variance * VARIANCE_UNITS).max(1),
    )
}

fn differs_noticeably(record: &SpeedRecord, written: &SpeedRecord) -> bool {
    let queues = record.queues.iter().any(|(queue, pace)| {
        written
            .queues
            .get(queue)
            .is_none_or(|written| pace.mean_milli.abs_diff(written.mean_milli) >= NOTICEABLE_MILLI)
    });
    let regime_changes = (record.steady_milli < 0) != (written.steady_milli < 0);
    regime_changes
        || queues
        || record.workers.iter().any(|(worker, stored)| {
            let written = written.workers.get(worker);
            written.is_none_or(|written| has_changed(*stored, *written))
        })
}

fn has_changed(stored: WorkerSpeedRecord, written: WorkerSpeedRecord) -> bool {
    #[expect(clippy::cast_precision_loss, reason = "stored variances are small")]
    let ratio = stored.2 as f64 / written.2.max(1) as f64;
    stored.0 != written.0
        || stored.1.abs_diff(written.1) >= NOTICEABLE_MILLI
        || ratio < NOTICEABLE_VARIANCE
}
