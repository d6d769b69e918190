//! Odd entries in the platform's list of instances.

use oleander_daemon::store::instance_list::decode;

const ENTRY: &str = r#"{"name":"agent-1","role":"agent","http":"127.0.0.1:7080","link":"tcp://127.0.0.1:7081",
    "domain":"a","region":"r","state":"live"}"#;

#[test]
fn an_odd_entry_does_not_hide_the_others() {
    let nested = format!("{}0{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd = [
        nested.clone(),
        ENTRY.replace("\"live\"", &nested),
        ENTRY.replace("\"live\"", "1e400"),
        ENTRY.replace("\"live\"", "\"thinking\""),
        ENTRY.replace("127.0.0.1:7081", "127.0.0.1:99999"),
        ENTRY.replace("127.0.0.1:7080", "127.0.0.1:0"),
        ENTRY.replace("tcp://", ""),
        "null".to_owned(),
    ];
    for entry in odd {
        let list = format!(r#"{{"instances":[{ENTRY},{entry},{ENTRY}]}}"#);
        let instances = decode(&list).expect("a list");
        let names: Vec<&str> = instances.iter().map(|one| one.name.as_str()).collect();
        assert_eq!(names, ["agent-1", "agent-1"], "{:.60}", entry);
    }
    assert!(decode("{}").is_none());
}
