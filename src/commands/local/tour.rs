use super::cluster::LocalCluster;
use crate::{client::ApiClient, error::CliError, output::Table};
use bytes::Bytes;
use error_stack::Report;
use http_body_util::Full;
use hyper::Request;
use lycheeyard_protocol::{
    DataCentreId, Guarantee, JobSpec, JobState, JobView, Organisation, OrganisationId, ParseError,
    Preemption, Priority, RequestsPerSecond, Service, Shape, Slots, StatusReport, Ticket,
    TicketNumber, Weight,
};
use lycheeyard_standin::Deployment;
use serde_json::Value;
use std::{collections::BTreeSet, io::IsTerminal, time::Duration};
use tokio::time::{Instant, sleep};

const STEP_LIMIT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(50);
const LOOKUPS: usize = 50;

/// Goes once through what the system does.
pub struct Tour<'a> {
    cluster: &'a LocalCluster,
    deployment: Deployment,
    client: ApiClient,
    data_centre: DataCentreId,
    table: Table,
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
            deployment,
            client: ApiClient::new(*address),
            data_centre: data_centre.clone(),
            table: Table::new(&["STEP", "RESULT", "MS"]),
        })
    }

    /// Takes every step and gives a table of what happened.
    ///
    /// # Errors
    /// Fails at the first step that is not as it should be.
    pub async fn run(mut self) -> Result<Table, Report<CliError>> {
        let started = Instant::now();
        let revision = self.apply_ticket().await?;
        self.note(
            "ticket with four organisations",
            &format!("revision {revision}"),
            started,
        );
        let started = Instant::now();
        self.wait_in_force(revision).await?;
        self.note("in force at every instance", "seen in status", started);
        let started = Instant::now();
        let rack = self.deployment.size().rack_workers;
        let borrowers = [
            self.submit("org-b", "borrower-1", rack, false).await?,
            self.submit("org-b", "borrower-2", rack, false).await?,
        ];
        for borrower in &borrowers {
            self.wait_for(borrower, JobState::Running).await?;
        }
        self.note(
            "gangs on borrowed accelerators",
            &format!("2 of {rack}x8 run"),
            started,
        );
        let started = Instant::now();
        let build = self.submit("org-c", "grid-build", 1, true).await?;
        self.wait_for(&build, JobState::Running).await?;
        self.note("grid build in its guarantee", "1x8 runs", started);
        let started = Instant::now();
        self.send_lookups().await?;
        self.note("lookups", &format!("{LOOKUPS} answered whole"), started);
        let started = Instant::now();
        let claimant = self.submit("org-a", "reclaim", 4, true).await?;
        self.wait_for(&claimant, JobState::Running).await?;
        self.check_one_gave_way(&borrowers).await?;
        self.note(
            "guaranteed shape reclaimed",
            "4x8 runs, 1 borrower gave way",
            started,
        );
        self.check_workers()?;
        Ok(self.table)
    }

    fn note(&mut self, step: &str, result: &str, started: Instant) {
        let millis = started.elapsed().as_millis().to_string();
        if std::io::stderr().is_terminal() {
            eprintln!("{step}: {result} ({millis} ms)");
        }
        self.table
            .push(vec![step.to_owned(), result.to_owned(), millis]);
    }

    async fn apply_ticket(&self) -> Result<u64, Report<CliError>> {
        let ticket = self.make_ticket().map_err(|err| failed(&err.to_string()))?;
        let path = format!("/v1/tickets/{}", ticket.number);
        let outcome: Value = self.client.put(&path, &ticket).await?;
        outcome["revision"]
            .as_u64()
            .ok_or_else(|| failed("the ticket made no revision"))
    }

    fn make_ticket(&self) -> Result<Ticket, ParseError> {
        let service = Service {
            id: self.deployment.service().parse()?,
            organisations: BTreeSet::new(),
            runner_slots: Slots(8),
            runner_connections: Slots(64),
        };
        Ok(Ticket {
            number: TicketNumber(1),
            summary: "Four organisations share the deployment".to_owned(),
            data_centres: self.cluster.standins.data_centres.clone(),
            organisations: vec![
                self.organisation("org-a", 4)?,
                self.organisation("org-b", 1)?,
                self.organisation("org-c", 1)?,
                self.organisation("org-d", 1)?,
            ],
            services: vec![service],
            removed: Vec::new(),
        })
    }

    fn organisation(&self, id: &str, workers: u16) -> Result<Organisation, ParseError> {
        Ok(Organisation {
            id: id.parse()?,
            weight: Weight(1),
            concurrency: Slots(64),
            rate: RequestsPerSecond(1000),
            guarantees: vec![Guarantee {
                data_centre: self.data_centre.clone(),
                shape: Shape::new(workers, 8)?,
            }],
            key_digests: Vec::new(),
        })
    }

    async fn wait_in_force(&self, revision: u64) -> Result<(), Report<CliError>> {
        let expected = self.cluster.entries.len();
        let deadline = Instant::now() + STEP_LIMIT;
        while Instant::now() < deadline {
            let status: StatusReport = self.client.get("/v1/status").await?;
            let all = std::iter::once(&status.instance).chain(&status.peers);
            if all.filter(|one| one.revision.0 >= revision).count() == expected {
                return Ok(());
            }
            sleep(POLL).await;
        }
        Err(failed("the ticket was not in force everywhere in time"))
    }

    async fn submit(
        &self,
        organisation: &str,
        job: &str,
        workers: u16,
        guaranteed: bool,
    ) -> Result<JobSpec, Report<CliError>> {
        let spec = self
            .make_job(organisation, job, workers, guaranteed)
            .map_err(|err| failed(&err.to_string()))?;
        let path = format!("/v1/jobs/{}/{}", spec.organisation, spec.job);
        let _: JobView = self.client.put(&path, &spec).await?;
        Ok(spec)
    }

    fn make_job(
        &self,
        organisation: &str,
        job: &str,
        workers: u16,
        guaranteed: bool,
    ) -> Result<JobSpec, ParseError> {
        Ok(JobSpec {
            organisation: organisation.parse::<OrganisationId>()?,
            job: job.parse()?,
            data_centre: self.data_centre.clone(),
            shape: Shape::new(workers, 8)?,
            priority: Priority::Normal,
            preemption: Preemption::Checkpoint,
            guaranteed,
            run_time_ms: 3_600_000,
            window_ms: None,
            payload: String::new(),
        })
    }

    async fn wait_for(&self, spec: &JobSpec, state: JobState) -> Result<(), Report<CliError>> {
        let path = format!("/v1/jobs/{}/{}", spec.organisation, spec.job);
        let deadline = Instant::now() + STEP_LIMIT;
        while Instant::now() < deadline {
            let view: JobView = self.client.get(&path).await?;
            if view.record.state == state {
                return Ok(());
            }
            sleep(POLL).await;
        }
        Err(failed(&format!(
            "{}/{} did not become {state}",
            spec.organisation, spec.job
        )))
    }

    async fn check_one_gave_way(&self, borrowers: &[JobSpec]) -> Result<(), Report<CliError>> {
        let mut reclaims = 0;
        for spec in borrowers {
            let path = format!("/v1/jobs/{}/{}", spec.organisation, spec.job);
            let view: JobView = self.client.get(&path).await?;
            reclaims += view.record.reclaims;
        }
        if reclaims != 1 {
            return Err(failed(&format!(
                "{reclaims} borrowers gave way instead of 1"
            )));
        }
        Ok(())
    }

    async fn send_lookups(&self) -> Result<(), Report<CliError>> {
        for number in 0..LOOKUPS {
            let body = format!("lookup {number}");
            let path = format!("/v1/services/{}/lookup", self.deployment.service());
            let req = Request::post(path)
                .header("lycheeyard-organisation", "org-d")
                .body(Full::new(Bytes::from(body.clone())))
                .map_err(|err| failed(&err.to_string()))?;
            let answer = self.client.send(req).await?;
            if !answer.status.is_success() {
                return Err(self.client.read_problem(&answer));
            }
            if answer.body != body.as_bytes() {
                return Err(failed("a lookup got another answer than its own"));
            }
        }
        Ok(())
    }

    /// Checks on the workers themselves that no two running tasks hold the same accelerator.
    fn check_workers(&self) -> Result<(), Report<CliError>> {
        for (worker, standin) in &self.cluster.standins.workers {
            let mut held = BTreeSet::new();
            for task in standin.report().tasks {
                let holds = task.state == lycheeyard_protocol::platform::TaskState::Running;
                if holds && !task.accelerators.iter().all(|index| held.insert(*index)) {
                    return Err(failed(&format!(
                        "{worker} runs two tasks on one accelerator"
                    )));
                }
            }
        }
        Ok(())
    }
}

fn failed(text: &str) -> Report<CliError> {
    Report::new(CliError::Tour(text.to_owned()))
}
