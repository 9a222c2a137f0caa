use lycheeyard_dispatch::{Advice, AdviceError, PlacementAdvisor};
use lycheeyard_jobs::{StepKey, Ticket, WorkerKey};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// An advisor that allows every worker but the first for all steps, refuses its first request, and counts its calls.
#[derive(Clone, Debug, Default)]
pub struct FakeAdvisor {
    calls: Arc<Mutex<u32>>,
}

impl FakeAdvisor {
    /// Returns the number of requests.
    pub fn calls(&self) -> u32 {
        *self.calls.lock().expect("lock is not poisoned")
    }
}

impl PlacementAdvisor for FakeAdvisor {
    async fn advise(
        &self,
        step: &StepKey,
        workers: &[WorkerKey],
        _deadline: Instant,
    ) -> Result<Advice, AdviceError> {
        let call = {
            let mut calls = self.calls.lock().expect("lock is not poisoned");
            *calls += 1;
            *calls
        };
        if call == 1 {
            return Err(AdviceError::Refused(429));
        }
        sleep(Duration::from_millis(50)).await;
        let allowed = workers.iter().filter(|worker| worker.id.as_str() != "w-0");
        let ticket = |worker: &WorkerKey| Ticket(format!("{step}/{}", worker.id));
        Ok(Advice {
            tickets: allowed
                .map(|worker| (worker.id.clone(), ticket(worker)))
                .collect(),
            validity: Some(Duration::from_secs(3)),
        })
    }
}
