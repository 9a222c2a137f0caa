use super::{BootTime, Checkpoint, EndNumber, Resources, RunNumber, Step, TaskKey};
use lycheeyard_protocol::{DataCentreId, Incarnation, Percent, RackId, ServiceId, WorkerId};
use std::{collections::BTreeSet, net::SocketAddr};
use strum::{Display, EnumString};

/// One incarnation of a worker.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkerKey {
    /// The identifier of the worker, which it may keep after a restart.
    pub id: WorkerId,
    /// Distinguishes the incarnations of one worker.
    pub incarnation: Incarnation,
}

/// The description of a worker from the list of workers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerInfo {
    /// The worker and its incarnation.
    pub key: WorkerKey,
    /// The address at which it accepts calls.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its rack.
    pub rack: RackId,
    /// All its labels, including its rack.
    pub labels: BTreeSet<String>,
    /// Its total resources.
    pub capacity: Resources,
    /// Whether it is about to leave and accepts no new runs.
    pub draining: bool,
    /// Whether it has started recently and is slow for some time.
    pub is_cold: bool,
}

impl WorkerInfo {
    /// The kind of the worker: its first label that is not its rack.
    #[must_use]
    pub fn kind(&self) -> Option<&str> {
        let rack = self.rack.to_string();
        let mut labels = self.labels.iter().map(String::as_str);
        labels.find(|label| *label != rack)
    }

    /// Whether a task of a step fits on the worker when it is empty, and may run there.
    pub(crate) fn is_suitable(&self, step: &Step, service: &ServiceId) -> bool {
        self.service == *service
            && self.capacity.can_fit(&step.reserved())
            && step.accepts_labels(&self.labels)
    }
}

/// The answer of a worker to a poll of its runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerReport {
    /// The worker, with the incarnation that answered.
    pub worker: WorkerKey,
    /// When this instance sent the request.
    pub polled_at: BootTime,
    /// When this instance received the answer.
    pub received_at: BootTime,
    /// The runs in progress.
    pub running: Vec<RunReport>,
    /// The ends of runs that have not been acknowledged, lowest number first.
    pub ended: Vec<EndReport>,
    /// Whether the worker may have more ends than it listed, or runs and ends that could not be read in the list.
    pub is_partial: bool,
}

/// A run that a worker lists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunReport {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// The newest checkpoint, if there is one.
    pub checkpoint: Option<Checkpoint>,
    /// The completed part of the task; 100 for a long-running task that has fully started.
    pub progress: Percent,
    /// A measurement over the last half second. For a task with a limit on its response times it is their tail, in
    /// milliseconds; for any other task it is the CPU time in use, in thousandths of a core.
    pub recent: Option<u64>,
}

/// The end of a run that a worker lists until it is acknowledged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndReport {
    /// The number that the worker gave to this end. It increases within one incarnation.
    pub number: EndNumber,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// How the run ended.
    pub outcome: RunEnd,
    /// The newest checkpoint, if there is one.
    pub checkpoint: Option<Checkpoint>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// The run failed, through the task or the worker.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The lease of the run expired.
    Lapsed,
    /// Another member of the gang ended.
    PeerEnded,
    /// The other members of the gang did not start in time.
    PeersMissing,
    /// The worker is presumed lost, has restarted, or does not list the run.
    Lost,
    /// The order to start the run is known to have had no effect.
    NeverStarted,
}
