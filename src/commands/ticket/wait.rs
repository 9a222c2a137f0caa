use crate::{
    client::ApiClient,
    commands::flags,
    error::CliError,
    output::{Table, format_json},
};
use error_stack::Report;
use lycheeyard_protocol::{
    InstanceStatus, Problem, ProblemKind, Revision, StatusReport, TicketNumber,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const DEFAULT_TIMEOUT_MS: u64 = 12_000;
const POLL_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Deserialize)]
struct AcceptedTicket {
    revision: Revision,
    number: TicketNumber,
}

#[derive(Serialize)]
struct WaitResult {
    number: TicketNumber,
    revision: Revision,
    instances: Vec<InstanceStatus>,
}

/// Waits until a ticket is in force at the called entry instance and at each peer that its status
/// lists.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let mut options = flags::common_options();
    let help = "maximum time to wait in milliseconds (default 12000)";
    options.optopt("", "timeout-ms", help, "MS");
    let help = "minimum number of entry instances that must report the revision (default 1)";
    options.optopt("", "instances", help, "N");
    let usage_line = "Usage: lycheeyard ticket wait NUMBER";
    let matches = match flags::parse(&options, args, usage_line)? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let [number] = flags::positional(&matches, ["NUMBER"])?;
    let number: TicketNumber = flags::parse_value("NUMBER", number)?;
    let timeout = flags::parse_option(&matches, "timeout-ms")?.unwrap_or(DEFAULT_TIMEOUT_MS);
    let deadline = Instant::now() + Duration::from_millis(timeout);
    let min_instances = flags::parse_option(&matches, "instances")?.unwrap_or(1);
    let client = flags::client(&matches)?;
    let revision = find_revision(&client, number).await?;
    let wait = TicketWait {
        number,
        revision,
        min_instances,
        deadline,
    };
    let instances = wait.run(&client).await?;
    if matches.opt_present("json") {
        let result = WaitResult {
            number,
            revision,
            instances,
        };
        return format_json(&result);
    }
    Ok(format_result(number, revision, &instances))
}

async fn find_revision(
    client: &ApiClient,
    number: TicketNumber,
) -> Result<Revision, Report<CliError>> {
    let accepted: Vec<AcceptedTicket> = client.get("/v1/tickets").await?;
    let found = accepted.iter().find(|ticket| ticket.number == number);
    found.map(|ticket| ticket.revision).ok_or_else(|| {
        let text = format!("ticket {number} is not accepted");
        Report::new(CliError::Problem(Problem::not_run(
            ProblemKind::NotFound,
            text,
        )))
    })
}

/// The condition of a wait and its deadline.
struct TicketWait {
    number: TicketNumber,
    revision: Revision,
    min_instances: usize,
    deadline: Instant,
}

impl TicketWait {
    async fn run(&self, client: &ApiClient) -> Result<Vec<InstanceStatus>, Report<CliError>> {
        loop {
            let status: StatusReport = client.get("/v1/status").await?;
            let peers = status.peers.into_iter();
            let instances: Vec<InstanceStatus> =
                std::iter::once(status.instance).chain(peers).collect();
            let Some(behind) = self.list_behind(&instances) else {
                return Ok(instances);
            };
            if Instant::now() >= self.deadline {
                return Err(Report::new(CliError::NotInForce {
                    number: self.number,
                    revision: self.revision,
                    behind,
                }));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Lists the instances with an older revision, and the number of instances still missing from
    /// the status. Returns `None` when the ticket is in force everywhere.
    fn list_behind(&self, instances: &[InstanceStatus]) -> Option<String> {
        let behind = instances
            .iter()
            .filter(|status| status.revision < self.revision);
        let mut names: Vec<String> = behind.map(|status| status.instance.to_string()).collect();
        let unseen = self.min_instances.saturating_sub(instances.len());
        if unseen > 0 {
            names.push(format!("{unseen} not yet seen"));
        }
        (!names.is_empty()).then(|| names.join(", "))
    }
}

fn format_result(number: TicketNumber, revision: Revision, instances: &[InstanceStatus]) -> String {
    let mut table = Table::new(&["INSTANCE", "DATA CENTRE", "REVISION"]);
    for status in instances {
        table.push(vec![
            status.instance.to_string(),
            status.data_centre.to_string(),
            status.revision.to_string(),
        ]);
    }
    format!(
        "{table}ticket {number} (revision {revision}) is in force at all {} instances",
        instances.len()
    )
}
