use super::hosts::Hosts;
use crate::{BootTime, Resources};
use lycheeyard_protocol::WorkerId;
use std::collections::BTreeMap;

/// Resources reserved for a step while the runs that use them are being stopped.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// The position of each task and its worker.
    pub tasks: Vec<(usize, WorkerId)>,
    /// The resources that each task needs.
    pub demand: Resources,
    pub expires_at: BootTime,
}

impl Reservation {
    /// Returns the position of each task and the index of its host; `None` if a worker no longer accepts runs.
    pub(super) fn on_hosts(&self, hosts: &Hosts) -> Option<Vec<(usize, usize)>> {
        let tasks = self.tasks.iter();
        tasks
            .map(|(index, worker)| Some((*index, hosts.index_of(worker)?)))
            .collect()
    }

    /// Whether all tasks fit on their hosts now.
    pub(super) fn has_room(&self, tasks: &[(usize, usize)], hosts: &Hosts) -> bool {
        let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
        for (_, host_index) in tasks {
            *counts.entry(*host_index).or_default() += 1;
        }
        counts.into_iter().all(|(host_index, count)| {
            let host = &hosts.as_slice()[host_index];
            !host.is_over_capacity() && host.free().fit_count(&self.demand) >= count
        })
    }
}
