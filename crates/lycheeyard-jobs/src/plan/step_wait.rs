use super::PendingStart;
use crate::{BootTime, RunPhase, StepKey, TaskKey, WorkerExclusion, WorkerKey};
use std::{collections::BTreeMap, fmt::Display};
use strum::Display;

/// What keeps a step whose turn has come from starting.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum StepWait {
    /// A run of one of its tasks has not certainly ended. A gang starts only once all its members have.
    RunNotEnded {
        /// The task.
        task: TaskKey,
        /// The worker that may have the run.
        worker: WorkerKey,
        /// How far the start of the run was confirmed.
        phase: RunPhase,
        /// When the run has certainly ended if the worker stays silent; `None` while the worker reports.
        until: Option<BootTime>,
        /// Since when report requests to the worker get no report.
        silent_since: Option<BootTime>,
        /// Since when the worker is missing from the list.
        unlisted_since: Option<BootTime>,
    },
    /// It was placed a moment ago, and nothing shows that its start will fail.
    Starting {
        /// The run that is to start.
        start: PendingStart,
    },
    /// The record that names its next runs has not been durable for long.
    RecordNotDurable {
        /// One of these runs.
        start: PendingStart,
    },
    /// The record of the job has no room for more tasks that have begun and are not done.
    RecordFull,
    /// A task failed soon after its start and is started again later.
    RestartDelay,
    /// It waits for runs to stop on the workers that are reserved for it.
    Reservation {
        /// When the reservation is dropped.
        until: BootTime,
    },
    /// Fewer of its tasks than may start together fit on the workers that receive new runs, also if those were empty.
    NoWorker {
        /// How many workers of its service with its label and room for a task receive no new runs, by reason.
        excluded: BTreeMap<WorkerExclusion, usize>,
    },
    /// It fits, but not on workers for which the advisor has given a ticket that is valid.
    NoPermit,
    /// It fits on other racks only, where it would take longer than if it waited.
    OtherRack,
    /// It would take accelerators that are left free for urgent work.
    Headroom,
    /// Hosts are drained for other steps.
    Drained {
        /// One of these steps.
        step: StepKey,
    },
    /// Room is reserved for other steps.
    Reserved {
        /// One of these steps.
        step: StepKey,
    },
    /// The last planning round passed it over, since a smaller step did not fit.
    EarlierFailure,
    /// It does not fit.
    NoRoom {
        /// As for [`Self::NoWorker`].
        excluded: BTreeMap<WorkerExclusion, usize>,
    },
    /// The next planning round can start it.
    NextRound,
}

impl StepWait {
    /// Describes what the step waits for, in one line.
    #[must_use]
    pub fn detail(&self, now: BootTime) -> String {
        match self {
            Self::RunNotEnded {
                task,
                worker,
                phase,
                until,
                silent_since,
                unlisted_since,
            } => {
                let rest = until.map(|until| until.since(now).as_millis());
                let rest = rest.map_or_else(String::new, |rest| format!(", for {rest} ms at most"));
                let silent = elapsed("silent", *silent_since, now);
                let unlisted = elapsed("unlisted", *unlisted_since, now);
                format!("{task}@{} {phase}{rest}{silent}{unlisted}", worker.id)
            }
            Self::Starting { start } | Self::RecordNotDurable { start } => start.detail(now),
            Self::Reservation { until } => {
                format!("for {} ms at most", until.since(now).as_millis())
            }
            Self::Drained { step } | Self::Reserved { step } => step.to_string(),
            Self::NoWorker { excluded } | Self::NoRoom { excluded } => list(excluded),
            _ => String::new(),
        }
    }
}

/// Tells for how long a state has lasted; empty if it does not hold.
fn elapsed(state: &str, since: Option<BootTime>, now: BootTime) -> String {
    let elapsed = since.map(|since| now.since(since).as_millis());
    elapsed.map_or_else(String::new, |elapsed| format!(", {state} for {elapsed} ms"))
}

/// Lists names and counts, as `NAME=COUNT NAME=COUNT`.
fn list(counts: &BTreeMap<impl Display, usize>) -> String {
    let counts = counts.iter().map(|(name, count)| format!("{name}={count}"));
    counts.collect::<Vec<_>>().join(" ")
}
