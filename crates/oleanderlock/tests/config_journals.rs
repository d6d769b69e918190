//! Configuration journals: every change reaches every process, and no object reverts.

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use bytes::Bytes;
use oleanderlock::config_journal::{ConfigJournal, MAX_OBJECTS};
use oleanderlock::journal_messages::*;
use oleanderlock::prelude::*;
use oleanderlock::site::Site;
use oleanderlock::watcher_choice::{WatcherCounts, gossip_peers, is_watcher};
use std::collections::BTreeMap;

const SEEDS: std::ops::Range<u64> = 1..201;
const HEARTBEAT_MS: u64 = 1000;

fn entry(name: &str, generation: u64) -> JournalEntry {
    JournalEntry {
        name: name.to_owned(),
        generation: Generation(generation),
        value: Bytes::from(format!("{name}@{generation}")),
    }
}

fn journal(epoch: u64) -> ConfigJournal {
    ConfigJournal::new(Incarnation(epoch))
}

/// Transfers all changes of `from` to `to`; returns the names of the objects that changed.
fn pull(now: u64, from: &ConfigJournal, to: &mut ConfigJournal) -> Vec<String> {
    let Some(JournalAnswer::Fetch(mut fetch)) = to.on_digest(Millis(now), "from", from.digest())
    else {
        return Vec::new();
    };
    let mut changed = Vec::new();
    loop {
        let outcome = to.on_entries(Millis(now), "from", from.on_fetch(fetch));
        changed.extend(outcome.changed);
        match outcome.fetch {
            Some(next) => fetch = next.fetch,
            None => return changed,
        }
    }
}

#[test]
fn only_a_greater_generation_replaces_an_object() {
    let mut journal = journal(1);
    assert!(journal.apply(entry("a", 5)));
    let digest = journal.digest();
    assert!(!journal.apply(entry("a", 5)));
    assert!(!journal.apply(entry("a", 4)));
    assert_eq!(journal.digest(), digest);
    assert!(journal.apply(entry("a", 6)));
    assert_eq!(journal.get("a"), Some(entry("a", 6)));
}

#[test]
fn deleted_object_stays_deleted() {
    let mut journal = journal(1);
    journal.apply(entry("a", 5));
    journal.apply(entry("b", 6));
    let listing = vec![entry("b", 6)];
    assert_eq!(journal.apply_listing(Generation(9), listing.clone()), ["a"]);
    assert_eq!(journal.get("a"), None);
    assert!(!journal.apply(entry("a", 5)));
    assert!(journal.apply_listing(Generation(9), listing).is_empty());
    // A listing older than an object does not delete it.
    journal.apply(entry("c", 12));
    assert!(
        journal
            .apply_listing(Generation(11), vec![entry("b", 6)])
            .is_empty()
    );
    assert_eq!(journal.get("c"), Some(entry("c", 12)));
}

#[test]
fn peer_fetches_only_changes_and_all_objects_after_a_restart() {
    let mut from = journal(1);
    let mut to = journal(2);
    for index in 0..10 {
        from.apply(entry(&format!("o{index}"), index + 1));
    }
    assert_eq!(pull(0, &from, &mut to).len(), 10);
    assert_eq!(from.digest().digest, to.digest().digest);
    from.apply(entry("o3", 20));
    let answer = to.on_digest(Millis(1), "from", from.digest());
    let fetch = JournalFetch {
        epoch: Incarnation(1),
        after: 10,
    };
    assert_eq!(answer, Some(JournalAnswer::Fetch(fetch)));
    assert_eq!(from.on_fetch(fetch).entries, [entry("o3", 20)]);
    // An offset of another epoch is ignored.
    let fetch = JournalFetch {
        epoch: Incarnation(9),
        after: 10,
    };
    let all = from.on_fetch(fetch);
    assert_eq!((all.after, all.entries.len()), (0, 10));
}

#[test]
fn answer_that_would_leave_a_gap_does_not_advance_the_cursor() {
    let mut from = journal(1);
    let mut to = journal(2);
    from.apply(entry("a", 1));
    from.apply(entry("b", 2));
    let late = from.on_fetch(JournalFetch {
        epoch: Incarnation(1),
        after: 1,
    });
    to.on_digest(Millis(0), "from", from.digest());
    to.on_entries(Millis(0), "from", late);
    assert_eq!(to.get("a"), None);
    pull(HEARTBEAT_MS, &from, &mut to);
    assert_eq!(to.get("a"), Some(entry("a", 1)));
}

#[test]
fn large_configuration_is_sent_in_parts() {
    let mut from = journal(1);
    for index in 0..5 {
        let value = Bytes::from(vec![index as u8 + 1; 700 << 10]);
        let name = format!("o{index}");
        let generation = Generation(index + 1);
        from.apply(JournalEntry {
            name,
            generation,
            value,
        });
    }
    let first = from.on_fetch(JournalFetch::default());
    assert_eq!((first.entries.len(), first.upto), (1, 1));
    let mut to = journal(2);
    assert_eq!(pull(0, &from, &mut to).len(), 5);
}

