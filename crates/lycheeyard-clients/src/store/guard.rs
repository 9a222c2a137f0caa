use super::{CallClass, StoreError, breaker::CircuitBreaker, token_bucket::TokenBucket};
use crate::metrics::{CallOutcome, count_store_call};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::{Instant, sleep};

/// The reads and watches per second that the store accepts from the whole fleet.
const FLEET_READS_PER_S: f64 = 2000.0;
/// The writes per second that the store accepts from the whole fleet.
const FLEET_WRITES_PER_S: f64 = 400.0;
/// The size of the fleet that an instance assumes before it has read the instance list.
const ASSUMED_INSTANCES: usize = 16;
const ASSUMED_DATA_CENTRES: usize = 4;

/// Which of the store's two rate limits a call counts against.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallKind {
    Read,
    Write,
}

/// Limits the rate of this instance's store calls and rejects most of them while the store fails.
#[derive(Clone, Debug)]
pub(super) struct Guard {
    limits: Arc<Mutex<Limits>>,
}

#[derive(Debug)]
struct Limits {
    reads: TokenBucket,
    writes: TokenBucket,
    breaker: CircuitBreaker,
}

impl Guard {
    /// Creates a guard for a fleet of the assumed size.
    pub fn new() -> Self {
        let share = rate_share(ASSUMED_INSTANCES, ASSUMED_DATA_CENTRES, true);
        let limits = Limits {
            reads: TokenBucket::new(FLEET_READS_PER_S * share),
            writes: TokenBucket::new(FLEET_WRITES_PER_S * share),
            breaker: CircuitBreaker::new(),
        };
        Self {
            limits: Arc::new(Mutex::new(limits)),
        }
    }

    /// Sets this instance's share of the store's rates. Half of each rate is split among all instances,
    /// and half among the schedulers, one per data centre.
    pub fn set_share(&self, instances: usize, data_centres: usize, is_scheduler: bool) {
        let share = rate_share(instances, data_centres, is_scheduler);
        let now = Instant::now();
        let mut limits = self.lock();
        limits.reads.set_rate(FLEET_READS_PER_S * share, now);
        limits.writes.set_rate(FLEET_WRITES_PER_S * share, now);
    }

    /// Waits until a call is within its rate limit.
    ///
    /// # Errors
    /// Fails when the wait would reach the deadline or the circuit breaker rejects the call.
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
                count_store_call(class, CallOutcome::RateLimited);
                return Err(StoreError::RateLimited(class));
            }
            sleep(wait).await;
        }
    }

    /// Counts a call and passes its result to the circuit breaker.
    pub fn record_result(&self, class: CallClass, is_healthy: bool) {
        let outcome = if is_healthy {
            CallOutcome::Answered
        } else {
            CallOutcome::Failed
        };
        count_store_call(class, outcome);
        let mut limits = self.lock();
        if is_healthy {
            limits.breaker.record_success();
        } else {
            limits.breaker.record_failure(Instant::now());
        }
    }

    /// Admits a call, or returns how long to wait for its rate limit.
    fn try_admit(
        &self,
        class: CallClass,
        kind: CallKind,
    ) -> Result<Option<std::time::Duration>, StoreError> {
        let now = Instant::now();
        let mut limits = self.lock();
        let bucket = match kind {
            CallKind::Read => &mut limits.reads,
            CallKind::Write => &mut limits.writes,
        };
        if let Some(wait) = bucket.try_take(class, now) {
            return Ok(Some(wait));
        }
        let admitted = limits.breaker.admit(class, now);
        admitted.inspect_err(|_| count_store_call(class, CallOutcome::CircuitOpen))?;
        Ok(None)
    }

    fn lock(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn rate_share(instances: usize, data_centres: usize, is_scheduler: bool) -> f64 {
    let half_split =
        |count: usize| 0.5 / f64::from(u32::try_from(count.max(1)).unwrap_or(u32::MAX));
    let instance_share = half_split(instances);
    if is_scheduler {
        instance_share + half_split(data_centres)
    } else {
        instance_share
    }
}
