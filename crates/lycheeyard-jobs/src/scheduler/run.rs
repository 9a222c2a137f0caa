use crate::{BootTime, Checkpoint, Resources, RunNumber, WorkerKey};
use lycheeyard_protocol::Percent;
use strum::Display;

/// A run that has not ended, as the scheduling instance sees it.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub number: RunNumber,
    pub worker: WorkerKey,
    pub demand: Resources,
    pub phase: RunPhase,
    pub stop: Option<StopReason>,
    /// When the stop was ordered last.
    pub stop_sent_at: Option<BootTime>,
    /// A report that was asked for at this time or later, and does not list the run, proves that it is not there.
    pub absent_after: BootTime,
    /// The time of the first report in a row that should list it and does not.
    pub absent_since: Option<BootTime>,
    /// When it was first seen at work.
    pub present_since: Option<BootTime>,
    pub done: Percent,
    /// When the share of work that is done changed last.
    pub advanced_at: BootTime,
    pub checkpoint: Option<Checkpoint>,
    /// Whether it does the whole work, near its data.
    pub is_from_scratch: bool,
    /// How far the work was at the newest checkpoint.
    pub saved: Percent,
}

impl Run {
    /// A run of which nothing was heard yet.
    pub fn new(
        number: RunNumber,
        worker: WorkerKey,
        demand: Resources,
        phase: RunPhase,
        checkpoint: Option<Checkpoint>,
        now: BootTime,
    ) -> Self {
        Self {
            number,
            worker,
            demand,
            phase,
            stop: None,
            stop_sent_at: None,
            absent_after: now,
            absent_since: None,
            present_since: None,
            done: Percent(0),
            advanced_at: now,
            checkpoint,
            is_from_scratch: false,
            saved: Percent(0),
        }
    }
}

/// How much is known of a run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum RunPhase {
    /// The record that names it is being written; nothing was sent to the worker.
    Planned,
    /// The start was sent and not yet answered.
    Ordered,
    /// The worker has it.
    Present,
    /// An earlier scheduling instance placed it; the worker has not been asked yet.
    Inherited,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum StopReason {
    /// The job was cancelled or has failed.
    JobEnded,
    /// The gang cannot go on.
    GangBroken,
    /// Other work comes first.
    Preempted,
    /// The work makes no progress.
    Stalled,
    /// The order to start it was not answered.
    Unanswered,
    /// No record names it.
    Unknown,
}
