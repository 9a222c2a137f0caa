use crate::{BootTime, Resources, Step, WorkerInfo, WorkerKey, scheduler::WorkerEntry};
use lycheeyard_protocol::{Percent, RackId, ServiceId, WorkerId};
use std::collections::BTreeSet;

/// Workers that differ by less than this are taken as equally fast.
const SLOWNESS_STEP: f64 = 0.15;

/// A worker that takes runs, with what this round leaves of it.
#[derive(Clone, Debug)]
pub(super) struct Host {
    pub key: WorkerKey,
    pub rack: RackId,
    pub service: ServiceId,
    pub labels: BTreeSet<String>,
    pub capacity: Resources,
    /// How slow work is here, in steps; 0 is usual.
    pub slowness: u32,
    /// What runs and claims hold. A claim and the runs that make room for it may hold the same.
    pub held: Resources,
    /// How far work that fills is held back here by runs that answer requests; nothing if none does.
    pub fill_room: FillRoom,
    /// What is kept for a unit that does not fit yet, and until when it stays free.
    pub kept: Vec<(Resources, BootTime)>,
}

/// How well work that fills gets on at a host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum FillRoom {
    /// Nothing there answers requests.
    Free,
    /// It shares the host with runs that answer requests.
    Shared,
    /// It gets nothing beside them.
    Blocked,
}

impl FillRoom {
    fn of(entry: &WorkerEntry) -> Self {
        match (entry.serving, entry.fill_share) {
            (0, _) => Self::Free,
            (_, Percent(0)) => Self::Blocked,
            _ => Self::Shared,
        }
    }
}

impl Host {
    pub fn new(entry: &WorkerEntry, info: &WorkerInfo, used: &Resources) -> Self {
        Self {
            key: info.key.clone(),
            rack: info.rack.clone(),
            service: info.service.clone(),
            labels: info.labels.clone(),
            capacity: info.capacity,
            slowness: slowness_step(entry.slowness),
            fill_room: FillRoom::of(entry),
            held: *used,
            kept: Vec::new(),
        }
    }

    pub fn id(&self) -> &WorkerId {
        &self.key.id
    }

    /// What neither runs nor claims hold.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.held)
    }

    /// What is free for tasks that run until then: what is kept for others may be used before.
    pub fn free_until(&self, end: BootTime) -> Resources {
        let kept = self.kept.iter().filter(|(_, until)| *until < end);
        let held = kept.fold(self.held, |held, (demand, _)| held.saturating_add(demand));
        self.capacity.saturating_sub(&held)
    }

    /// Whether tasks of a step may run here at all.
    pub fn admits(&self, step: &Step, service: &ServiceId) -> bool {
        self.service == *service
            && self.capacity.can_fit(&step.reserved())
            && !(step.best_effort && self.fill_room == FillRoom::Blocked)
            && step.accepts_labels(&self.labels)
    }

    /// Whether a step's tasks run at full speed here.
    pub fn is_near(&self, step: &Step) -> bool {
        step.data_rack
            .as_ref()
            .is_none_or(|rack| *rack == self.rack)
    }
}

fn slowness_step(slowness: f64) -> u32 {
    let steps = ((slowness - 1.0) / SLOWNESS_STEP).clamp(0.0, f64::from(u8::MAX));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value was brought into range"
    )]
    let steps = steps as u32;
    steps
}
