use lycheeyard_jobs::WorkerKey;
use lycheeyard_protocol::{Epoch, Incarnation, WorkerId};
use std::collections::BTreeMap;

/// The epochs that the calls of one term carry: each further incarnation of a worker is called with a higher one.
#[derive(Clone, Debug)]
pub(super) struct CallEpochs {
    term: Epoch,
    newest: Epoch,
    polled: BTreeMap<WorkerId, (Incarnation, Epoch)>,
}

impl CallEpochs {
    pub fn new(term: Epoch) -> Self {
        Self {
            term,
            newest: term,
            polled: BTreeMap::new(),
        }
    }

    /// The epoch of the next term.
    pub fn next(&self) -> Epoch {
        Epoch(self.newest.0 + 1)
    }

    /// The epoch of a report request, which a new incarnation gets before all orders.
    pub fn of_polled(&mut self, worker: &WorkerKey) -> Epoch {
        let epoch = match self.polled.get(&worker.id) {
            None => self.term,
            Some((incarnation, epoch)) if *incarnation == worker.incarnation => *epoch,
            Some(_) => {
                self.newest = self.next();
                self.newest
            }
        };
        let polled = (worker.incarnation, epoch);
        self.polled.insert(worker.id.clone(), polled);
        epoch
    }

    /// The epoch of an order. One for a former incarnation carries an epoch below that of the next one's report requests.
    pub fn of(&self, worker: &WorkerKey) -> Epoch {
        let polled = self.polled.get(&worker.id);
        let polled = polled.filter(|(incarnation, _)| *incarnation == worker.incarnation);
        polled.map_or(self.term, |(_, epoch)| *epoch)
    }
}
