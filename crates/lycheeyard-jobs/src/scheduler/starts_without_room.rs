use super::{JobScheduler, Now, RunPhase, WorkerEntry};
use crate::{Resources, RunEnd, RunNumber, TaskKey};
use lycheeyard_protocol::WorkerId;
use std::collections::BTreeMap;

impl JobScheduler {
    /// Ends the planned runs that no longer fit on their workers, whose capacity may have shrunk since they were placed, and with
    /// them the rest of their gangs, before any of them is ordered to start. Runs that come first in `starts` are kept first.
    pub(super) fn withdraw_starts_without_room(
        &mut self,
        starts: &[(TaskKey, RunNumber)],
        now: Now,
    ) {
        let mut ordered: BTreeMap<WorkerId, Resources> = BTreeMap::new();
        for (task, number) in starts {
            let run = self.runs.get(task);
            let run = run.filter(|run| run.number == *number && run.phase == RunPhase::Planned);
            let Some(run) = run else {
                continue;
            };
            let entry = self.workers.get(&run.worker.id);
            let Some(entry) = entry.filter(|entry| entry.is_over_capacity()) else {
                continue;
            };
            let used = ordered
                .entry(run.worker.id.clone())
                .or_insert_with(|| self.used_by_ordered_runs(entry));
            let with_run = used.saturating_add(&run.demand);
            if entry.can_hold(&with_run) {
                *used = with_run;
            } else {
                self.end_run(task, *number, RunEnd::NeverStarted, None, now);
            }
        }
    }

    /// The resources of those of a worker's runs that may have been ordered to start.
    fn used_by_ordered_runs(&self, entry: &WorkerEntry) -> Resources {
        let runs = entry.tasks.iter().filter_map(|task| self.runs.get(task));
        let ordered = runs.filter(|run| run.phase != RunPhase::Planned);
        ordered.fold(Resources::default(), |used, run| {
            used.saturating_add(&run.demand)
        })
    }
}
