//! Guards against a load generator whose figures mislead: requests that differ from the load document, requests that are
//! counted twice or not at all, and failures that do not show in the report.

use lycheeyard_bench::{
    Arrivals, FaultEvent, LoadDocument, LoadError, LoadMode, OrganisationShare, Progress, Target,
    plot_report, run_load,
};
use lycheeyard_protocol::{RequestsPerSecond, RunnerId};
use lycheeyard_standin::{FaultSettings, RunnerStandin};
use rstest::rstest;
use std::{collections::BTreeMap, time::Duration};

fn document(mode: LoadMode) -> LoadDocument {
    let share = |id: &str, share| OrganisationShare {
        id: id.parse().expect("name is valid"),
        share,
        key: None,
    };
    LoadDocument {
        mode,
        duration_ms: 400,
        warm_up_ms: 0,
        seed: 7,
        service: "lookups".parse().expect("name is valid"),
        path: "grid".to_owned(),
        body_bytes: 64,
        deadline_ms: 5_000,
        work_us: None,
        organisations: vec![share("org-a", 3), share("org-b", 1)],
        faults: Vec::new(),
    }
}

fn open_loop(rate: u32) -> LoadDocument {
    document(LoadMode::Open {
        rate: RequestsPerSecond(rate),
    })
}

async fn runner() -> RunnerStandin {
    let id: RunnerId = "runner".parse().expect("name is valid");
    RunnerStandin::start(id, Duration::ZERO)
        .await
        .expect("loopback port is free")
}

#[test]
fn arrivals_are_deterministic_and_match_rate() {
    let document = open_loop(1000);
    let first: Vec<_> = Arrivals::new(&document, 1000).take(10_000).collect();
    let second: Vec<_> = Arrivals::new(&document, 1000).take(10_000).collect();
    assert_eq!(first, second);
    let last = first
        .last()
        .expect("arrivals are not empty")
        .due
        .as_secs_f64();
    assert!(
        (9.5..10.5).contains(&last),
        "10,000 arrivals at 1,000/s took {last} s"
    );
    let from_org_a = first
        .iter()
        .filter(|arrival| arrival.organisation == 0)
        .count();
    assert!(
        (7_200..7_800).contains(&from_org_a),
        "expected three quarters of the arrivals from org-a, got {from_org_a}"
    );
}

#[rstest]
#[case(open_loop(0), "mode")]
#[case(document(LoadMode::Closed { callers: 0 }), "mode")]
#[case(LoadDocument { warm_up_ms: 400, ..open_loop(1) }, "duration_ms")]
#[case(LoadDocument { deadline_ms: 0, ..open_loop(1) }, "deadline_ms")]
#[case(LoadDocument { body_bytes: 2 << 20, ..open_loop(1) }, "body_bytes")]
#[case(LoadDocument { organisations: Vec::new(), ..open_loop(1) }, "organisations")]
fn rejects_invalid_document_with_field_name(
    #[case] document: LoadDocument,
    #[case] expected: &str,
) {
    match document.check() {
        Err(LoadError::Document { field, .. }) => assert_eq!(field, expected),
        other => panic!("expected an invalid document, got {other:?}"),
    }
}

#[tokio::test]
async fn counts_every_scheduled_request_once() {
    let runner = runner().await;
    let document = open_loop(200);
    let due = Arrivals::new(&document, 200)
        .take_while(|arrival| arrival.due < Duration::from_millis(400))
        .count();
    let targets = vec![Target::Runner(runner.address())];
    let report = run_load(document, targets, &BTreeMap::new(), Progress::default())
        .await
        .expect("load run succeeds");
    assert_eq!(report.total.sent, due as u64);
    assert_eq!(report.total.answered, due as u64);
    assert_eq!(runner.counts().begun, due as u64);
    assert!(
        plot_report(&report)
            .expect("plot can be drawn")
            .contains("<svg")
    );
}

#[tokio::test]
async fn reports_failed_requests_when_runner_is_down() {
    let runner = runner().await;
    let mut document = open_loop(200);
    document.faults = vec![FaultEvent {
        at_ms: 0,
        target: "upstream".to_owned(),
        settings: FaultSettings {
            down: true,
            ..FaultSettings::default()
        },
    }];
    let targets = vec![Target::Runner(runner.address())];
    let names = BTreeMap::from([("upstream".to_owned(), runner.address())]);
    let report = run_load(document, targets, &names, Progress::default())
        .await
        .expect("load run succeeds");
    assert!(report.total.failed > 0, "{report}");
    assert_eq!(report.total.wrong, 0);
}

#[tokio::test]
async fn rejects_unknown_fault_target() {
    let mut document = open_loop(1);
    document.faults = vec![FaultEvent {
        at_ms: 0,
        target: "nobody".to_owned(),
        settings: FaultSettings::default(),
    }];
    let targets = vec![Target::Runner(([127, 0, 0, 1], 1).into())];
    let result = run_load(document, targets, &BTreeMap::new(), Progress::default()).await;
    assert!(matches!(result, Err(LoadError::UnknownFaultTarget(_))));
}

/// Guards against figures of a run in which what sends the requests has panicked: the shares of these organisations have no sum, so
/// that no organisation can be drawn.
#[rstest]
#[case::open(LoadMode::Open { rate: RequestsPerSecond(200) })]
#[case::closed(LoadMode::Closed { callers: 2 })]
#[tokio::test]
async fn panic_of_a_sender_fails_the_run(#[case] mode: LoadMode) {
    let runner = runner().await;
    let mut document = document(mode);
    for organisation in &mut document.organisations {
        organisation.share = u32::MAX;
    }
    let targets = vec![Target::Runner(runner.address())];
    let result = run_load(document, targets, &BTreeMap::new(), Progress::default()).await;
    assert!(matches!(result, Err(LoadError::Task(_))), "{result:?}");
}
