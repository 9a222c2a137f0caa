use super::JobScheduler;
use lycheeyard_protocol::DataCentreId;
use std::collections::BTreeSet;

impl JobScheduler {
    /// Sets which data centres are evacuated. Their workers receive no new runs from now on; what runs there continues,
    /// except for long-running tasks, which move to other workers.
    pub fn set_evacuated_data_centres(&mut self, evacuated: BTreeSet<DataCentreId>) {
        if self.evacuated_data_centres == evacuated {
            return;
        }
        for entry in self.workers.values_mut() {
            let data_centre = entry.info.as_ref().map(|info| &info.data_centre);
            entry.is_evacuated = data_centre.is_some_and(|id| evacuated.contains(id));
        }
        self.evacuated_data_centres = evacuated;
        self.plan_due = true;
    }

    /// How many runs are on workers of evacuated data centres.
    pub(super) fn runs_in_evacuated_data_centres(&self) -> usize {
        let entries = self.workers.values();
        let evacuated = entries.filter(|entry| entry.is_evacuated);
        evacuated.map(|entry| entry.tasks.len()).sum()
    }
}
