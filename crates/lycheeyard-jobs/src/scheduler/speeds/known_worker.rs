use super::{SpeedChange, SpeedClass, WorkerSpeed, estimates::Estimates};
use crate::BootTime;
use lycheeyard_protocol::{Incarnation, WorkerId};

/// What is known of the speed of a worker.
#[derive(Clone, Debug)]
pub(super) struct KnownWorker {
    /// The incarnation that was last seen.
    pub incarnation: Incarnation,
    /// The evidence of runs that have ended.
    pub estimates: Estimates,
    /// The kind of the worker, once it was listed.
    pub kind: Option<String>,
    /// Whether it is listed.
    pub is_listed: bool,
    /// When it last had an entry.
    pub seen_at: BootTime,
    /// The speed that decisions use.
    pub speed: WorkerSpeed,
    pub class: SpeedClass,
}

impl KnownWorker {
    pub fn new(incarnation: Incarnation, estimates: Estimates, now: BootTime) -> Self {
        Self {
            incarnation,
            estimates,
            kind: None,
            is_listed: false,
            seen_at: now,
            speed: WorkerSpeed::default(),
            class: SpeedClass::default(),
        }
    }

    /// Sets the speed that decisions use. Returns the change of its class, if there is one.
    pub fn set_speed(&mut self, id: &WorkerId, speed: WorkerSpeed) -> Option<SpeedChange> {
        self.speed = speed;
        let class = SpeedClass::of(speed, self.class);
        let has_changed = class != self.class;
        self.class = class;
        has_changed.then(|| SpeedChange {
            worker: id.clone(),
            class,
            speed_percent: speed.percent(),
        })
    }
}
