use super::{
    check::{
        TourFault, check_exclusive, check_one_gave_way, check_requests, check_ticket, check_whole,
    },
    documents::TourDocuments,
    progress::Progress,
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

const STEP_LIMIT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(50);
const LOOKUPS: u32 = 50;

/// Goes once through what the system does; every step is checked at the stand-ins.
pub struct Tour<'a> {
    cluster: &'a LocalCluster,
    documents: TourDocuments<'a>,
    address: SocketAddr,
    client: ApiClient,
    progress: Progress,
}

impl<'a> Tour<'a> {
    /// Makes a tour of a running cluster.
    ///
    /// # Errors
    /// Fails when the cluster has no entry instance.
    pub fn new(
        cluster: &'a LocalCluster,
        deployment: Deployment,
    ) -> Result<Self, Report<CliError>> {
        let first = cluster.entries.first();
        let (data_centre, address) =
            first.ok_or_else(|| failed("no entry instance is configured"))?;
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
            progress: Progress::new(),
        })
    }

    /// Takes every step and gives a table of what happened.
    ///
    /// # Errors
    /// Fails at the first step that is not as it should be.
    pub async fn run(mut self) -> Result<Table, Report<CliError>> {
        let revision = self.apply_ticket().await?;
        self.wait_in_force(revision).await?;
        self.check_keys().await?;
        let borrowers = self.start_borrowers().await?;
        self.start_grid_build().await?;
        self.send_lookups().await?;
        self.reclaim(&borrowers).await?;
        Ok(self.progress.into_table())
    }

    async fn apply_ticket(&mut self) -> Result<u64, Report<CliError>> {
        self.progress.begin("ticket with four organisations");
        let ticket = self.documents.ticket();
        let ticket = ticket.map_err(|err| failed(&err.to_string()))?;
        let path = format!("/v1/tickets/{}", ticket.number);
        let outcome: Value = self.client.put(&path, &ticket).await?;
        let revision = outcome["revision"].as_u64();
        let revision = revision.ok_or_else(|| failed("the ticket made no revision"))?;
        check_ticket(&self.cluster.standins).map_err(fault)?;
        self.progress.end(format!("revision {revision}"));
        Ok(revision)
    }

    async fn wait_in_force(&mut self, revision: u64) -> Result<(), Report<CliError>> {
        self.progress.begin("in force at every instance");
        let expected = self.cluster.entries.len();
        let deadline = Instant::now() + STEP_LIMIT;
        while Instant::now() < deadline {
            let status: StatusReport = self.client.get("/v1/status").await?;
            let all = std::iter::once(&status.instance).chain(&status.peers);
            if all.filter(|one| one.revision.0 >= revision).count() == expected {
                self.progress.end("seen in status".to_owned());
                return Ok(());
            }
            sleep(POLL).await;
        }
        Err(failed("the ticket was not in force everywhere in time"))
    }

    /// Checks that calls without a key and with another organisation's key are refused.
    async fn check_keys(&mut self) -> Result<(), Report<CliError>> {
        let Some(key) = self.cluster.key.clone() else {
            return Ok(());
        };
        self.progress.begin("calls without a fitting key");
        let stranger = ApiClient::new(self.address);
        let tenant = stranger
            .clone()
            .with_key(Some(key.of_organisation("org-a")));
        let calls = [
            (&stranger, "/v1/jobs", ProblemKind::Unauthenticated),
            (&tenant, "/v1/tickets", ProblemKind::Forbidden),
            (&tenant, "/v1/jobs/org-b/borrower-1", ProblemKind::Forbidden),
        ];
        for (client, path, expected) in &calls {
            let refused = client.get::<Value>(path).await.err();
            let kind = refused
                .as_ref()
                .and_then(|err| err.current_context().kind());
            if kind != Some(*expected) {
                return Err(failed(&format!("{path} was not refused as {expected}")));
            }
        }
        self.progress.end(format!("{} refused", calls.len()));
        Ok(())
    }

    async fn start_borrowers(&mut self) -> Result<Vec<JobSpec>, Report<CliError>> {
        self.progress.begin("gangs on borrowed accelerators");
        let rack = self.documents.deployment.size().rack_workers;
        let mut borrowers = Vec::new();
        for job in ["borrower-1", "borrower-2"] {
            borrowers.push(self.submit("org-b", job, rack, false).await?);
        }
        for borrower in &borrowers {
            self.wait_until_running(borrower).await?;
        }
        self.progress.end(format!("2 of {rack}x8 run"));
        Ok(borrowers)
    }

    async fn start_grid_build(&mut self) -> Result<(), Report<CliError>> {
        self.progress.begin("grid build in its guarantee");
        let build = self.submit("org-c", "grid-build", 1, true).await?;
        self.wait_until_running(&build).await?;
        self.progress.end(format!("{} runs", build.shape));
        Ok(())
    }

    async fn reclaim(&mut self, borrowers: &[JobSpec]) -> Result<(), Report<CliError>> {
        self.progress.begin("guaranteed shape reclaimed");
        let claimant = self.submit("org-a", "reclaim", 4, true).await?;
        self.wait_until_running(&claimant).await?;
        check_one_gave_way(&self.cluster.standins, borrowers).map_err(fault)?;
        check_exclusive(&self.cluster.standins).map_err(fault)?;
        let shape = claimant.shape;
        self.progress
            .end(format!("{shape} runs, 1 borrower gave way"));
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
        let spec = spec.map_err(|err| failed(&err.to_string()))?;
        let key = self.cluster.key.as_ref();
        let client = self.client.clone();
        let client = client.with_key(key.map(|key| key.of_organisation(organisation)));
        let path = format!("/v1/jobs/{}/{}", spec.organisation, spec.job);
        let _: JobView = client.put(&path, &spec).await?;
        Ok(spec)
    }

    /// Waits until a job's record says that it runs, and checks that its workers run all of it.
    async fn wait_until_running(&self, spec: &JobSpec) -> Result<(), Report<CliError>> {
        let path = format!("/v1/jobs/{}/{}", spec.organisation, spec.job);
        let deadline = Instant::now() + STEP_LIMIT;
        while Instant::now() < deadline {
            let view: JobView = self.client.get(&path).await?;
            if view.record.state == JobState::Running {
                return check_whole(&self.cluster.standins, spec).map_err(fault);
            }
            sleep(POLL).await;
        }
        Err(failed(&format!("{path} did not run in time")))
    }

    async fn send_lookups(&mut self) -> Result<(), Report<CliError>> {
        self.progress.begin("lookups");
        let key = self.cluster.key.as_ref();
        let client = self.client.clone();
        let client = client.with_key(key.map(|key| key.of_organisation("org-d")));
        for number in 0..LOOKUPS {
            self.send_lookup(&client, format!("lookup {number}"))
                .await?;
        }
        check_requests(&self.cluster.standins, u64::from(LOOKUPS)).map_err(fault)?;
        self.progress.end(format!("{LOOKUPS} answered whole"));
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
            .map_err(|err| failed(&err.to_string()))?;
        let answer = client.send(req).await?;
        if !answer.status.is_success() {
            return Err(client.read_problem(&answer));
        }
        if answer.body != body.as_bytes() {
            return Err(failed("a lookup got another answer than its own"));
        }
        Ok(())
    }
}

fn fault(err: TourFault) -> Report<CliError> {
    let text = err.to_string();
    Report::new(err).change_context(CliError::Tour(text))
}

fn failed(text: &str) -> Report<CliError> {
    Report::new(CliError::Tour(text.to_owned()))
}
