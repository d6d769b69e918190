//! The step that simulations of the batch scheduler run.

use oleanderlock::batch::job::Job;
use oleanderlock::batch::job_item::JobItem;
use oleanderlock::batch::job_policy::JobPolicy;
use oleanderlock::prelude::*;
use oleanderlock::routing::route_target::RouteTarget;
use std::sync::LazyLock;

pub const MODEL: &str = "advisor";
pub const SERVICE: &str = "llm";
pub static POLICY: LazyLock<JobPolicy> = LazyLock::new(|| JobPolicy {
    targets: vec![RouteTarget {
        service: SERVICE.to_owned(),
        weight: 1,
    }],
    attempts: 3,
    due_after: Millis(7500),
    keep: Millis(40_000),
    single_version: false,
    rank: 0,
    workspace_rank: None,
});

/// Returns a step of `items` items in groups of `group_size`; the id of an item is its index.
pub fn step(
    items: usize,
    group_size: usize,
    expected_tokens: impl Fn(usize) -> Option<u64>,
) -> Job {
    let groups_wanted = items / group_size;
    let items = (0..items).map(|index| JobItem {
        id: index.to_string(),
        path: "/rollout/x".to_owned(),
        headers: Vec::new(),
        body_base64: String::new(),
        tokens: 9000,
        expected_tokens: expected_tokens(index),
        group: format!("g{}", index / group_size),
        score_call: None,
    });
    Job {
        id: "step".to_owned(),
        host: "host".to_owned(),
        path: "/rollout/".to_owned(),
        submitted_unix_ms: 0,
        step: Some(1),
        model: MODEL.to_owned(),
        oldest_version: 1,
        groups_wanted,
        items: items.collect(),
        workspace: None,
    }
}
