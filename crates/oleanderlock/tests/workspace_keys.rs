//! Lookup of keys, the rule for keys while the configuration is not confirmed, and the owners of
//! jobs.

use oleanderlock::prelude::*;
use oleanderlock::workspaces::job_access::may_use_job;
use oleanderlock::workspaces::key_decision::KeyDecision;
use oleanderlock::workspaces::key_digest::KeyDigest;
use oleanderlock::workspaces::key_policy::KeyPolicy;
use oleanderlock::workspaces::key_table::KeyTable;
use oleanderlock::workspaces::key_usage::{KeyUsage, most_used};
use oleanderlock::workspaces::workspace::Workspace;

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: name.to_owned(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        rank: None,
    }
}

/// Guards against a key that opens another workspace, or one that changes its number.
#[test]
fn a_key_leads_to_its_workspace_and_number() {
    let table = KeyTable::new(&[workspace("a", &["k1", "k2"]), workspace("b", &["k3"])]);
    let find = |key: &str| {
        let holder = table.find(&KeyDigest::of(key.as_bytes()))?;
        Some((holder.workspace.to_string(), holder.number))
    };
    assert_eq!(find("k1"), Some(("a".to_owned(), 0)));
    assert_eq!(find("k2"), Some(("a".to_owned(), 1)));
    assert_eq!(find("k3"), Some(("b".to_owned(), 0)));
    for unknown in ["", "k", "k4", "k1 ", "K1"] {
        assert_eq!(find(unknown), None, "{unknown:?}");
    }
    assert!(table.conflicts.is_empty());
}

/// Guards against a shared key that belongs to the last workspace, or of which nobody is told.
#[test]
fn a_key_of_two_workspaces_belongs_to_the_first() {
    let table = KeyTable::new(&[
        workspace("a", &["k1", "k1"]),
        workspace("b", &["k2", "k1"]),
        workspace("c", &["k1"]),
    ]);
    let holder = table.find(&KeyDigest::of(b"k1"));
    assert_eq!(
        holder.map(|holder| holder.workspace.to_string()),
        Some("a".to_owned())
    );
    let conflicts = table.conflicts.iter().map(ToString::to_string);
    let conflicts: Vec<_> = conflicts.collect();
    assert_eq!(
        conflicts,
        ["key 1 of b belongs to a", "key 0 of c belongs to a"]
    );
}

/// Guards against a digest in a log line.
#[test]
fn the_debug_format_of_a_workspace_shows_no_digest() {
    let workspace = workspace("a", &["k1"]);
    let digest = serde_json::to_string(&workspace.keys[0]).expect("JSON");
    let text = format!("{workspace:?}");
    assert!(!text.contains(digest.trim_matches('"')), "{text}");
}

/// Guards against a 401 for a key that may have been added, against known keys that are refused
/// without `strict`, and against removed keys that are served on with it.
#[test]
fn keys_are_refused_by_what_may_have_changed() {
    use KeyDecision::{Serve, Unauthorized, Unconfirmed};
    let policy = |strict| KeyPolicy {
        strict,
        confirm_within: Millis(5000),
        config_within: Millis(3000),
    };
    let cases = [
        (0, false, Serve, Unauthorized),
        (3000, false, Serve, Unauthorized),
        (3001, false, Serve, Unconfirmed),
        (u64::MAX, false, Serve, Unconfirmed),
        (3000, true, Serve, Unauthorized),
        (3001, true, Serve, Unconfirmed),
        (5000, true, Serve, Unconfirmed),
        (5001, true, Unconfirmed, Unconfirmed),
        (u64::MAX, true, Unconfirmed, Unconfirmed),
    ];
    for (age, strict, known, unknown) in cases {
        let decide = |is_known| policy(strict).decide(is_known, Millis(age));
        assert_eq!(decide(true), known, "known, {age} ms, strict: {strict}");
        assert_eq!(
            decide(false),
            unknown,
            "unknown, {age} ms, strict: {strict}"
        );
    }
}

/// Guards against a job that another workspace, or a caller without one, may use.
#[test]
fn a_job_with_an_owner_is_open_to_its_owner_only() {
    assert!(may_use_job(Some("a"), Some("a")));
    assert!(!may_use_job(Some("a"), Some("b")));
    assert!(!may_use_job(Some("a"), None));
    assert!(may_use_job(None, Some("a")));
    assert!(may_use_job(None, None));
}

/// Guards against a log without bound, against uses that are lost between two logs, and against an
/// order that changes from log to log.
#[test]
fn the_most_used_keys_are_named_and_the_others_summed() {
    let table = KeyTable::new(&[workspace("a", &["k1", "k2"]), workspace("b", &["k3"])]);
    let mut usage = KeyUsage::default();
    for (key, count) in [("k1", 2), ("k2", 5), ("k3", 2)] {
        let holder = table
            .find(&KeyDigest::of(key.as_bytes()))
            .expect("a known key");
        (0..count).for_each(|_| usage.record(&holder));
    }
    let (most, others) = usage.take_keys(2);
    let most: Vec<_> = most
        .iter()
        .map(|used| (&*used.workspace, used.number, used.requests))
        .collect();
    assert_eq!(most, [("a", 1, 5), ("a", 0, 2)]);
    assert_eq!(others, 2);
    let (most, others) = most_used(usage.take_workspaces(), 16);
    let most: Vec<_> = most.iter().map(|(name, count)| (&**name, *count)).collect();
    assert_eq!(most, [("a", 7), ("b", 2)]);
    assert_eq!(others, 0);
    assert_eq!(usage.take_keys(2), (Vec::new(), 0));
    assert!(usage.take_workspaces().is_empty());
}
