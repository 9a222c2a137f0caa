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
    /// When it is dropped, because the runs that were stopped for it have not all ended in time.
    pub expires_at: BootTime,
}

/// Whether the tasks of a reservation fit on their hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReservedRoom {
    /// They fit.
    Now,
    /// They fit once the runs that are being stopped have ended.
    Later,
    /// They do not fit either way: a host has become smaller, or has other runs.
    Never,
}

impl Reservation {
    /// Returns the position of each task and the index of its host; `None` if a worker no longer accepts runs.
    pub(super) fn on_hosts(&self, hosts: &Hosts) -> Option<Vec<(usize, usize)>> {
        let tasks = self.tasks.iter();
        tasks
            .map(|(index, worker)| Some((*index, hosts.index_of(worker)?)))
            .collect()
    }

    /// Whether all tasks fit on their hosts, now or once the runs there that are being stopped have ended, which release
    /// `stopping` of a host's resources. Resources of other reservations are not free.
    pub(super) fn room(
        &self,
        tasks: &[(usize, usize)],
        hosts: &Hosts,
        stopping: impl Fn(&WorkerId) -> Resources,
    ) -> ReservedRoom {
        let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
        for (_, host_index) in tasks {
            *counts.entry(*host_index).or_default() += 1;
        }
        let mut room = ReservedRoom::Now;
        for (host_index, count) in counts {
            let host = &hosts.usable()[host_index];
            if !host.is_over_capacity() && host.free().fit_count(&self.demand) >= count {
                continue;
            }
            let released = stopping(host.id());
            let used = host.used.saturating_sub(&released);
            let allocated = host.allocated.saturating_sub(&released);
            let free = host.capacity.saturating_sub(&allocated);
            if !host.capacity.can_fit(&used) || free.fit_count(&self.demand) < count {
                return ReservedRoom::Never;
            }
            room = ReservedRoom::Later;
        }
        room
    }
}