#[test]
fn full_journal_refuses_objects_and_counts_them() {
    let mut journal = journal(1);
    for index in 0..MAX_OBJECTS as u64 {
        assert!(journal.apply(entry(&format!("o{index}"), index + 1)));
    }
    assert!(!journal.apply(entry("more", 1)));
    assert!(journal.apply(entry("o1", 9_999)));
    let value = Bytes::from(vec![1; 33 << 20]);
    let name = "o2".to_owned();
    let generation = Generation(10_000);
    assert!(!journal.apply(JournalEntry {
        name,
        generation,
        value
    }));
    assert_eq!(journal.refused(), 2);
}

#[test]
fn digest_is_sent_back_at_most_once_per_interval() {
    let mut ahead = journal(1);
    let behind = journal(2);
    ahead.apply(entry("a", 1));
    let tell = Some(JournalAnswer::Tell(ahead.digest()));
    assert_eq!(ahead.on_digest(Millis(0), "b", behind.digest()), tell);
    assert_eq!(ahead.on_digest(Millis(1), "b", behind.digest()), None);
    assert_eq!(
        ahead.on_digest(Millis(HEARTBEAT_MS), "b", behind.digest()),
        tell
    );
}

#[test]
fn change_announced_by_several_peers_is_fetched_once() {
    let mut first = journal(1);
    let mut second = journal(2);
    let mut own = journal(3);
    for from in [&mut first, &mut second] {
        from.apply(entry("a", 1));
    }
    second.apply(entry("b", 2));
    let mut third = second.clone();
    third.apply(entry("b", 3));
    let now = Millis(0);
    let fetch = JournalFetch {
        epoch: Incarnation(1),
        after: 0,
    };
    let answer = own.on_digest(now, "first", first.digest());
    assert_eq!(answer, Some(JournalAnswer::Fetch(fetch)));
    assert_eq!(own.on_digest(now, "same", first.digest()), None);
    assert_eq!(own.on_digest(now, "second", second.digest()), None);
    // After the first answer one peer is equal; another one still has changes.
    let outcome = own.on_entries(now, "first", first.on_fetch(fetch));
    let next = outcome.fetch.expect("the second peer has more");
    assert_eq!(next.peer, "second");
    // A lost answer blocks other fetches for half a second only.
    assert_eq!(own.on_digest(Millis(499), "third", third.digest()), None);
    let answer = own.on_digest(Millis(500), "third", third.digest());
    assert!(matches!(answer, Some(JournalAnswer::Fetch(_))));
}

#[test]
fn recent_peers_are_those_with_a_recent_digest() {
    let mut own = journal(1);
    for (now, peer) in [(0, "quiet"), (3000, "b"), (4000, "c")] {
        own.on_digest(Millis(now), peer, journal(2).digest());
    }
    let recent: Vec<&str> = own.recent_peers(Millis(5000), Millis(2000)).collect();
    assert_eq!(recent, ["b", "c"]);
}

/// Processes that exchange messages over a network that loses, duplicates and reorders them.
struct Fleet {
    journals: Vec<ConfigJournal>,
    starts: u64,
    network: Vec<Packet>,
    /// Reference model: the greatest generation of each object so far.
    expected: BTreeMap<String, u64>,
    now: u64,
}

#[derive(Clone)]
struct Packet {
    from: usize,
    to: usize,
    body: Body,
}

#[derive(Clone)]
enum Body {
    Digest(JournalDigest),
    Fetch(JournalFetch),
    Entries(JournalEntries),
}

impl Fleet {
    fn new(size: usize) -> Self {
        Self {
            journals: (0..size).map(|index| journal(index as u64 + 1)).collect(),
            starts: size as u64,
            network: Vec::new(),
            expected: BTreeMap::new(),
            now: 0,
        }
    }

    fn heartbeat(&mut self) {
        self.now += HEARTBEAT_MS;
        for from in 0..self.journals.len() {
            let digest = self.journals[from].digest();
            let to = (from + 1) % self.journals.len();
            let body = Body::Digest(digest);
            self.network.push(Packet { from, to, body });
        }
    }

