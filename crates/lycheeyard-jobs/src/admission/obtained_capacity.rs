use super::ServiceLoad;
use crate::{BootTime, Resources};
use std::{collections::BTreeMap, time::Duration};

/// The time constant of the mean. It is shorter than jobs of the lower priorities can wait, and longer than a burst.
const TIME_CONSTANT: Duration = Duration::from_secs(30);
/// Before the first sample all of the capacity counts as obtained, as if that had been seen for this long.
const PRIOR_TIME: Duration = Duration::from_secs(3);
/// A longer time between two samples counts as this long, since nothing is known of the rest.
const MAX_STEP: Duration = Duration::from_secs(2);
/// Each priority counts as getting at least this part of the capacity, so that the expected wait stays within a multiple of the
/// work that is accepted, and a closed queue leaves no capacity idle.
const MIN_SHARE_DIVISOR: u64 = 4;

/// The parts of a service's capacity that the work of each priority got lately, as means over time.
///
/// What a priority gets while work of a higher one waits depends on the order of waiting work. Afterwards it gets what runs of
/// higher priorities, headroom and gaps between gangs leave.
#[derive(Clone, Debug, Default)]
pub(super) struct ObtainedCapacity {
    levels: BTreeMap<u32, Level>,
    sampled_at: Option<BootTime>,
}

/// What work of one priority gets.
#[derive(Clone, Copy, Debug)]
struct Level {
    /// While work of a higher priority waits.
    beside: Mean,
    /// While none does.
    alone: Mean,
}

#[derive(Clone, Copy, Debug)]
struct Mean {
    shares: Shares,
    /// How long it has been sampled.
    sampled: Duration,
}

/// Parts of the capacity, from 0 to 1.
#[derive(Clone, Copy, Debug)]
struct Shares {
    cpu: f64,
    memory: f64,
    accelerators: f64,
}

impl ObtainedCapacity {
    /// Records what runs use of `capacity` at `now`.
    pub fn record(&mut self, load: &ServiceLoad, capacity: &Resources, now: BootTime) {
        let since = self.sampled_at.map_or(Duration::ZERO, |at| now.since(at));
        self.sampled_at = Some(now);
        let step = since.min(MAX_STEP);
        let mut higher = Resources::default();
        let mut does_higher_wait = false;
        for (&priority, level) in &load.levels {
            let means = self.levels.entry(priority).or_default();
            let used = Shares::new(&level.used, capacity);
            match (level.has_waiting_tasks, does_higher_wait) {
                (true, true) => means.beside.add(used, step),
                (true, false) => means.alone.add(used, step),
                (false, true) => {}
                (false, false) => {
                    let left = capacity.saturating_sub(&higher);
                    means.alone.add(Shares::new(&left, capacity), step);
                }
            }
            higher = higher.saturating_add(&level.used);
            does_higher_wait |= level.has_waiting_tasks;
        }
    }

    /// What work of `priority` gets of `capacity` while work of a higher priority waits.
    pub fn beside_higher(&self, priority: u32, capacity: &Resources) -> Resources {
        self.level(priority).beside.shares.of(capacity)
    }

    /// What work of `priority` gets of `capacity` while no work of a higher priority waits.
    pub fn alone(&self, priority: u32, capacity: &Resources) -> Resources {
        let got = self.level(priority).alone.shares.of(capacity);
        let least = |capacity: u64| capacity.div_ceil(MIN_SHARE_DIVISOR);
        let accelerators = least(u64::from(capacity.accelerators));
        Resources {
            cpu_milli: got.cpu_milli.max(least(capacity.cpu_milli)),
            memory_mb: got.memory_mb.max(least(capacity.memory_mb)),
            accelerators: got
                .accelerators
                .max(u32::try_from(accelerators).unwrap_or(u32::MAX)),
        }
    }

    fn level(&self, priority: u32) -> Level {
        self.levels.get(&priority).copied().unwrap_or_default()
    }
}

impl Default for Level {
    fn default() -> Self {
        let mean = Mean {
            shares: Shares::ALL,
            sampled: PRIOR_TIME,
        };
        Self {
            beside: mean,
            alone: mean,
        }
    }
}

impl Mean {
    fn add(&mut self, sample: Shares, step: Duration) {
        self.sampled = (self.sampled + step).min(TIME_CONSTANT);
        let weight = step.as_secs_f64() / self.sampled.as_secs_f64();
        self.shares.approach(sample, weight);
    }
}

impl Shares {
    const ALL: Self = Self {
        cpu: 1.0,
        memory: 1.0,
        accelerators: 1.0,
    };

    fn new(got: &Resources, capacity: &Resources) -> Self {
        Self {
            cpu: share(got.cpu_milli, capacity.cpu_milli),
            memory: share(got.memory_mb, capacity.memory_mb),
            accelerators: share(
                u64::from(got.accelerators),
                u64::from(capacity.accelerators),
            ),
        }
    }

    fn of(self, capacity: &Resources) -> Resources {
        let accelerators = part(u64::from(capacity.accelerators), self.accelerators);
        Resources {
            cpu_milli: part(capacity.cpu_milli, self.cpu),
            memory_mb: part(capacity.memory_mb, self.memory),
            accelerators: u32::try_from(accelerators).unwrap_or(u32::MAX),
        }
    }

    fn approach(&mut self, sample: Self, weight: f64) {
        self.cpu += weight * (sample.cpu - self.cpu);
        self.memory += weight * (sample.memory - self.memory);
        self.accelerators += weight * (sample.accelerators - self.accelerators);
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "resources are far below 2^53, up to which integers are exact in `f64`"
)]
fn share(got: u64, capacity: u64) -> f64 {
    if got >= capacity {
        1.0
    } else {
        got as f64 / capacity as f64
    }
}

fn part(capacity: u64, share: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "resources are positive and far below 2^53"
    )]
    let part = (capacity as f64 * share).round() as u64;
    part
}
