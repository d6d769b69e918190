//! A trainer: submits a step, reads its results, ends it, trains, and names the next version.

use crate::deployment::HOST;
use crate::http::call;
use crate::record::Record;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use oleander_platform_standins::stand_in_store::StandInStore;
use serde_json::{Value, json};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Time between two steps, as on the sheets.
pub const STEP_EVERY: Duration = Duration::from_secs(4);
/// Time after the submission of a step at which the trainer gives up.
pub const DEADLINE: Duration = Duration::from_secs(12);
/// Time that training takes after a step.
const TRAINING: Duration = Duration::from_millis(500);
/// Pause between two reads: clients read about twice a second.
const READ_PAUSE: Duration = Duration::from_millis(400);

/// How a trainer works.
#[derive(Clone)]
pub struct Plan {
    pub model: &'static str,
    pub groups: usize,
    pub group_size: usize,
    pub events: u64,
}

/// A step as its trainer saw it.
#[derive(Clone, Debug)]
pub struct Step {
    pub job: String,
    pub items: Vec<String>,
    pub asked: Duration,
    /// Whether nine tenths of the groups were complete in time.
    pub served: bool,
}

/// A trainer's side of the platform.
#[derive(Clone)]
pub struct Trainer {
    pub plan: Plan,
    pub entries: Vec<SocketAddr>,
    pub store: StandInStore,
    pub record: Record,
}

impl Trainer {
    /// Plays steps from number `first` on, one each [`STEP_EVERY`] if the one before has ended, until `until`
    /// or for `steps_max` steps.
    pub fn play(
        &self,
        start: Duration,
        first: u64,
        steps_max: usize,
        until: Duration,
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut due = start;
        for number in (first..).take(steps_max) {
            thread::sleep(due.saturating_sub(self.record.now()));
            if self.record.now() + Duration::from_secs(1) > until {
                break;
            }
            let step = self.step(number);
            due = (due + STEP_EVERY).max(self.record.now() + TRAINING);
            steps.push(step);
            thread::sleep(TRAINING);
            self.name_version(number + 2);
        }
        steps
    }

    fn name_version(&self, version: u64) {
        let model = self.plan.model;
        self.store.put(
            "versions",
            model,
            &json!({"model": model, "version": version}),
        );
        self.record
            .line(&format!("trainer names {model} version {version}"));
    }

    /// Plays one step: it is asked once version `number + 1` is named, and allows the one before.
    pub fn step(&self, number: u64) -> Step {
        let Plan {
            model,
            groups,
            group_size,
            events,
        } = self.plan.clone();
        let oldest_version = number.max(1);
        let job = format!("{model}-{number:04}");
        let ids: Vec<String> = (0..groups * group_size)
            .map(|n| format!("{model}{number:04}{n:04}"))
            .collect();
        let items = ids.iter().enumerate().map(|(n, id)| {
            json!({"id": id, "path": format!("/jobs/{model}/{id}"),
                "headers": {"Model": model, "Token-Count": "1016,64", "Prompt-Prefix": format!("{number:x}1:1000,{n:x}2:16")},
                "body": STANDARD.encode(events.to_string()), "tokens": 1080, "group": format!("{job}g{}", n / group_size),
                "scorer_url": {"id": format!("r{id}"), "host": HOST, "path": "/reward/x", "body": STANDARD.encode("text")}})
        });
        let body = json!({"step": number, "model": model, "min_ver": oldest_version,
            "group_count": groups * 9 / 10, "items": items.collect::<Vec<_>>()});
        let asked = self.record.now();
        self.record.line(&format!(
            "trainer asks {job}: {} items, min_ver {oldest_version}",
            ids.len()
        ));
        self.submit(&job, &body, asked + DEADLINE);
        let (done, served) = self.read(&job, &body, asked + DEADLINE);
        self.record.line(&format!(
            "trainer ends {job}: {done} of {} done, served={served}",
            ids.len()
        ));
        self.end(&job);
        Step {
            job,
            items: ids,
            asked,
            served,
        }
    }

    fn submit(&self, job: &str, body: &Value, until: Duration) {
        let body = body.to_string();
        for entry in self.entries.iter().cycle() {
            let headers = [
                ("host", HOST),
                ("request-id", job),
                ("deadline-ms", "12000"),
                ("content-type", "application/json"),
            ];
            let path = format!("/jobs/{job}");
            let reply = call(
                *entry,
                "POST",
                &path,
                &headers,
                body.as_bytes(),
                Duration::from_secs(5),
            );
            let status = reply.as_ref().map(|reply| reply.status);
            self.record
                .line(&format!("submission of {job} -> {status:?}"));
            if status == Some(202) || self.record.now() > until {
                return;
            }
            let pause = reply
                .and_then(|reply| reply.retry_after)
                .unwrap_or(Duration::from_millis(100));
            thread::sleep(pause);
        }
    }

    /// Reads results until enough groups are complete or `until`; returns the number of items that are
    /// done, and whether enough groups were complete.
    fn read(&self, job: &str, body: &Value, until: Duration) -> (usize, bool) {
        let items = body["items"].as_array().expect("items");
        let wanted = body["group_count"].as_u64().expect("a number") as usize;
        let mut sizes: HashMap<&str, usize> = HashMap::new();
        let mut group_of: HashMap<&str, &str> = HashMap::new();
        for item in items {
            let group = item["group"].as_str().expect("a group");
            *sizes.entry(group).or_default() += 1;
            group_of.insert(item["id"].as_str().expect("an id"), group);
        }
        let mut listed: HashSet<String> = HashSet::new();
        let mut done = 0;
        for entry in self.entries.iter().cycle() {
            if self.record.now() > until {
                return (done, false);
            }
            let path = format!("/-/lots/{job}?after={}", listed.len());
            let headers = [("host", HOST), ("wait-ms", "1000")];
            let reply = call(
                *entry,
                "GET",
                &path,
                &headers,
                b"",
                Duration::from_millis(2500),
            );
            let reply = reply.filter(|reply| reply.status == 200);
            let page = reply.and_then(|reply| serde_json::from_slice::<Value>(&reply.body).ok());
            for result in page
                .iter()
                .flat_map(|page| page["results"].as_array())
                .flatten()
            {
                listed.insert(result["id"].as_str().unwrap_or_default().to_owned());
                done += usize::from(result["state"] == "done");
            }
            let mut left = sizes.clone();
            for id in &listed {
                if let Some(group) = group_of.get(id.as_str()) {
                    left.entry(group).and_modify(|left| *left -= 1);
                }
            }
            if left.values().filter(|left| **left == 0).count() >= wanted {
                return (done, true);
            }
            thread::sleep(READ_PAUSE);
        }
        (done, false)
    }

    fn end(&self, job: &str) {
        for entry in self.entries.iter().cycle().take(20) {
            let path = format!("/-/lots/{job}");
            let reply = call(
                *entry,
                "DELETE",
                &path,
                &[("host", HOST)],
                b"",
                Duration::from_secs(4),
            );
            let status = reply.map(|reply| reply.status);
            self.record.line(&format!("end of {job} -> {status:?}"));
            if status == Some(200) {
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
    }
}
