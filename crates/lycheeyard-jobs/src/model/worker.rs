use super::{BootTime, Checkpoint, EndNumber, Resources, RunNumber, TaskKey};
use lycheeyard_protocol::{DataCentreId, Incarnation, Percent, RackId, ServiceId, WorkerId};
use std::{collections::BTreeSet, net::SocketAddr};
use strum::{Display, EnumString};

/// One life of a worker.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkerKey {
    /// The worker; a restarted one may keep its name.
    pub id: WorkerId,
    /// Tells the lives of one worker apart.
    pub incarnation: Incarnation,
}

/// A worker as the list of workers describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerInfo {
    /// The worker and its life.
    pub key: WorkerKey,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its rack.
    pub rack: RackId,
    /// All its labels, its rack among them.
    pub labels: BTreeSet<String>,
    /// What it has in all.
    pub capacity: Resources,
    /// Whether it is about to leave and takes no new work.
    pub draining: bool,
}

/// What a worker said of its runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerReport {
    /// The worker, with the life that answered.
    pub worker: WorkerKey,
    /// When the request left this instance.
    pub polled_at: BootTime,
    /// When the answer came.
    pub received_at: BootTime,
    /// What runs.
    pub running: Vec<RunReport>,
    /// The ends that have not been acknowledged, lowest number first.
    pub ended: Vec<EndReport>,
    /// Whether there may be more ends than were listed.
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
    /// How far the work is; all of it for a long-running task that is at work.
    pub done: Percent,
    /// Over the last half second: the tail of the response times in milliseconds, for a task that has a limit on
    /// them; for any other the processor time in use, in thousandths of a core.
    pub recent: Option<u64>,
}

/// The end of a run that a worker lists until it is acknowledged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndReport {
    /// The worker's number of this end; rises within one life.
    pub number: EndNumber,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub outcome: RunEnd,
    /// The newest checkpoint, if there is one.
    pub checkpoint: Option<Checkpoint>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum RunEnd {
    /// The work is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another member of its gang ended.
    PeerEnded,
    /// The other members of its gang did not come in time.
    PeersMissing,
    /// The worker that had it is gone or restarted, or does not know it.
    Lost,
    /// The order to start it certainly took no effect.
    NeverStarted,
}
