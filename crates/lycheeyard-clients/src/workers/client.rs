use super::{WorkerError, Workers};
use crate::JsonClient;
use lycheeyard_protocol::platform::{
    PrepareReply, RenewRequest, StartRequest, StopRequest, TaskRequest, WorkerReport,
};
use std::net::SocketAddr;
use tokio::time::Instant;

/// A client of the workers over HTTP with JSON.
#[derive(Clone, Debug, Default)]
pub struct HttpWorkers {
    client: JsonClient,
}

impl Workers for HttpWorkers {
    async fn prepare(
        &self,
        worker: SocketAddr,
        req: TaskRequest,
        deadline: Instant,
    ) -> Result<PrepareReply, WorkerError> {
        let reply = self.client.post(worker, "/v1/prepare", &req, deadline);
        Ok(reply.await?)
    }

    async fn start(
        &self,
        worker: SocketAddr,
        req: StartRequest,
        deadline: Instant,
    ) -> Result<WorkerReport, WorkerError> {
        let reply = self.client.post(worker, "/v1/start", &req, deadline);
        Ok(reply.await?)
    }

    async fn stop(
        &self,
        worker: SocketAddr,
        req: StopRequest,
        deadline: Instant,
    ) -> Result<WorkerReport, WorkerError> {
        let reply = self.client.post(worker, "/v1/stop", &req, deadline);
        Ok(reply.await?)
    }

    async fn renew(
        &self,
        worker: SocketAddr,
        req: RenewRequest,
        deadline: Instant,
    ) -> Result<WorkerReport, WorkerError> {
        let reply = self.client.post(worker, "/v1/renew", &req, deadline);
        Ok(reply.await?)
    }

    async fn report(
        &self,
        worker: SocketAddr,
        deadline: Instant,
    ) -> Result<WorkerReport, WorkerError> {
        let reply = self.client.post(worker, "/v1/report", &(), deadline);
        Ok(reply.await?)
    }
}
