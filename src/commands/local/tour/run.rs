use super::{
    check::{
        TourCheckError, check_gang_complete, check_no_shared_accelerator, check_one_preempted,
        check_requests, check_ticket,
    },
    documents::TourDocuments,
    progress::TourProgress,
};
use crate::{
    client::ApiClient, commands::local::cluster::LocalCluster, error::CliError, output::Table,
};
use bytes::Bytes;
use error_stack::Report;
use http_body_util::Full;
use hyper::Request;
use lycheeyard_protocol::{JobSpec, JobState, JobView, ProblemKind, StatusReport};
use lycheeyard_standin::Deployment;
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep};

const STEP_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const LOOKUP_COUNT: u32 = 50;

/// An end-to-end check of the main functions: tickets, access keys, jobs, requests and reclaim.
/// After the steps that apply the ticket, run jobs and send requests, it also compares the results
/// with the state of the stand-ins.
pub struct Tour<'a> {
    cluster: &'a LocalCluster,
    documents: TourDocuments<'a>,
    address: SocketAddr,
    client: ApiClient,
    progress: TourProgress,
}

impl<'a> Tour<'a> {
    /// Creates a tour of a running cluster.
    ///
    /// # Errors
    /// Fails when the cluster has no entry instance.
    pub fn new(
        cluster: &'a LocalCluster,
        deployment: Deployment,
    ) -> Result<Self, Report<CliError>> {
        let first = cluster.entries.first();
        let (data_centre, address) =
            first.ok_or_else(|| tour_error("the cluster has no entry instance"))?;
        Ok(Self {
            cluster,
            documents: TourDocuments {
                deployment,
                standins: &cluster.standins,
                data_centre: data_centre.clone(),
                key: cluster.key.clone(),
            },
            address: *address,
            client: cluster.client(*address),
            progress: TourProgress::new(),
        })
    }

    /// Runs all steps and returns a table of their results.
    ///
    /// # Errors
    /// Fails at the first step whose result is not the expected one.
    pub async fn run(mut self) -> Result<Table, Report<CliError>> {
        let revision = self.apply_ticket().await?;
        self.wait_in_force(revision).await?;
        self.check_keys().await?;
        let borrowers = self.start_borrowers().await?;
        self.start_guaranteed_job().await?;
        self.send_lookups().await?;
        self.reclaim(&borrowers).await?;
        Ok(self.progress.into_table())
    }

    async fn apply_ticket(&mut self) -> Result<u64, Report<CliError>> {
        self.progress.start_step("ticket with four organisations");
        let ticket = self.documents.ticket();
        let ticket = ticket.map_err(|err| tour_error(&err.to_string()))?;
        let path = format!("/v1/tickets/{}", ticket.number);
        let outcome: Value = self.client.put(&path, &ticket).await?;
        let revision = outcome["revision"].as_u64();
        let revision =
            revision.ok_or_else(|| tour_error("the response to the ticket has no revision"))?;
        check_ticket(&self.cluster.standins).map_err(check_error)?;
        self.progress.finish_step(format!("revision {revision}"));
        Ok(revision)
    }

