use super::MachineCallError;
use lycheeyard_jobs::{
    MachineInfo, MaintenanceAnswer, MaintenanceOrder, Wave, WaveNumber, WaveState,
};
use lycheeyard_protocol::{Epoch, InstanceId, Timestamp};
use std::{error::Error, future::Future};
use tokio::time::Instant;

/// One page of the list of machines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MachinePage {
    /// The machines of this page.
    pub machines: Vec<MachineInfo>,
    /// The token of the next page; `None` on the last one.
    pub next: Option<String>,
}

/// A client for the platform's machine management.
pub trait MachineCalls: Clone + Send + Sync + 'static {
    /// Reads one page of the machines; without a token the first one.
    ///
    /// # Errors
    /// Returns an error if there is no usable answer.
    fn list(
        &self,
        page_token: Option<&str>,
        deadline: Instant,
    ) -> impl Future<Output = Result<MachinePage, MachineCallError>> + Send;

    /// Orders a machine to begin its maintenance. Idempotent: a repeated order is confirmed again.
    ///
    /// # Errors
    /// Returns an error if there is no usable answer.
    fn maintain(
        &self,
        order: &MaintenanceOrder,
        holder: &InstanceId,
        epoch: Epoch,
        deadline: Instant,
    ) -> impl Future<Output = Result<MaintenanceAnswer, MachineCallError>> + Send;
}

/// The format in which operators request maintenance waves through the store and read their state.
pub trait WaveFormat: Clone + Send + Sync + 'static {
    /// Why the bytes do not describe a wave.
    type Error: Error + Send + Sync + 'static;

    /// Returns the prefix of the keys that request waves.
    fn prefix(&self) -> &str;

    /// Decodes a wave.
    ///
    /// # Errors
    /// Returns an error if the bytes do not describe one.
    fn read(&self, key: &str, bytes: &[u8], now: Timestamp) -> Result<Wave, Self::Error>;

    /// Returns the key and the value that show operators the state of a wave.
    fn status(&self, number: WaveNumber, state: WaveState) -> (String, Vec<u8>);
}
