use super::{CrashSuspect, ThrottleState};
use crate::{
    BootTime, Checkpoint, Resources, RunNumber, Step, StepKey, WorkerKey, plan::LateStart,
};
use lycheeyard_protocol::{Incarnation, Percent};
use strum::Display;

/// A run that has not ended, as far as the scheduler has observed it.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the properties are independent"
)]
pub(crate) struct Run {
    pub number: RunNumber,
    /// When the scheduler placed it, or found it in the record of its job.
    pub placed_at: BootTime,
    pub worker: WorkerKey,
    /// The incarnation that it was ordered on or that has reported it. `worker` is another one while it is unclear which of them has it.
    pub shown_on: Incarnation,
    pub kind: RunKind,
    /// When a stop was ordered because the lease of its silent worker was about to count as expired; `None` once a report lists the run.
    pub closing_since: Option<BootTime>,
    /// When the silent worker confirmed that stop order.
    pub closed_at: Option<BootTime>,
    /// The resources reserved for it on its worker.
    pub demand: Resources,
    pub phase: RunPhase,
    /// Why it is being stopped, once a stop has been requested.
    pub stop_reason: Option<StopReason>,
    /// By when it ends, if its worker carries out the stop order in time; `None` while no stop has been requested.
    pub ends_by: Option<BootTime>,
    /// When the stop order was last sent.
    pub stop_sent_at: Option<BootTime>,
    /// A report requested at this time or later that does not list the run shows that the worker does not have it.
    pub absent_after: BootTime,
    /// Whether its start order was sent and has no outcome yet.
    pub awaits_outcome: bool,
    /// A copy of its start order may be carried out until this, also by a later incarnation of its worker. Until the order has an
    /// outcome, each of its copies counts as unanswered.
    pub copies_until: BootTime,
    /// When the first of the latest reports that omit the run was requested; `None` while no report omits it.
    pub absent_since: Option<BootTime>,
    /// Whether a report of its worker's incarnation has listed it, which proves that this incarnation has carried the order out.
    pub is_reported: bool,
    /// Whether it is known to have begun, or probably had when the connection to its worker was lost.
    pub may_have_crashed_worker: bool,
    /// A crash of its worker's former incarnation that counts if the run is not on the present one.
    pub crash_suspect: Option<CrashSuspect>,
    /// When the worker first confirmed or reported the run.
    pub present_since: Option<BootTime>,
    /// How much of the work is done.
    pub progress: Percent,
    /// When `progress` last changed.
    pub progressed_at: BootTime,
    pub checkpoint: Option<Checkpoint>,
    /// Whether it began without a checkpoint and on the rack of its data, so that its run time can be compared with
    /// others.
    pub has_representative_run_time: bool,
    /// Whether its evidence about the speed of its worker was already added, with that of another member of its gang.
    pub is_speed_counted: bool,
    /// The progress at the newest checkpoint.
    pub checkpointed_progress: Percent,
    /// The reported tail latency, for a task that serves requests.
    pub tail_latency_ms: Option<u64>,
    pub throttle: ThrottleState,
    /// On which terms it has started, if a deadline of preferences has let it start.
    pub late_start: Option<LateStart>,
}

/// The kind of work that a run does, which decides how it is supervised.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunKind {
    /// Runs until its work is done.
    Batch,
    /// Runs until the job is cancelled.
    LongRunning,
    /// Runs until the job is cancelled and serves requests, with a target for the tail latency in milliseconds.
    Serving(u64),
    /// Best-effort work: runs on the CPU time that other runs leave unused.
    BestEffort,
}

impl RunKind {
    fn of(step: &Step) -> Self {
        match step.target_tail_ms {
            _ if step.best_effort => Self::BestEffort,
            Some(target_ms) if step.long_running => Self::Serving(target_ms),
            _ if step.long_running => Self::LongRunning,
            _ => Self::Batch,
        }
    }

    /// Whether the run continues until the job is cancelled.
    pub fn is_long_running(self) -> bool {
        matches!(self, Self::LongRunning | Self::Serving(_))
    }
}

impl Run {
    /// Creates a run that no report has listed yet.
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
            placed_at: now,
            shown_on: worker.incarnation,
            worker,
            kind: RunKind::of(step),
            closing_since: None,
            closed_at: None,
            demand: step.reserved(),
            phase,
            stop_reason: None,
            ends_by: None,
            stop_sent_at: None,
            absent_after: now,
            awaits_outcome: false,
            copies_until: BootTime(0),
            absent_since: None,
            is_reported: false,
            may_have_crashed_worker: false,
            crash_suspect: None,
            present_since: None,
            progress: Percent(0),
            progressed_at: now,
            checkpoint,
            has_representative_run_time: false,
            is_speed_counted: false,
            checkpointed_progress: Percent(0),
            tail_latency_ms: None,
            throttle: ThrottleState::at_start(phase),
            late_start: None,
        }
    }

    /// Whether only guaranteed steps may preempt it.
    pub fn is_kept(&self, now: BootTime) -> bool {
        let late_start = self.late_start.as_ref();
        late_start.is_some_and(|start| !start.kept_until.is_past(now))
    }

    /// Whether a stop was requested and it has not ended in time. When it will end is unknown.
    pub fn is_stop_overdue(&self, now: BootTime) -> bool {
        self.ends_by.is_some_and(|ends_by| ends_by.is_past(now))
    }

    /// Whether it uses room that is drained for a step.
    pub fn is_in_room_of(&self, key: &StepKey) -> bool {
        let late_start = self.late_start.as_ref();
        late_start.is_some_and(|start| start.drained_for.as_ref() == Some(key))
    }

    /// Whether it was confirmed at most by the answer to an order, which does not tell the incarnation.
    pub fn may_be_unseen(&self) -> bool {
        self.phase != RunPhase::Planned && !self.is_reported
    }

    /// Moves the run to another incarnation of its worker, which may have carried its order out. What was known of the run held
    /// for the former incarnation only.
    pub fn move_to_incarnation(&mut self, worker: &WorkerKey, now: BootTime) {
        self.worker = worker.clone();
        if self.phase == RunPhase::Present {
            self.phase = RunPhase::Ordered;
        }
        self.awaits_outcome = false;
        self.is_reported = false;
        self.may_have_crashed_worker = false;
        self.present_since = None;
        self.absent_since = None;
        // An incarnation that reports carries out no order that was sent before it was seen.
        self.absent_after = now;
    }
}

/// How far the start of a run has been confirmed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum RunPhase {
    /// The record that names it is being written; no order has been sent to the worker.
    Planned,
    /// The start order has been sent, and the worker's present incarnation has not confirmed it yet.
    Ordered,
    /// The worker has confirmed or reported the run.
    Present,
    /// A previous scheduling instance placed it, and no report of the worker has listed it in this term.
    Inherited,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum StopReason {
    /// The job was cancelled or has failed.
    JobEnded,
    /// The gang cannot continue, since another member ended or is being stopped.
    GangBroken,
    /// It makes room for work that has precedence by priority or guarantee.
    Preempted,
    /// Its work makes no progress.
    Stalled,
    /// It is best-effort work, and tasks that serve requests have left it no CPU time for too long.
    #[strum(serialize = "paced-out")]
    CpuStarved,
    /// Its worker is about to leave, and it can run on another worker.
    Evacuated,
    /// Its machine is about to be taken down for maintenance.
    Maintenance,
    /// The start order was not answered.
    Unanswered,
    /// The worker reports it, but no record names it.
    Unknown,
}
