use super::{LevelUse, OrganisationQueue, Work};
use crate::Resources;
use std::collections::BTreeMap;

/// The accepted work of one service and the capacity that it has.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceLoad {
    /// The resources of the workers that accept runs, without what long-running tasks take.
    pub capacity: Resources,
    /// What the work of each priority has at present.
    pub levels: BTreeMap<u32, LevelUse>,
    /// The accepted work that is not completed.
    pub queues: BTreeMap<OrganisationQueue, QueueLoad>,
}

/// The accepted work of one organisation in one queue.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueueLoad {
    /// The priority of the queue; 0 is the highest.
    pub priority: u32,
    /// The organisation's share of the capacity, relative to those of the other organisations.
    pub weight: u32,
    /// The work that is not completed.
    pub work: Work,
    /// The longest wait from its submission with which any of the unfinished jobs can still be of use, in milliseconds; `None` if none
    /// has an objective.
    pub longest_wait_ms: Option<u64>,
    /// Whether the organisation's guarantee covers the work.
    pub is_guaranteed: bool,
}
