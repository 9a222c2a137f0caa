use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, client::conn::http1, header::HOST};
use hyper_util::rt::TokioIo;
use lycheeyard_protocol::{
    DataCentreId, JobSpec, JobState, JobView, Outcome, Preemption, Priority, Shape, StatusReport,
    Ticket,
};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// How long a test waits for something that must come about.
const LIVENESS: Duration = Duration::from_secs(40);
const CALL: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(50);

/// Calls the interface of one entry process.
#[derive(Clone, Copy, Debug)]
pub struct Api {
    address: SocketAddr,
}

/// An answer, or none where the connection broke or stayed silent.
pub type Reply = Option<(StatusCode, Option<Outcome>, Bytes)>;

impl Api {
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    pub async fn put_ticket(&self, ticket: &Ticket) -> Reply {
        let body = serde_json::to_vec(ticket).expect("a ticket as JSON");
        let path = format!("/v1/tickets/{}", ticket.number);
        self.call(Method::PUT, &path, &[], body.into()).await
    }

    pub async fn submit(&self, spec: &JobSpec) -> Reply {
        let body = serde_json::to_vec(spec).expect("a job as JSON");
        let path = format!("/v1/jobs/{}/{}", spec.organisation, spec.job);
        self.call(Method::PUT, &path, &[], body.into()).await
    }

    pub async fn job(&self, spec: &JobSpec) -> Option<JobView> {
        let path = format!("/v1/jobs/{}/{}", spec.organisation, spec.job);
        let (_, _, body) = self.call(Method::GET, &path, &[], Bytes::new()).await?;
        serde_json::from_slice(&body).ok()
    }

    pub async fn status(&self) -> Option<StatusReport> {
        let (_, _, body) = self
            .call(Method::GET, "/v1/status", &[], Bytes::new())
            .await?;
        serde_json::from_slice(&body).ok()
    }

    pub async fn lookup(&self, organisation: &str, body: &str, work_us: u64) -> Reply {
        let work = work_us.to_string();
        let headers = [
            ("lycheeyard-organisation", organisation),
            ("standin-work-us", &work),
        ];
        let body = Bytes::from(body.to_owned());
        self.call(
            Method::POST,
            "/v1/services/delay-maps/lookup",
            &headers,
            body,
        )
        .await
    }

    /// Waits until a job is in a state.
    pub async fn wait_for_job(&self, spec: &JobSpec, state: JobState) -> JobView {
        let deadline = Instant::now() + LIVENESS;
        loop {
            let view = self.job(spec).await;
            if let Some(view) = view
                && view.record.state == state
            {
                return view;
            }
            assert!(
                Instant::now() < deadline,
                "{} did not become {state}",
                spec.job
            );
            sleep(POLL).await;
        }
    }

    /// Waits until the status satisfies a condition.
    pub async fn wait_for_status(&self, condition: impl Fn(&StatusReport) -> bool) -> StatusReport {
        let deadline = Instant::now() + LIVENESS;
        loop {
            let status = self.status().await;
            if let Some(status) = status.filter(&condition) {
                return status;
            }
            assert!(
                Instant::now() < deadline,
                "the status did not become as expected"
            );
            sleep(POLL).await;
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Reply {
        timeout(CALL, self.exchange(method, path, headers, body))
            .await
            .ok()
            .flatten()
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Reply {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, "entry");
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body)).expect("a request");
        let (parts, body) = sender.send_request(req).await.ok()?.into_parts();
        let outcome = parts.headers.get("lycheeyard-outcome");
        let outcome = outcome.and_then(|value| value.to_str().ok()?.parse().ok());
        Some((parts.status, outcome, body.collect().await.ok()?.to_bytes()))
    }
}

/// A job of `workers` whole workers that runs until it is stopped.
pub fn job_spec(data_centre: DataCentreId, organisation: &str, job: &str, workers: u16) -> JobSpec {
    JobSpec {
        organisation: organisation.parse().expect("a valid name"),
        job: job.parse().expect("a valid name"),
        data_centre,
        shape: Shape::new(workers, 8).expect("a valid shape"),
        priority: Priority::Normal,
        preemption: Preemption::Checkpoint,
        guaranteed: false,
        run_time_ms: 3_600_000,
        window_ms: None,
        payload: String::new(),
    }
}
