use super::{
    QueuePace, Regime, SpeedChange, SpeedRecord, WorkerSpeed,
    estimates::Estimates,
    filter::SpeedFilter,
    kind_centers::KindCenters,
    known_worker::KnownWorker,
    observation::Observation,
    regime_odds::RegimeOdds,
    scale::{Scale, probability_of_difference},
};
use crate::{BootTime, scheduler::WorkerEntry};
use lycheeyard_protocol::{QueueId, WorkerId};
use std::{collections::BTreeMap, time::Duration};

/// How long the estimate of a worker without an entry is kept.
const KEPT_FOR: Duration = Duration::from_secs(60);
/// The share of the workers that is taken to differ from the others before anything is known, and the number of workers that this
/// counts for.
const INITIAL_SHARE: f64 = 0.02;
const INITIAL_SHARE_WEIGHT: f64 = 10.0;
/// Bounds of the learned share, so that it can change again.
const MIN_SHARE: f64 = 0.01;
const MAX_SHARE: f64 = 0.9;
/// A worker counts towards the learned share once this part of its prior variance is removed.
const MIN_LEARNED: f64 = 0.2;
/// A difference is acted on from this probability on.
const MIN_PROBABILITY: f64 = 0.8;
/// The same where speeds fluctuate: what is acted on then fades by itself. The share of the workers that is taken to differ is at
/// least this then.
const MIN_PROBABILITY_FLUCTUATING: f64 = 0.5;
const MIN_SHARE_FLUCTUATING: f64 = 0.1;

/// The speeds of the workers and the paces of the queues.
#[derive(Clone, Debug)]
pub(crate) struct WorkerSpeeds {
    pub(super) workers: BTreeMap<WorkerId, KnownWorker>,
    pub(super) queues: BTreeMap<QueueId, QueuePace>,
    /// The learned share of the workers whose speed differs.
    pub(super) differing: f64,
    /// The odds of the regimes.
    pub(super) odds: RegimeOdds,
    /// Changes of classes that have not been taken for logs.
    pub(super) changes: Vec<SpeedChange>,
    pub(super) updated_at: BootTime,
    /// The record that was last taken for writing, and when.
    pub(super) written: SpeedRecord,
    pub(super) written_at: BootTime,
}

impl Default for WorkerSpeeds {
    fn default() -> Self {
        Self {
            workers: BTreeMap::new(),
            queues: BTreeMap::new(),
            differing: INITIAL_SHARE,
            odds: RegimeOdds::default(),
            changes: Vec::new(),
            updated_at: BootTime(0),
            written: SpeedRecord::default(),
            written_at: BootTime(0),
        }
    }
}

