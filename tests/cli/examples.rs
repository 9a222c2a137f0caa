//! The examples are accepted by a running cluster of their deployment, and run there.

use crate::cluster::Cluster;
use lycheeyard_protocol::Ticket;
use lycheeyard_standin::Deployment;
use rstest::rstest;
use std::fs;

#[rstest]
#[case("cordillera", "survey-north", "grid-build-1")]
#[case("kapeng", "roastery-north", "cupping-batch-17")]
fn example_is_applied_and_runs(
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
fn example_has_the_racks_of_its_deployment(#[case] folder: &str, #[case] deployment: Deployment) {
    let text = fs::read_to_string(format!("examples/{folder}/ticket.toml")).expect("a ticket");
    let ticket: Ticket = toml::from_str(&text).expect("a valid ticket");
    let expected = deployment.data_centres().expect("valid names");
    assert_eq!(ticket.data_centres, expected);
    assert_eq!(ticket.organisations.len(), 4);
}
