use super::FleetError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, client::conn::http1, header::HOST};
use hyper_util::rt::TokioIo;
use lycheeyard_protocol::{
    DataCentreId, JobSpec, JobState, JobView, Outcome, ParseError, Preemption, Priority, Shape,
    StatusReport, Ticket,
};
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const SERVICE_PATH: &str = "/v1/services/delay-maps/lookup";
const OUTCOME_HEADER: &str = "lycheeyard-outcome";
const ORGANISATION_HEADER: &str = "lycheeyard-organisation";
const WORK_HEADER: &str = "standin-work-us";

/// A complete response of an entry process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryReply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The outcome of the call according to the `lycheeyard-outcome` header.
    pub outcome: Option<Outcome>,
    /// The response body.
    pub body: Bytes,
}

/// A client for the API of one entry process, which opens a new connection for each call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryApi {
    address: SocketAddr,
}

impl EntryApi {
    /// Creates a client for the entry process at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// The address of the entry process.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a ticket.
    ///
    /// # Errors
    /// Fails when no complete response arrives within 20 seconds.
    pub async fn put_ticket(&self, ticket: &Ticket) -> Result<EntryReply, FleetError> {
        self.put(&format!("/v1/tickets/{}", ticket.number), ticket)
            .await
    }

    /// Submits a job.
    ///
    /// # Errors
    /// Fails when no complete response arrives within 20 seconds.
    pub async fn submit(&self, spec: &JobSpec) -> Result<EntryReply, FleetError> {
        self.put(&job_path(spec), spec).await
    }

    /// Reads a job.
    ///
    /// # Errors
    /// Fails when no complete response arrives within 20 seconds or the call is rejected.
    pub async fn job(&self, spec: &JobSpec) -> Result<JobView, FleetError> {
        self.get(&job_path(spec)).await
    }

    /// Reads the status report.
    ///
    /// # Errors
    /// Fails when no complete response arrives within 20 seconds or the call is rejected.
    pub async fn status(&self) -> Result<StatusReport, FleetError> {
        self.get("/v1/status").await
    }

    /// Sends an idempotent lookup request that takes `work_us` microseconds on its runner.
    ///
    /// # Errors
    /// Fails when no complete response arrives within 20 seconds.
    pub async fn lookup(
        &self,
        organisation: &str,
        body: &str,
        work_us: u64,
    ) -> Result<EntryReply, FleetError> {
        let work = work_us.to_string();
        let headers = [(ORGANISATION_HEADER, organisation), (WORK_HEADER, &work)];
        let body = Bytes::from(body.to_owned());
        self.call(Method::POST, SERVICE_PATH, &headers, body).await
    }

    /// Waits until the readiness check of the instance succeeds.
    ///
    /// # Errors
    /// Fails when this does not happen within 40 seconds.
    pub async fn wait_until_ready(&self) -> Result<(), FleetError> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            let reply = self.call(Method::GET, "/readyz", &[], Bytes::new()).await;
            if reply.is_ok_and(|reply| reply.status.is_success()) {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(FleetError::NotReached(
            "the instance is not ready".to_owned(),
        ))
    }

    /// Waits until a job is in the given state.
    ///
    /// # Errors
    /// Fails when this does not happen within 40 seconds.
    pub async fn wait_for_job(
        &self,
        spec: &JobSpec,
        state: JobState,
    ) -> Result<JobView, FleetError> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            let view = self.job(spec).await;
            if let Ok(view) = view
                && view.record.state == state
            {
                return Ok(view);
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(FleetError::NotReached(format!(
            "{} did not become {state}",
            spec.job
        )))
    }

    /// Waits until the status satisfies a condition.
    ///
    /// # Errors
    /// Fails with the last status when this does not happen within 40 seconds.
    pub async fn wait_for_status(
        &self,
        condition: impl Fn(&StatusReport) -> bool,
    ) -> Result<StatusReport, FleetError> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let status = self.status().await;
            match status {
                Ok(status) if condition(&status) => return Ok(status),
                last if Instant::now() >= deadline => {
                    return Err(FleetError::NotReached(format!(
                        "the status did not satisfy the condition; the last one was {last:?}"
                    )));
                }
                _ => sleep(POLL_INTERVAL).await,
            }
        }
    }

    async fn put<T: Serialize>(&self, path: &str, value: &T) -> Result<EntryReply, FleetError> {
        let body = serde_json::to_vec(value).map_err(|err| self.no_answer(&err))?;
        self.call(Method::PUT, path, &[], body.into()).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, FleetError> {
        let reply = self.call(Method::GET, path, &[], Bytes::new()).await?;
        serde_json::from_slice(&reply.body).map_err(|err| self.no_answer(&err))
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<EntryReply, FleetError> {
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, "entry");
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req
            .body(Full::new(body))
            .map_err(|err| self.no_answer(&err))?;
        let reply = timeout(CALL_TIMEOUT, self.exchange(req)).await;
        reply.map_err(|err| self.no_answer(&err))?
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<EntryReply, FleetError> {
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.map_err(|err| self.no_answer(&err))?;
        let opened = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = opened.map_err(|err| self.no_answer(&err))?;
        tokio::spawn(async move {
            // The call that uses the connection gets the error.
            let _ = connection.await;
        });
        let reply = sender
            .send_request(req)
            .await
            .map_err(|err| self.no_answer(&err))?;
        let (parts, body) = reply.into_parts();
        let body = body.collect().await.map_err(|err| self.no_answer(&err))?;
        let outcome = parts.headers.get(OUTCOME_HEADER);
        Ok(EntryReply {
            status: parts.status,
            outcome: outcome.and_then(|value| value.to_str().ok()?.parse().ok()),
            body: body.to_bytes(),
        })
    }

    fn no_answer(&self, err: &dyn std::error::Error) -> FleetError {
        FleetError::NoAnswer {
            address: self.address,
            reason: err.to_string(),
        }
    }
}

fn job_path(spec: &JobSpec) -> String {
    format!("/v1/jobs/{}/{}", spec.organisation, spec.job)
}

/// A job that uses all 8 accelerators of each of `workers` workers and runs until it is stopped.
///
/// # Errors
/// Fails when a name is invalid or `workers` is 0.
pub fn endless_job(
    data_centre: DataCentreId,
    organisation: &str,
    job: &str,
    workers: u16,
) -> Result<JobSpec, ParseError> {
    const ACCELERATORS: u16 = 8;
    const DECLARED_RUN_TIME_MS: u64 = 3_600_000;
    Ok(JobSpec {
        organisation: organisation.parse()?,
        job: job.parse()?,
        data_centre,
        shape: Shape::new(workers, ACCELERATORS)?,
        priority: Priority::Normal,
        preemption: Preemption::Checkpoint,
        guaranteed: false,
        run_time_ms: DECLARED_RUN_TIME_MS,
        window_ms: None,
        payload: String::new(),
    })
}