impl WorkerSpeeds {
    /// Takes over which workers there are, their incarnations and kinds.
    pub(super) fn follow<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a WorkerEntry>,
        now: BootTime,
    ) {
        for known in self.workers.values_mut() {
            known.is_listed = false;
        }
        for entry in entries {
            let incarnation = entry.key.incarnation;
            let known = self.workers.entry(entry.id().clone());
            let known =
                known.or_insert_with(|| KnownWorker::new(incarnation, Estimates::new(now), now));
            if known.incarnation != incarnation {
                known.incarnation = incarnation;
                for filter in known.estimates.each_mut() {
                    filter.restart(now);
                }
            }
            if let Some(info) = &entry.info {
                known.kind = info.kind().map(str::to_owned);
            }
            known.is_listed = entry.is_listed;
            known.seen_at = now;
        }
        self.workers
            .retain(|_, known| !known.seen_at.after(KEPT_FOR).is_past(now));
    }

    /// The mean estimate of a worker from runs that have ended, and its variance.
    pub(super) fn estimate(&self, worker: &WorkerId) -> (f64, f64) {
        let known = self.workers.get(worker);
        let regime = self.odds.regime();
        let filter = known.map_or_else(
            || SpeedFilter::new(regime, BootTime(0)),
            |known| *known.estimates.of(regime),
        );
        (filter.mean(), filter.total_variance())
    }

    /// Adds the evidence of a run that has ended.
    pub(super) fn add(&mut self, observation: &Observation, now: BootTime) {
        let known = observation.workers.iter().filter_map(|id| {
            let known = self.workers.get(id)?;
            Some((id.clone(), known.estimates))
        });
        let mut estimates: BTreeMap<WorkerId, Estimates> = known.collect();
        observation.apply(&mut estimates, &mut self.odds, now);
        for (id, estimates) in estimates {
            if let Some(known) = self.workers.get_mut(&id) {
                known.estimates = estimates;
            }
        }
    }

    /// Derives the speeds that decisions use from the evidence, including that of runs in progress.
    pub(super) fn evaluate(&mut self, in_progress: &[Observation], now: BootTime) {
        self.updated_at = now;
        let mut odds = self.odds;
        let estimates = self.workers.iter();
        let mut estimates: BTreeMap<WorkerId, Estimates> = estimates
            .map(|(id, known)| (id.clone(), known.estimates))
            .collect();
        for observation in in_progress {
            observation.apply(&mut estimates, &mut odds, now);
        }
        let estimates = estimates.into_iter();
        let filters: BTreeMap<WorkerId, SpeedFilter> = estimates
            .map(|(id, estimates)| {
                let mut filter = *estimates.of(odds.regime());
                filter.advance_to(now);
                (id, filter)
            })
            .collect();
        let kinds = self.workers.iter().map(|(id, known)| {
            let kind = known.kind.as_deref().unwrap_or_default();
            (kind, &filters[id])
        });
        let usual = usual_speed(filters.values());
        let centers = KindCenters::new(kinds, usual);
        let (limit, share) = match odds.regime() {
            Regime::Steady => (MIN_PROBABILITY, self.differing),
            Regime::Fluctuating => {
                let share = self.differing.max(MIN_SHARE_FLUCTUATING);
                (MIN_PROBABILITY_FLUCTUATING, share)
            }
        };
        let mut probabilities = 0.0;
        let mut counted = 0.0;
        for (id, known) in &mut self.workers {
            let filter = &filters[id];
            let kind = centers.of(known.kind.as_deref().unwrap_or_default());
            let center = usual + kind;
            let lasting = difference(filter.lasting(), center, self.differing);
            if filter.lasting().learned() >= MIN_LEARNED {
                probabilities += lasting;
                counted += 1.0;
            }
            let total = difference(filter.total(), center, share);
            let speed = WorkerSpeed {
                lasting: if lasting.max(total) >= limit {
                    filter.lasting().estimate(center) - usual
                } else {
                    kind
                },
                passing: if total >= limit {
                    filter.passing().mean
                } else {
                    0.0
                },
            };
            self.changes.extend(known.set_speed(id, speed));
        }
        let share = (probabilities + INITIAL_SHARE * INITIAL_SHARE_WEIGHT)
            / (counted + INITIAL_SHARE_WEIGHT);
        self.differing = share.clamp(MIN_SHARE, MAX_SHARE);
    }

    /// The speed of a worker that decisions use.
    pub(super) fn speed(&self, worker: &WorkerId) -> WorkerSpeed {
        let known = self.workers.get(worker);
        known.map_or_else(WorkerSpeed::default, |known| known.speed)
    }
}

/// The probability that a part of a worker's speed differs from that of its kind.
fn difference(scale: Scale, center: f64, differing: f64) -> f64 {
    scale.evidence().map_or(0.0, |(value, variance)| {
        probability_of_difference(value - center, variance, scale.prior_variance, differing)
    })
}

/// The median of the lasting parts, weighted by how much of each is learned. What is expected of a queue's runs may be off in
/// the same direction for all workers, so that speeds are relative to this.
fn usual_speed<'a>(filters: impl Iterator<Item = &'a SpeedFilter>) -> f64 {
    let scales = filters.map(SpeedFilter::lasting);
    let learned = scales.filter(|scale| scale.learned() >= MIN_LEARNED);
    let mut values: Vec<(f64, f64)> = learned
        .filter_map(|scale| Some((scale.evidence()?.0, scale.learned())))
        .collect();
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half = values.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut sum = 0.0;
    let middle = values.iter().find(|(_, weight)| {
        sum += weight;
        sum >= half
    });
    middle.map_or(0.0, |(value, _)| *value)
}
