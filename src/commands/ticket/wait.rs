use crate::{client::ApiClient, commands::flags, error::CliError, output::Table};
use error_stack::Report;
use lycheeyard_protocol::{
    InstanceStatus, Problem, ProblemKind, Revision, StatusReport, TicketNumber,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const DEFAULT_TIMEOUT_MS: u64 = 12_000;
const POLL: Duration = Duration::from_millis(200);

#[derive(Deserialize)]
struct Accepted {
    revision: Revision,
    number: TicketNumber,
}

#[derive(Serialize)]
struct InForce {
    number: TicketNumber,
    revision: Revision,
    instances: Vec<InstanceStatus>,
}

/// Waits until a ticket is in force at every entry instance that the called one knows.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let mut options = flags::call_options();
    let help = "longest wait in milliseconds (default 12000)";
    options.optopt("", "timeout-ms", help, "MS");
    let help = "number of entry instances that must be seen at least (default 1)";
    options.optopt("", "instances", help, "N");
    let brief = "Usage: lycheeyard ticket wait NUMBER";
    let matches = match flags::parse(&options, args, brief)? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let [number] = flags::arguments(&matches, ["NUMBER"])?;
    let number: TicketNumber = flags::value("NUMBER", number)?;
    let timeout = flags::option(&matches, "timeout-ms")?.unwrap_or(DEFAULT_TIMEOUT_MS);
    let deadline = Instant::now() + Duration::from_millis(timeout);
    let least = flags::option(&matches, "instances")?.unwrap_or(1);
    let client = flags::client(&matches)?;
    let revision = find_revision(&client, number).await?;
    let wait = Wait {
        number,
        revision,
        least,
        deadline,
    };
    let instances = wait.run(&client).await?;
    if matches.opt_present("json") {
        let answer = InForce {
            number,
            revision,
            instances,
        };
        return Ok(serde_json::to_string(&answer).unwrap_or_default());
    }
    Ok(describe(number, revision, &instances))
}

async fn find_revision(
    client: &ApiClient,
    number: TicketNumber,
) -> Result<Revision, Report<CliError>> {
    let accepted: Vec<Accepted> = client.get("/v1/tickets").await?;
    let found = accepted.iter().find(|ticket| ticket.number == number);
    found.map(|ticket| ticket.revision).ok_or_else(|| {
        let text = format!("ticket {number} is not accepted");
        Report::new(CliError::Problem(Problem::not_run(
            ProblemKind::NotFound,
            text,
        )))
    })
}

/// What is waited for, and until when.
struct Wait {
    number: TicketNumber,
    revision: Revision,
    least: usize,
    deadline: Instant,
}

impl Wait {
    async fn run(&self, client: &ApiClient) -> Result<Vec<InstanceStatus>, Report<CliError>> {
        loop {
            let status: StatusReport = client.get("/v1/status").await?;
            let peers = status.peers.into_iter();
            let instances: Vec<InstanceStatus> =
                std::iter::once(status.instance).chain(peers).collect();
            let Some(behind) = self.find_behind(&instances) else {
                return Ok(instances);
            };
            if Instant::now() >= self.deadline {
                return Err(Report::new(CliError::NotInForce {
                    number: self.number,
                    revision: self.revision,
                    behind,
                }));
            }
            sleep(POLL).await;
        }
    }

    /// What is still behind, for people; none when the ticket is in force everywhere.
    fn find_behind(&self, instances: &[InstanceStatus]) -> Option<String> {
        let behind = instances
            .iter()
            .filter(|status| status.revision < self.revision);
        let mut names: Vec<String> = behind.map(|status| status.instance.to_string()).collect();
        let unseen = self.least.saturating_sub(instances.len());
        if unseen > 0 {
            names.push(format!("{unseen} unseen"));
        }
        (!names.is_empty()).then(|| names.join(", "))
    }
}

fn describe(number: TicketNumber, revision: Revision, instances: &[InstanceStatus]) -> String {
    let mut table = Table::new(&["INSTANCE", "DATA CENTRE", "REVISION"]);
    for status in instances {
        table.push(vec![
            status.instance.to_string(),
            status.data_centre.to_string(),
            status.revision.to_string(),
        ]);
    }
    format!(
        "{table}ticket {number} (revision {revision}) is in force at all {} of them",
        instances.len()
    )
}
