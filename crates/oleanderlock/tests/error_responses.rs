//! Every error kind has an HTTP error status and a name that parses.

use oleanderlock::prelude::*;
use strum::VariantArray;

#[test]
fn every_kind_has_an_error_status_and_a_name_that_parses_back() {
    for kind in ErrorKind::VARIANTS {
        assert!((400..600).contains(&kind.response().status), "{kind}");
        assert_eq!(kind.to_string().parse(), Ok(*kind));
    }
}
