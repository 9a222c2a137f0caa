use lycheeyard_protocol::WorkerId;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// The time between two calls to a worker on which a gang is being started or stopped.
const BUSY_INTERVAL: Duration = Duration::from_millis(200);

/// The shortest time between two calls to an idle worker; more workers make it longer.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(500);

/// The longest time until the next call to a worker whose last call failed.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The size of a call whose report is unchanged.
const CALL_BYTES: u32 = 400;

/// The rate limit of such calls to all workers together.
const MAX_BYTES_PER_SECOND: u32 = 8000;

/// The number of renewals in one task lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// The reasons for which an instance calls a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallReasons {
    /// Whether the instance renews task leases on the worker.
    pub renews: bool,
    /// Whether the instance needs the worker's reports.
    pub observes: bool,
    /// Whether a gang is being started or stopped on the worker, so that the calls are more frequent.
    pub busy: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Calls {
    called_at: Option<Instant>,
    renewed_at: Option<Instant>,
    in_flight: bool,
    failed: bool,
}

/// Decides when each worker is called next; a worker has at most one call in flight.
#[derive(Debug)]
pub struct PollSchedule {
    renew_interval: Duration,
    calls: BTreeMap<WorkerId, Calls>,
}

impl PollSchedule {
    /// Creates a schedule that renews leases of the given length several times before they expire.
    #[must_use]
    pub fn new(task_lease: Duration) -> Self {
        Self {
            renew_interval: task_lease / RENEWALS_PER_LEASE,
            calls: BTreeMap::new(),
        }
    }

    /// Returns the time between two calls to an idle worker. It keeps the calls to all `workers` within the rate limit.
    #[must_use]
    pub fn observation_interval(workers: usize) -> Duration {
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        let bytes = f64::from(workers) * f64::from(CALL_BYTES);
        OBSERVATION_INTERVAL.max(Duration::from_secs_f64(
            bytes / f64::from(MAX_BYTES_PER_SECOND),
        ))
    }

    /// Returns whether a call to the worker is due, and if so records it as in flight.
    pub fn begin_if_due(
        &mut self,
        worker: &WorkerId,
        reasons: CallReasons,
        workers: usize,
        now: Instant,
    ) -> bool {
        let calls = self.calls.entry(worker.clone()).or_default();
        if calls.in_flight {
            return false;
        }
        let is_due = |at: Option<Instant>, interval| at.is_none_or(|at| at + interval <= now);
        let interval = if reasons.busy {
            BUSY_INTERVAL
        } else {
            Self::observation_interval(workers)
        };
        let interval = if calls.failed {
            interval.min(RETRY_INTERVAL)
        } else {
            interval
        };
        let renews = reasons.renews && is_due(calls.renewed_at, self.renew_interval);
        let observes = reasons.observes && is_due(calls.called_at, interval);
        if !renews && !observes {
            return false;
        }
        calls.in_flight = true;
        calls.called_at = Some(now);
        if reasons.renews {
            calls.renewed_at = Some(now);
        }
        true
    }

    /// Records the end of a call. A call that was not answered does not count as a renewal.
    pub fn record_result(&mut self, worker: &WorkerId, answered: bool) {
        if let Some(calls) = self.calls.get_mut(worker) {
            calls.in_flight = false;
            calls.failed = !answered;
            if !answered {
                calls.renewed_at = None;
            }
        }
    }
}
