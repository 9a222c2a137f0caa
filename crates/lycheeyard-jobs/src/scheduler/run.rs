use super::Pace;
use crate::{BootTime, Checkpoint, Resources, RunNumber, Step, WorkerKey};
use lycheeyard_protocol::Percent;
use strum::Display;

/// A run that has not ended, as the scheduling instance sees it.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub number: RunNumber,
    pub worker: WorkerKey,
    pub kind: RunKind,
    /// What is set aside for it on its worker.
    pub demand: Resources,
    pub phase: RunPhase,
    pub stop_reason: Option<StopReason>,
    /// When the stop was ordered last.
    pub stop_sent_at: Option<BootTime>,
    /// A report that was asked for at this time or later, and does not list the run, proves that it is not there.
    pub absent_after: BootTime,
    /// The time of the first report in a row that should list it and does not.
    pub absent_since: Option<BootTime>,
    /// When it was first seen at work.
    pub present_since: Option<BootTime>,
    pub progress: Percent,
    /// When the share of work that is done changed last.
    pub advanced_at: BootTime,
    pub checkpoint: Option<Checkpoint>,
    /// Whether it does the whole work, near its data.
    pub is_from_scratch: bool,
    /// How far the work was at the newest checkpoint.
    pub checkpointed_progress: Percent,
    /// The tail of the response times, for a task that answers requests.
    pub tail_ms: Option<u64>,
    pub pace: Pace,
}

/// What the scheduler has to see to for a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunKind {
    /// It runs until its work is done.
    Batch,
    /// It runs until the job is cancelled.
    Lasting,
    /// It runs until the job is cancelled, and its response times must stay below a limit in milliseconds.
    Serving(u64),
    /// It runs on the processor time that others leave.
    Filling,
}

impl RunKind {
    fn of(step: &Step) -> Self {
        match step.target_tail_ms {
            _ if step.best_effort => Self::Filling,
            Some(target_ms) if step.long_running => Self::Serving(target_ms),
            _ if step.long_running => Self::Lasting,
            _ => Self::Batch,
        }
    }

    /// Whether it goes on until the job is cancelled.
    pub fn is_long_running(self) -> bool {
        matches!(self, Self::Lasting | Self::Serving(_))
    }
}

impl Run {
    /// A run of which nothing was heard yet.
    pub fn new(
        number: RunNumber,
        worker: WorkerKey,
        step: &Step,
        phase: RunPhase,
        checkpoint: Option<Checkpoint>,
        now: BootTime,
    ) -> Self {
        Self {
            number,
            worker,
            kind: RunKind::of(step),
            demand: step.reserved(),
            phase,
            stop_reason: None,
            stop_sent_at: None,
            absent_after: now,
            absent_since: None,
            present_since: None,
            progress: Percent(0),
            advanced_at: now,
            checkpoint,
            is_from_scratch: false,
            checkpointed_progress: Percent(0),
            tail_ms: None,
            pace: Pace::at_start(phase),
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
    /// Tasks that answer requests leave it no processor time.
    PacedOut,
    /// Its worker is about to leave, and it may be at work elsewhere.
    Evacuated,
    /// Its machine is to be away for maintenance.
    Maintenance,
    /// The order to start it was not answered.
    Unanswered,
    /// No record names it.
    Unknown,
}
