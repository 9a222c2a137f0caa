//! Tests of the redaction for golden files, which replaces only the parts that differ from run to
//! run. A filter that replaces more would hide regressions.

use crate::redact::{redact, redact_holders, redact_workers};
use rstest::rstest;

#[rstest]
#[case("at 1764800000000 ms", "at TIME ms\n")]
#[case(
    "cannot reach 127.0.0.1:45671: refused",
    "cannot reach 127.0.0.1:PORT: refused\n"
)]
#[case("default 127.0.0.1:7400", "default 127.0.0.1:7400\n")]
#[case(
    "a Thu, 03 Dec 2026 22:35:03 GMT  Fri, 04 Dec 2026 00:00:00 GMT b",
    "a TIME  TIME b\n"
)]
#[case("revision 12 of dc1-e2", "revision 12 of dc1-e2\n")]
#[case("memory 137438953472", "memory 137438953472\n")]
#[case("digest 3f1764800000000", "digest 3f1764800000000\n")]
#[case("a\n\nb", "a\n\nb\n")]
fn replaces_only_volatile_parts(#[case] text: &str, #[case] expected: &str) {
    assert_eq!(redact(text), expected);
}

#[rstest]
#[case("dc1-e1  dc1  1  epoch 3\ndc1-e2  dc1  1\ndc2-e1  dc2  1\n")]
#[case("dc1-e1  dc1  1\ndc1-e2  dc1  1  epoch 7\ndc2-e1  dc2  1\n")]
fn moves_lease_to_first_instance_of_data_centre(#[case] text: &str) {
    let expected = "dc1-e1  dc1  1  epoch N\ndc1-e2  dc1  1\ndc2-e1  dc2  1\n";
    assert_eq!(redact_holders(text), expected);
}

#[test]
#[should_panic(expected = "two holders in dc1")]
fn panics_when_data_centre_has_two_lease_holders() {
    redact_holders("dc1-e1  dc1  1  epoch 3\ndc1-e2  dc1  1  epoch 4\n");
}

#[rstest]
#[case("a dc1-w03,dc1-w01\nb dc1-w03\n", "a WORKER-1,WORKER-2\nb WORKER-1\n")]
#[case("dc1-e1 dc1 dc1-worker dc1-u01\n", "dc1-e1 dc1 dc1-worker dc1-u01\n")]
fn numbers_workers_by_first_occurrence(#[case] text: &str, #[case] expected: &str) {
    assert_eq!(redact_workers(text), expected);
}
