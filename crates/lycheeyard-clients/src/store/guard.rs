use super::{CallClass, StoreError, breaker::Breaker, budget::Budget};
use crate::metrics::{CallFate, count_store_call};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::{Instant, sleep};

/// The reads and watches that the store takes from the whole fleet, a second.
const FLEET_READS_PER_S: f64 = 2000.0;
/// The writes that the store takes from the whole fleet, a second.
const FLEET_WRITES_PER_S: f64 = 400.0;
/// The fleet that an instance assumes until it knows better.
const ASSUMED_INSTANCES: usize = 16;
const ASSUMED_DATA_CENTRES: usize = 4;

/// Which of the store's two rates a call counts against.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallKind {
    Read,
    Write,
}

/// Keeps an instance's store calls within its share and off a failing store.
#[derive(Clone, Debug)]
pub(super) struct Guard {
    limits: Arc<Mutex<Limits>>,
}

#[derive(Debug)]
struct Limits {
    reads: Budget,
    writes: Budget,
    breaker: Breaker,
}

impl Guard {
    /// Makes the guard of an instance that does not know its fleet yet.
    pub fn new() -> Self {
        let share = share_of(ASSUMED_INSTANCES, ASSUMED_DATA_CENTRES, true);
        let limits = Limits {
            reads: Budget::new(FLEET_READS_PER_S * share),
            writes: Budget::new(FLEET_WRITES_PER_S * share),
            breaker: Breaker::new(),
        };
        Self {
            limits: Arc::new(Mutex::new(limits)),
        }
    }

    /// Sets this instance's share. Half of the rates is for all instances alike, and half for the
    /// schedulers, one a data centre.
    pub fn set_share(&self, instances: usize, data_centres: usize, is_scheduler: bool) {
        let share = share_of(instances, data_centres, is_scheduler);
        let now = Instant::now();
        let mut limits = self.lock();
        limits.reads.set_rate(FLEET_READS_PER_S * share, now);
        limits.writes.set_rate(FLEET_WRITES_PER_S * share, now);
    }

    /// Waits until a call is within its budget.
    pub async fn admit(
        &self,
        class: CallClass,
        kind: CallKind,
        deadline: Instant,
    ) -> Result<(), StoreError> {
        loop {
            let Some(wait) = self.try_admit(class, kind)? else {
                return Ok(());
            };
            if Instant::now() + wait >= deadline {
                count_store_call(class, CallFate::OverBudget);
                return Err(StoreError::RateLimited(class));
            }
            sleep(wait).await;
        }
    }

    /// Notes whether the store answered.
    pub fn note(&self, class: CallClass, answered: bool) {
        let fate = if answered {
            CallFate::Answered
        } else {
            CallFate::Failed
        };
        count_store_call(class, fate);
        let mut limits = self.lock();
        if answered {
            limits.breaker.succeed();
        } else {
            limits.breaker.fail(Instant::now());
        }
    }

    fn try_admit(
        &self,
        class: CallClass,
        kind: CallKind,
    ) -> Result<Option<std::time::Duration>, StoreError> {
        let now = Instant::now();
        let mut limits = self.lock();
        let budget = match kind {
            CallKind::Read => &mut limits.reads,
            CallKind::Write => &mut limits.writes,
        };
        if let Some(wait) = budget.take(class, now) {
            return Ok(Some(wait));
        }
        let admitted = limits.breaker.admit(class, now);
        admitted.inspect_err(|_| count_store_call(class, CallFate::Suspended))?;
        Ok(None)
    }

    fn lock(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn share_of(instances: usize, data_centres: usize, is_scheduler: bool) -> f64 {
    let part = |count: usize| 0.5 / f64::from(u32::try_from(count.max(1)).unwrap_or(u32::MAX));
    let own = part(instances);
    if is_scheduler {
        own + part(data_centres)
    } else {
        own
    }
}
