use super::Fleet;
use lycheeyard_protocol::WorkerId;
use std::time::Duration;
use tokio::time::sleep;

impl Fleet {
    /// As [`Fleet::start`], with workers that grant leases of up to `max_lease`. `workers` are listed; the next one can be added.
    pub async fn start_with_leases(instances: usize, workers: usize, max_lease: Duration) -> Self {
        let mut fleet = Self::start(0, workers).await;
        fleet.max_lease = max_lease;
        for number in 0..=workers {
            let id: WorkerId = format!("w-{number}").parse().expect("worker id is valid");
            fleet.workers.set_max_lease(&id, max_lease);
        }
        for _ in 0..instances {
            fleet.add_instance();
            sleep(Duration::from_millis(200)).await;
        }
        fleet
    }
}
