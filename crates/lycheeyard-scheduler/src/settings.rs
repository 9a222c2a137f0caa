use lycheeyard_protocol::{DataCentreId, InstanceId};
use std::time::Duration;

const TASK_LEASE: Duration = Duration::from_secs(30);
const CLOCK_ERROR: Duration = Duration::from_millis(500);

/// How long after the store last confirmed its job records an instance renews task leases from them, although a peer may
/// act on newer ones.
const RECORDS_FRESHNESS: Duration = Duration::from_secs(10);

/// The settings of a scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SchedulerSettings {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The instance that runs the scheduler.
    pub instance: InstanceId,
    /// The duration of the scheduler lease.
    pub lease: Duration,
    /// The duration of a task lease: how long a task runs on without a renewal.
    pub task_lease: Duration,
    /// The largest difference between two clocks of the data centre.
    pub clock_error: Duration,
    /// How long job records count as fresh after the store confirmed them.
    pub records_freshness: Duration,
}

impl SchedulerSettings {
    /// Creates the settings of an instance with the default task lease, clock error and record freshness.
    #[must_use]
    pub fn new(data_centre: DataCentreId, instance: InstanceId, lease: Duration) -> Self {
        Self {
            data_centre,
            instance,
            lease,
            task_lease: TASK_LEASE,
            clock_error: CLOCK_ERROR,
            records_freshness: RECORDS_FRESHNESS,
        }
    }

    /// The time, counted from a stored stop, after which no task of the gang runs any more, even if no worker answers.
    ///
    /// The sum of the time in which an instance may still renew from stale records, the task lease and the clock error.
    #[must_use]
    pub fn stop_expiry(&self) -> Duration {
        self.records_freshness + self.task_lease + self.clock_error
    }

    /// How long a worker may be silent before its gangs are stopped.
    #[must_use]
    pub fn silence_limit(&self) -> Duration {
        self.task_lease / 2
    }
}
