use super::MachineCallError;
use lycheeyard_jobs::{
    MachineInfo, MaintenanceAnswer, MaintenanceOrder, Wave, WaveNumber, WaveState,
};
use lycheeyard_protocol::{Epoch, InstanceId, Timestamp};
use std::future::Future;
use tokio::time::Instant;

/// A part of the list of machines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MachinePage {
    /// The machines.
    pub machines: Vec<MachineInfo>,
    /// Names the next part, if there is one.
    pub next: Option<String>,
}

/// The platform's calls about machines.
pub trait MachineCalls: Clone + Send + Sync + 'static {
    /// Reads a part of the list; the first one without a name.
    ///
    /// # Errors
    /// Fails when there is no usable answer.
    fn list(
        &self,
        part: Option<&str>,
        deadline: Instant,
    ) -> impl Future<Output = Result<MachinePage, MachineCallError>> + Send;

    /// Lets a machine begin its maintenance; an order that was carried out before is confirmed again.
    ///
    /// # Errors
    /// Fails when there is no usable answer.
    fn maintain(
        &self,
        order: &MaintenanceOrder,
        holder: &InstanceId,
        epoch: Epoch,
        deadline: Instant,
    ) -> impl Future<Output = Result<MaintenanceAnswer, MachineCallError>> + Send;
}

/// How operators ask for waves of maintenance, and are told of them, through the store.
pub trait WaveFormat: Clone + Send + Sync + 'static {
    /// The prefix of the keys that ask for waves.
    fn prefix(&self) -> &str;

    /// Reads a wave; none if the bytes do not describe one.
    fn read(&self, key: &str, bytes: &[u8], now: Timestamp) -> Option<Wave>;

    /// The key and the value that tell operators how a wave stands.
    fn status(&self, number: WaveNumber, state: WaveState) -> (String, Vec<u8>);
}
