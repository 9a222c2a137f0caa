//! The examples are accepted by a running cluster of their deployment, and their jobs run there.

use crate::cluster::Cluster;
use lycheeyard_protocol::Ticket;
use lycheeyard_standin::Deployment;
use rstest::rstest;
use std::fs;

#[rstest]
#[case("cordillera", "survey-north", "grid-build-1")]
#[case("kapeng", "roastery-north", "cupping-batch-17")]
fn example_ticket_is_accepted_and_job_runs(
    #[case] deployment: &str,
    #[case] organisation: &str,
    #[case] job: &str,
) {
    let cluster = Cluster::start(deployment);
    let file = |name: &str| format!("examples/{deployment}/{name}.toml");
    let ticket = cluster.run(&["ticket", "apply", &file("ticket")]);
    assert!(ticket.status.success(), "{ticket:?}");
    let waited = cluster.run(&["ticket", "wait", "10"]);
    assert!(waited.status.success(), "{waited:?}");
    let submitted = cluster.run(&["job", "submit", &file("job")]);
    assert!(submitted.status.success(), "{submitted:?}");
    cluster.wait_for(&["job", "show", organisation, job], "running");
}

#[rstest]
#[case("cordillera", Deployment::Cordillera)]
#[case("kapeng", Deployment::Kapeng)]
fn example_ticket_matches_data_centres_of_deployment(
    #[case] folder: &str,
    #[case] deployment: Deployment,
) {
    let text = fs::read_to_string(format!("examples/{folder}/ticket.toml"))
        .expect("example ticket is readable");
    let ticket: Ticket = toml::from_str(&text).expect("example ticket is valid");
    let expected = deployment
        .data_centres()
        .expect("deployment has valid names");
    assert_eq!(ticket.data_centres, expected);
    assert_eq!(ticket.organisations.len(), 4);
}
