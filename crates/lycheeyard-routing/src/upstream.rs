use crate::connection::ConnectionPool;
use lycheeyard_protocol::DataCentreId;
use lycheeyard_state::Configuration;
use std::sync::Arc;
use tokio::sync::watch;

/// A runner or entry instance to which a try sends a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Upstream<'a> {
    /// The name of the runner or entry instance.
    pub name: &'a str,
    /// Its data centre.
    pub data_centre: &'a DataCentreId,
    /// The connections of this instance to it.
    pub pool: &'a ConnectionPool,
    /// The configuration in force here, which may change while a try waits for a connection.
    pub config: &'a watch::Receiver<Arc<Configuration>>,
}

impl Upstream<'_> {
    /// Whether its data centre is evacuated now, so that it gets neither a request nor a new connection.
    pub fn is_evacuated(&self) -> bool {
        self.config.borrow().is_evacuated(self.data_centre)
    }
}
