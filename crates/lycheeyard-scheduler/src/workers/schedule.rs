use lycheeyard_protocol::WorkerId;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Between two calls to a worker where a gang is being started or stopped.
const BUSY_EVERY: Duration = Duration::from_millis(200);
const OBSERVE_EVERY: Duration = Duration::from_millis(500);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The size of a call with an unchanged report, and the rate that all of them together may take.
const CALL_BYTES: u32 = 400;
const BYTES_PER_SECOND: u32 = 8000;

/// Renewals in one task lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// What an instance has to do with a worker now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallKind {
    /// Whether it renews this worker's task leases.
    pub renews: bool,
    /// Whether it needs to know this worker's tasks.
    pub observes: bool,
    /// Whether a gang is being started or stopped there.
    pub busy: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Calls {
    asked_at: Option<Instant>,
    renewed_at: Option<Instant>,
    in_flight: bool,
    failed: bool,
}

/// Decides when each worker is called next, with one call in flight a worker.
#[derive(Debug)]
pub struct PollSchedule {
    renew_every: Duration,
    calls: BTreeMap<WorkerId, Calls>,
}

impl PollSchedule {
    /// Makes a schedule that renews often enough for a task lease.
    #[must_use]
    pub fn new(task_lease: Duration) -> Self {
        Self {
            renew_every: task_lease / RENEWALS_PER_LEASE,
            calls: BTreeMap::new(),
        }
    }

    /// The time between two calls to an idle worker, so that all calls stay within the byte rate.
    #[must_use]
    pub fn observe_every(workers: usize) -> Duration {
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        let bytes = f64::from(workers) * f64::from(CALL_BYTES);
        OBSERVE_EVERY.max(Duration::from_secs_f64(bytes / f64::from(BYTES_PER_SECOND)))
    }

    /// Whether a worker's call is due; if it is, the call counts as made.
    pub fn take(
        &mut self,
        worker: &WorkerId,
        kind: CallKind,
        workers: usize,
        now: Instant,
    ) -> bool {
        let calls = self.calls.entry(worker.clone()).or_default();
        if calls.in_flight {
            return false;
        }
        let passed = |at: Option<Instant>, every| at.is_none_or(|at| at + every <= now);
        let every = if kind.busy {
            BUSY_EVERY
        } else {
            Self::observe_every(workers)
        };
        let every = if calls.failed {
            every.min(RETRY_AFTER)
        } else {
            every
        };
        let renews = kind.renews && passed(calls.renewed_at, self.renew_every);
        let observes = kind.observes && passed(calls.asked_at, every);
        if !renews && !observes {
            return false;
        }
        calls.in_flight = true;
        calls.asked_at = Some(now);
        if kind.renews {
            calls.renewed_at = Some(now);
        }
        true
    }

    /// Notes that a call has ended; a failed one does not count as a renewal.
    pub fn ended(&mut self, worker: &WorkerId, answered: bool) {
        if let Some(calls) = self.calls.get_mut(worker) {
            calls.in_flight = false;
            calls.failed = !answered;
            if !answered {
                calls.renewed_at = None;
            }
        }
    }
}
