use lycheeyard_protocol::{DataCentreId, InstanceId};
use std::time::Duration;

const TASK_LEASE: Duration = Duration::from_secs(30);
const CLOCK_ERROR: Duration = Duration::from_millis(500);

/// How long an instance acts on job records that the store has not confirmed since, while others reach it.
const RECORDS_FRESH: Duration = Duration::from_secs(10);

/// The settings of a scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SchedulerSettings {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The instance that runs it.
    pub instance: InstanceId,
    /// The time that a scheduler lease lasts.
    pub lease: Duration,
    /// The time that a task runs on without a renewal.
    pub task_lease: Duration,
    /// The most that two clocks of a data centre differ.
    pub clock_error: Duration,
    /// How long records that the store has not confirmed count as fresh.
    pub records_fresh: Duration,
}

impl SchedulerSettings {
    /// The settings of an instance, with the usual task lease and clock error.
    #[must_use]
    pub fn new(data_centre: DataCentreId, instance: InstanceId, lease: Duration) -> Self {
        Self {
            data_centre,
            instance,
            lease,
            task_lease: TASK_LEASE,
            clock_error: CLOCK_ERROR,
            records_fresh: RECORDS_FRESH,
        }
    }

    /// The time after a durable stop when no task of the gang can run any more.
    #[must_use]
    pub fn lapse_time(&self) -> Duration {
        self.records_fresh + self.task_lease + self.clock_error
    }

    /// The silence after which a worker's gangs are stopped.
    #[must_use]
    pub fn silence_limit(&self) -> Duration {
        self.task_lease / 2
    }
}
