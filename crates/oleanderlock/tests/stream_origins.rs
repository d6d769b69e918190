//! What began streams: bounds of the records, and ids that stand for several streams.

use oleanderlock::routing::stream_origin::StreamOrigin;
use oleanderlock::routing::stream_origins::StreamOrigins;

/// Most records of the collections under test.
const RECORDS_MAX: usize = 8;

fn origin(service: &str, software: Option<&str>) -> StreamOrigin {
    StreamOrigin {
        service: service.to_owned(),
        software: software.map(str::to_owned),
        instance: None,
        started_unix_ms: None,
    }
}

#[test]
fn origin_is_found_by_the_id_of_its_stream_only() {
    let mut origins = StreamOrigins::new(RECORDS_MAX);
    origins.record("a", origin("llm", Some("v1")));
    origins.record("b", origin("llm", Some("v2")));
    origins.record("b", origin("llm", Some("v2")));
    assert_eq!(origins.get("a"), Some(&origin("llm", Some("v1"))));
    assert_eq!(origins.get("b"), Some(&origin("llm", Some("v2"))));
    assert_eq!(origins.get("c"), None);
}

#[test]
fn id_of_streams_with_different_origins_stands_for_none() {
    for other in [
        origin("llm", Some("v2")),
        origin("desk", Some("v1")),
        origin("llm", None),
    ] {
        let mut origins = StreamOrigins::new(RECORDS_MAX);
        origins.record("a", origin("llm", Some("v1")));
        origins.record("a", other);
        origins.record("a", origin("llm", Some("v1")));
        assert_eq!(origins.get("a"), None);
    }
}

#[test]
fn oldest_records_are_removed_first_and_long_ids_are_left_out() {
    let mut origins = StreamOrigins::new(RECORDS_MAX);
    for n in 0..100 {
        origins.record(&n.to_string(), origin("llm", Some("v1")));
        let known = (0..=n).filter(|n| origins.get(&n.to_string()).is_some());
        assert!(known.count() <= RECORDS_MAX);
        assert!(origins.get(&n.to_string()).is_some());
    }
    assert_eq!(origins.get("0"), None);
    assert!(origins.get("96").is_some());
    let long = "x".repeat(129);
    origins.record(&long, origin("llm", None));
    origins.record("", origin("llm", None));
    assert_eq!((origins.get(&long), origins.get("")), (None, None));
}
