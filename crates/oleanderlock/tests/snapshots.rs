//! Snapshot files: only an intact file of this deployment and format is accepted.

use bytes::Bytes;
use oleanderlock::config_journal::ConfigJournal;
use oleanderlock::journal_messages::JournalEntry;
use oleanderlock::prelude::*;
use oleanderlock::snapshot::{decode, encode};
use oleanderlock::snapshot_error::SnapshotError;

fn entry(name: &str, generation: u64, value: &str) -> JournalEntry {
    JournalEntry {
        name: name.to_owned(),
        generation: Generation(generation),
        value: Bytes::copy_from_slice(value.as_bytes()),
    }
}

fn entries() -> Vec<JournalEntry> {
    vec![
        entry("config/contracts/kalahari", 7, "weigh = idle\n"),
        entry("config/versions/advisor", 12, "41"),
        entry("config/contracts/old", 9, ""),
    ]
}

fn file() -> Vec<u8> {
    encode("windhoek", entries()).expect("text").to_vec()
}

#[test]
fn intact_file_decodes_to_the_same_entries() {
    assert_eq!(decode("windhoek", &file()), Ok(entries()));
    assert_eq!(
        decode("windhoek", &encode("windhoek", vec![]).unwrap()),
        Ok(vec![])
    );
}

#[test]
fn truncated_file_is_rejected() {
    let file = file();
    for end in 0..file.len() {
        assert!(decode("windhoek", &file[..end]).is_err(), "cut at {end}");
    }
    let mut longer = file.clone();
    longer.push(b' ');
    assert!(matches!(
        decode("windhoek", &longer),
        Err(SnapshotError::Length { .. })
    ));
}

#[test]
fn file_with_any_flipped_bit_is_rejected() {
    let file = file();
    for index in 0..file.len() * 8 {
        let mut changed = file.clone();
        changed[index / 8] ^= 1 << (index % 8);
        assert!(decode("windhoek", &changed).is_err(), "bit {index}");
    }
    // A crash before the flush can leave zeros at the end of the file.
    let mut zeros = file.clone();
    zeros[60..].fill(0);
    assert_eq!(decode("windhoek", &zeros), Err(SnapshotError::Checksum));
}

#[test]
fn error_tells_why_a_file_is_rejected() {
    assert_eq!(
        decode("bangkok", &file()),
        Err(SnapshotError::Foreign {
            found: "windhoek".to_owned()
        })
    );
    let mut newer = file();
    newer[8] = 2;
    assert_eq!(
        decode("windhoek", &newer),
        Err(SnapshotError::FormatVersion { found: 2 })
    );
    assert_eq!(
        decode("windhoek", b"[settings]\n"),
        Err(SnapshotError::NotASnapshot)
    );
    let binary = JournalEntry {
        value: Bytes::from_static(&[0xff]),
        ..entry("a", 1, "")
    };
    assert_eq!(
        encode("windhoek", vec![binary]),
        Err(SnapshotError::Malformed)
    );
}

#[test]
fn old_file_reverts_nothing() {
    let mut journal = ConfigJournal::new(Incarnation(1));
    journal.apply(entry("config/versions/advisor", 13, "42"));
    for old in decode("windhoek", &file()).unwrap() {
        journal.apply(old);
    }
    let version = journal.get("config/versions/advisor").unwrap();
    assert_eq!(version.value, "42");
    assert!(journal.get("config/contracts/kalahari").is_some());
    assert_eq!(
        decode("windhoek", &encode("windhoek", journal.entries()).unwrap())
            .unwrap()
            .len(),
        3
    );
}
