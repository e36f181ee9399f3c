//! Closed failure domains and the age of what is known of them.

use std::sync::Arc;

use yuccaridge::evacuation::Evacuations;

/// Requests for these domains, all of which were known at 1,000 ms.
fn evacuations(domains: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    for domain in domains {
        evacuations.close(Arc::from(*domain));
    }
    evacuations.known_at = Some(1_000);
    evacuations
}

/// Guards against a request that closes or opens other domains, too.
#[test]
fn requests_are_independent_of_each_other() {
    let mut evacuations = evacuations(&["d0", "d1"]);

    evacuations.open("d0");
    evacuations.open("d2");

    assert_eq!(
        ["d0", "d1", "d2", "d"].map(|domain| evacuations.closes(domain)),
        [false, true, false, false]
    );
}

/// Guards against a domain that stays closed because its request was read twice.
#[test]
fn a_request_that_was_read_twice_is_taken_back_once() {
    let mut evacuations = evacuations(&["d0", "d0"]);

    evacuations.open("d0");

    assert!(evacuations.domains().is_empty());
}

/// Guards against starts on a domain that may have been closed since the requests were read.
#[test]
fn old_knowledge_allows_no_start() {
    let evacuations = evacuations(&["d0"]);
    let allowed = |domain, now| evacuations.allows_start(domain, Some(700), now);

    assert_eq!([1_000, 1_700, 1_701].map(|now| allowed("d1", now)), [true, true, false]);
    assert_eq!([1_000, 1_701].map(|now| allowed("d0", now)), [false, false]);
}

/// Guards against starts of a leader that has not read any request yet.
#[test]
fn unread_requests_allow_no_start() {
    let evacuations = Evacuations::default();

    assert!(!evacuations.allows_start("d0", Some(700), 0));
}

/// Guards against starts that are held back on a site without evacuations.
#[test]
fn knowledge_has_no_age_on_a_site_without_evacuations() {
    let evacuations = evacuations(&["d0"]);

    assert!(evacuations.allows_start("d1", None, u64::MAX));
    assert!(!evacuations.allows_start("d0", None, 1_000));
}

/// Guards against a start under way at the end of the bound.
#[test]
fn knowledge_is_stale_before_the_bound() {
    assert_eq!(Evacuations::stale_after_ms(2_000.0), 1_400);
}