    fn deliver(&mut self, packet: Packet) {
        let Packet { from, to, body } = packet;
        let peer = from.to_string();
        let now = Millis(self.now);
        let before = self.journals[to].clone();
        let replies = match body {
            Body::Digest(digest) => match self.journals[to].on_digest(now, &peer, digest) {
                Some(JournalAnswer::Fetch(fetch)) => Some(Body::Fetch(fetch)),
                Some(JournalAnswer::Tell(digest)) => Some(Body::Digest(digest)),
                None => None,
            },
            Body::Fetch(fetch) => Some(Body::Entries(self.journals[to].on_fetch(fetch))),
            Body::Entries(entries) => {
                let outcome = self.journals[to].on_entries(now, &peer, entries);
                if let Some(PeerFetch { peer, fetch }) = outcome.fetch {
                    let from = to;
                    let to = peer.parse().expect("the index of a process");
                    let body = Body::Fetch(fetch);
                    self.network.push(Packet { from, to, body });
                }
                None
            }
        };
        for entry in before.entries() {
            let kept = self.journals[to]
                .get(&entry.name)
                .expect("an object stays in the journal");
            assert!(
                kept.generation >= entry.generation,
                "{} reverted",
                entry.name
            );
        }
        if let Some(body) = replies {
            self.network.push(Packet {
                from: to,
                to: from,
                body,
            });
        }
    }

    /// Exchanges heartbeats and delivers all messages in order, until all journals are equal.
    fn settle(&mut self) {
        for _ in 0..2 * self.journals.len() {
            self.heartbeat();
            while !self.network.is_empty() {
                let packet = self.network.remove(0);
                self.deliver(packet);
            }
        }
    }

    fn check(&self) {
        for journal in &self.journals {
            let kept = journal.entries();
            let seen: BTreeMap<String, u64> = kept
                .into_iter()
                .map(|entry| (entry.name, entry.generation.0))
                .collect();
            assert_eq!(seen, self.expected);
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let index = u.choose_index(self.journals.len())?;
        match u.int_in_range(0..=9)? {
            0 => self.heartbeat(),
            1 => {
                let name = format!("o{}", u.int_in_range(0..=5)?);
                let generation = u.int_in_range(1..=50)?;
                self.journals[index].apply(entry(&name, generation));
                let greatest = self.expected.entry(name).or_default();
                *greatest = generation.max(*greatest);
            }
            // A restart; journals are settled first, so that the neighbour has all objects.
            2 if u.ratio(1, 4)? => {
                self.settle();
                self.starts += 1;
                self.journals[index] = journal(self.starts);
            }
            3 if !self.network.is_empty() => {
                let lost = u.choose_index(self.network.len())?;
                self.network.remove(lost);
            }
            4 if !self.network.is_empty() => {
                let packet = u.choose(&self.network)?.clone();
                self.deliver(packet);
            }
            _ if !self.network.is_empty() => {
                let next = u.choose_index(self.network.len())?;
                let packet = self.network.swap_remove(next);
                self.deliver(packet);
            }
            _ => self.heartbeat(),
        }
        Ok(())
    }
}

#[test]
fn all_processes_converge_to_the_reference_model() {
    for seed in SEEDS {
        arbtest(|u| {
            let mut fleet = Fleet::new(u.int_in_range(2..=5)?);
            for _ in 0..150 {
                fleet.step(u)?;
            }
            fleet.settle();
            fleet.check();
            Ok(())
        })
        .seed(seed << 32 | 16_384)
        .run();
    }
}

fn sites(domains: usize, per_domain: usize) -> Vec<Site> {
    (0..domains * per_domain)
        .map(|index| Site::new(&format!("n{index}"), &format!("d{}", index % domains)))
        .collect()
}

#[test]
fn each_failure_domain_has_watchers_and_a_loss_replaces_one() {
    let counts = WatcherCounts::default();
    let live = sites(7, 175);
    let watchers = |live: &[Site]| -> Vec<Site> {
        let chosen = live.iter().filter(|site| is_watcher(site, live, counts));
        chosen.cloned().collect()
    };
    let before = watchers(&live);
    assert_eq!(before.len(), 14);
    let gone = before[0].clone();
    let rest: Vec<Site> = live.into_iter().filter(|site| *site != gone).collect();
    let after = watchers(&rest);
    assert_eq!(after.len(), 14);
    let kept = after.iter().filter(|site| before.contains(site)).count();
    assert_eq!(kept, 13);
    // A process counts itself even if the list lacks it.
    assert!(is_watcher(&Site::new("new", "d-new"), &rest, counts));
}

/// Returns the number of connected components of the graph of peers.
fn components(live: &[Site]) -> usize {
    let mut labels: Vec<usize> = (0..live.len()).collect();
    let position = |site: &Site| live.iter().position(|other| other == site).expect("live");
    let mut links = Vec::new();
    for (from, site) in live.iter().enumerate() {
        let peers = gossip_peers(site, live, WatcherCounts::default());
        links.extend(peers.iter().map(|peer| (from, position(peer))));
    }
    for _ in 0..live.len() {
        for (from, to) in &links {
            let least = labels[*from].min(labels[*to]);
            labels[*from] = least;
            labels[*to] = least;
        }
    }
    labels.iter().filter(|label| **label != 0).count() + 1
}

#[test]
fn gossip_peers_connect_the_whole_fleet() {
    for per_domain in [1, 2, 3, 10, 50, 175] {
        assert_eq!(
            components(&sites(7, per_domain)),
            1,
            "{per_domain} in each domain"
        );
    }
}
