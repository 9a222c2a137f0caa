//! Values survive the way through text, and bad text is refused.

use lycheeyard_protocol::{Digest, ObjectName, OrganisationId, Shape, TicketNumber};
use rstest::rstest;

#[rstest]
#[case("2x8", 16)]
#[case("1x1", 1)]
#[case("128x8", 1024)]
fn shape_round_trip(#[case] text: &str, #[case] total: u32) {
    let shape: Shape = text.parse().expect("a valid shape");
    assert_eq!(shape.to_string(), text);
    assert_eq!(shape.total(), total);
}

#[rstest]
#[case("")]
#[case("8")]
#[case("0x8")]
#[case("2x0")]
#[case("2x8x1")]
#[case("-1x8")]
fn bad_shape_is_refused(#[case] text: &str) {
    assert!(text.parse::<Shape>().is_err());
}

#[rstest]
#[case("organisation/north")]
#[case("service/delay-maps")]
#[case("data-centre/dc1")]
fn object_name_round_trip(#[case] text: &str) {
    let name: ObjectName = text.parse().expect("a valid name");
    assert_eq!(name.to_string(), text);
}

#[rstest]
#[case("")]
#[case("a/b")]
#[case("spaced name")]
fn bad_organisation_is_refused(#[case] text: &str) {
    assert!(text.parse::<OrganisationId>().is_err());
}

#[test]
fn bad_numbers_and_digests_are_refused() {
    assert!("x".parse::<TicketNumber>().is_err());
    assert!("abc".parse::<Digest>().is_err());
}
