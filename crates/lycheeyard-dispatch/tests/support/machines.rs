use super::store::FakeStore;
use lycheeyard_dispatch::{MachineCallError, MachineCalls, MachinePage, WaveFormat};
use lycheeyard_jobs::{
    MachineInfo, MachineState, MaintenanceAnswer, MaintenanceOrder, Wave, WaveNumber, WaveState,
};
use lycheeyard_protocol::{Epoch, InstanceId, MachineId, Timestamp};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, str,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::{Instant, sleep, sleep_until};

const MAINTENANCE_TIME: Duration = Duration::from_secs(2);
const CAP: usize = 1;

/// Machines `m-0`, `m-1` and so on, without workers. At most one may be in maintenance at a time.
#[derive(Clone, Debug, Default)]
pub struct FakeMachines {
    /// The store that keeps the scheduler's key.
    store: FakeStore,
    data: Arc<Mutex<Data>>,
}

#[derive(Debug, Default)]
struct Data {
    machines: BTreeSet<MachineId>,
    begun: BTreeMap<MachineId, Instant>,
    epochs: BTreeMap<MachineId, Epoch>,
    /// How many of the next orders are executed but not answered.
    lost_answers: u32,
    violations: Vec<String>,
    /// How many orders were sent in a term that had ended.
    orders_after_term: usize,
}

impl FakeMachines {
    pub fn new(store: FakeStore) -> Self {
        Self {
            store,
            ..Self::default()
        }
    }

    pub fn add(&self, count: usize) {
        let ids =
            (0..count).map(|number| format!("m-{number}").parse().expect("machine id is valid"));
        self.lock().machines.extend(ids);
    }

    pub fn lose_answers(&self, count: u32) {
        self.lock().lost_answers = count;
    }

    pub fn begun(&self) -> usize {
        self.lock().begun.len()
    }

    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Returns how many orders were sent in a term that had ended.
    pub fn orders_after_term(&self) -> usize {
        self.lock().orders_after_term
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().expect("lock is not poisoned")
    }
}

impl MachineCalls for FakeMachines {
    async fn list(
        &self,
        page_token: Option<&str>,
        _deadline: Instant,
    ) -> Result<MachinePage, MachineCallError> {
        sleep(Duration::from_millis(5)).await;
        let data = self.lock();
        let describe = |id: &MachineId| {
            let is_in_maintenance = data
                .begun
                .get(id)
                .is_some_and(|begun| begun.elapsed() < MAINTENANCE_TIME);
            MachineInfo {
                id: id.clone(),
                state: if is_in_maintenance {
                    MachineState::InMaintenance
                } else {
                    MachineState::Up
                },
                worker: None,
            }
        };
        let machines: Vec<MachineInfo> = data.machines.iter().map(describe).collect();
        // Two pages, so that a test fails if one page is treated as the whole list.
        let (first, second) = machines.split_at(machines.len() / 2);
        Ok(match page_token {
            None => MachinePage {
                machines: first.to_vec(),
                next: Some("rest".to_owned()),
            },
            Some(_) => MachinePage {
                machines: second.to_vec(),
                next: None,
            },
        })
    }

    async fn maintain(
        &self,
        order: &MaintenanceOrder,
        _holder: &InstanceId,
        epoch: Epoch,
        deadline: Instant,
    ) -> Result<MaintenanceAnswer, MachineCallError> {
        let holder = self.store.item("scheduler");
        if holder.is_none_or(|item| item.revision.0 != epoch.0) {
            self.lock().orders_after_term += 1;
        }
        sleep(Duration::from_millis(5)).await;
        let is_lost = {
            let mut data = self.lock();
            let seen = data.epochs.entry(order.machine.clone()).or_default();
            if epoch < *seen {
                return Err(MachineCallError::Fenced);
            }
            *seen = epoch;
            let begun = data.begun.values();
            let in_maintenance = begun
                .filter(|begun| begun.elapsed() < MAINTENANCE_TIME)
                .count();
            if !data.begun.contains_key(&order.machine) {
                data.begun.insert(order.machine.clone(), Instant::now());
                if in_maintenance >= CAP {
                    data.violations
                        .push(format!("{} exceeds the maintenance cap", order.machine));
                }
            }
            let is_lost = data.lost_answers > 0;
            data.lost_answers = data.lost_answers.saturating_sub(1);
            is_lost
        };
        if is_lost {
            sleep_until(deadline).await;
            return Err(MachineCallError::Refused(504));
        }
        Ok(MaintenanceAnswer::Begun)
    }
}

/// The wave format of the tests: the value of a key is the number of machines.
#[derive(Clone, Copy, Debug)]
pub struct TestWaves;

impl WaveFormat for TestWaves {
    type Error = fmt::Error;

    fn prefix(&self) -> &'static str {
        "waves/"
    }

    fn read(&self, key: &str, bytes: &[u8], now: Timestamp) -> Result<Wave, fmt::Error> {
        let number = key.strip_prefix("waves/").ok_or(fmt::Error)?;
        let number = number.parse().map_err(|_| fmt::Error)?;
        let machines = str::from_utf8(bytes).map_err(|_| fmt::Error)?;
        let machines: usize = machines.parse().map_err(|_| fmt::Error)?;
        let ids =
            (0..machines).map(|number| format!("m-{number}").parse().expect("machine id is valid"));
        Ok(Wave {
            number: WaveNumber(number),
            machines: ids.collect(),
            due_at: now.after(Duration::from_secs(60)),
            cap: CAP,
        })
    }

    fn status(&self, number: WaveNumber, state: WaveState) -> (String, Vec<u8>) {
        (
            format!("wave-states/{number}"),
            state.to_string().into_bytes(),
        )
    }
}