    async fn wait_in_force(&mut self, revision: u64) -> Result<(), Report<CliError>> {
        self.progress.start_step("in force at every instance");
        let expected = self.cluster.entries.len();
        let deadline = Instant::now() + STEP_TIMEOUT;
        while Instant::now() < deadline {
            let status: StatusReport = self.client.get("/v1/status").await?;
            let statuses = std::iter::once(&status.instance).chain(&status.peers);
            if statuses
                .filter(|status| status.revision.0 >= revision)
                .count()
                == expected
            {
                self.progress.finish_step("confirmed by status".to_owned());
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(tour_error(
            "the ticket was not in force at every instance before the timeout",
        ))
    }

    /// Checks that calls without a key, or with an organisation's key that does not permit them, are
    /// rejected.
    async fn check_keys(&mut self) -> Result<(), Report<CliError>> {
        let Some(key) = self.cluster.key.clone() else {
            return Ok(());
        };
        self.progress
            .start_step("calls with a missing or wrong key");
        let anonymous = ApiClient::new(self.address);
        let organisation_client = anonymous
            .clone()
            .with_key(Some(key.for_organisation("org-a")));
        let calls = [
            (&anonymous, "/v1/jobs", ProblemKind::Unauthenticated),
            (&organisation_client, "/v1/tickets", ProblemKind::Forbidden),
            (
                &organisation_client,
                "/v1/jobs/org-b/borrower-1",
                ProblemKind::Forbidden,
            ),
        ];
        for (client, path, expected) in &calls {
            let error = client.get::<Value>(path).await.err();
            let kind = error.as_ref().and_then(|err| err.current_context().kind());
            if kind != Some(*expected) {
                return Err(tour_error(&format!(
                    "{path} was not rejected as {expected}"
                )));
            }
        }
        self.progress
            .finish_step(format!("{} rejected", calls.len()));
        Ok(())
    }

    async fn start_borrowers(&mut self) -> Result<Vec<JobSpec>, Report<CliError>> {
        self.progress.start_step("gangs on borrowed accelerators");
        let rack_workers = self.documents.deployment.size().rack_workers;
        let mut borrowers = Vec::new();
        for job in ["borrower-1", "borrower-2"] {
            borrowers.push(self.submit("org-b", job, rack_workers, false).await?);
        }
        for borrower in &borrowers {
            self.wait_until_running(borrower).await?;
        }
        self.progress
            .finish_step(format!("2 of {rack_workers}x8 running"));
        Ok(borrowers)
    }

    async fn start_guaranteed_job(&mut self) -> Result<(), Report<CliError>> {
        self.progress.start_step("job within its guarantee");
        let guaranteed = self.submit("org-c", "grid-build", 1, true).await?;
        self.wait_until_running(&guaranteed).await?;
        self.progress
            .finish_step(format!("{} running", guaranteed.shape));
        Ok(())
    }

    async fn reclaim(&mut self, borrowers: &[JobSpec]) -> Result<(), Report<CliError>> {
        self.progress.start_step("guaranteed shape reclaimed");
        let claimant = self.submit("org-a", "reclaim", 4, true).await?;
        self.wait_until_running(&claimant).await?;
        check_one_preempted(&self.cluster.standins, borrowers).map_err(check_error)?;
        check_no_shared_accelerator(&self.cluster.standins).map_err(check_error)?;
        let shape = claimant.shape;
        self.progress
            .finish_step(format!("{shape} running, 1 borrower preempted"));
        Ok(())
    }

    async fn submit(
        &self,
        organisation: &str,
        job: &str,
        workers: u16,
        guaranteed: bool,
    ) -> Result<JobSpec, Report<CliError>> {
        let spec = self.documents.job(organisation, job, workers, guaranteed);
        let spec = spec.map_err(|err| tour_error(&err.to_string()))?;
        let key = self.cluster.key.as_ref();
        let client = self.client.clone();
        let client = client.with_key(key.map(|key| key.for_organisation(organisation)));
        let path = format!("/v1/jobs/{}/{}", spec.organisation, spec.job);
        let _: JobView = client.put(&path, &spec).await?;
        Ok(spec)
    }

    /// Waits until the record of a job has the state `running`, and checks that its workers run the
    /// whole gang.
    async fn wait_until_running(&self, spec: &JobSpec) -> Result<(), Report<CliError>> {
        let path = format!("/v1/jobs/{}/{}", spec.organisation, spec.job);
        let deadline = Instant::now() + STEP_TIMEOUT;
        while Instant::now() < deadline {
            let view: JobView = self.client.get(&path).await?;
            if view.record.state == JobState::Running {
                return check_gang_complete(&self.cluster.standins, spec).map_err(check_error);
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(tour_error(&format!(
            "{path} was not running before the timeout"
        )))
    }

    async fn send_lookups(&mut self) -> Result<(), Report<CliError>> {
        self.progress.start_step("lookup requests");
        let key = self.cluster.key.as_ref();
        let client = self.client.clone();
        let client = client.with_key(key.map(|key| key.for_organisation("org-d")));
        for number in 0..LOOKUP_COUNT {
            self.send_lookup(&client, format!("lookup {number}"))
                .await?;
        }
        check_requests(&self.cluster.standins, u64::from(LOOKUP_COUNT)).map_err(check_error)?;
        self.progress
            .finish_step(format!("{LOOKUP_COUNT} complete responses"));
        Ok(())
    }

    async fn send_lookup(&self, client: &ApiClient, body: String) -> Result<(), Report<CliError>> {
        let path = format!(
            "/v1/services/{}/lookup",
            self.documents.deployment.service()
        );
        let req = Request::post(path)
            .header("lycheeyard-organisation", "org-d")
            .body(Full::new(Bytes::from(body.clone())))
            .map_err(|err| tour_error(&err.to_string()))?;
        let response = client.send(req).await?;
        if !response.status.is_success() {
            return Err(client.read_problem(&response));
        }
        if response.body != body.as_bytes() {
            return Err(tour_error(
                "the response to a lookup request does not match the request",
            ));
        }
        Ok(())
    }
}

fn check_error(err: TourCheckError) -> Report<CliError> {
    let text = err.to_string();
    Report::new(err).change_context(CliError::LocalCluster(text))
}

fn tour_error(text: &str) -> Report<CliError> {
    Report::new(CliError::LocalCluster(text.to_owned()))
}
