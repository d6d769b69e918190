//! One example of each type that leaves the processes, with every field set.

use indexmap::IndexMap;
use oleander_rollout::peer::messages::{
    DispatcherHealth, ItemOutcomes, LoadWork, PlatformUpdate, PullResponse, ReturnReason,
    ReturnedItem, WorkItem,
};
use oleander_rollout::store::leader_object::LeaderObject;
use oleander_rollout::store::pulse::Pulse;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::checkpoint_page::CheckpointPage;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::job::Job;
use oleanderlock::batch::job_item::JobItem;
use oleanderlock::batch::progress::Progress;
use oleanderlock::batch::result_chunk::ResultChunk;
use oleanderlock::batch::run_part::RunPart;
use oleanderlock::batch::runner::Runner;
use oleanderlock::batch::sample::Sample;
use oleanderlock::batch::sample_end::SampleEnd;
use oleanderlock::batch::score_call::ScoreCall;
use oleanderlock::duties::duty_record::DutyRecord;
use oleanderlock::duties::pending_window::PendingWindow;
use oleanderlock::duties::scale_order::ScaleOrder;
use oleanderlock::duties::service_demand::ServiceDemand;
use oleanderlock::duties::usage_report::UsageReport;
use oleanderlock::duties::usage_state::UsageState;
use oleanderlock::prelude::*;
use oleanderlock::routing::caller_rank::CallerRank;
use oleanderlock::routing::client_limits::ClientLimits;
use oleanderlock::routing::deployment_config::DeploymentConfig;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::endpoint_state::EndpointState;
use oleanderlock::routing::route::Route;
use oleanderlock::routing::route_kind::RouteKind;
use oleanderlock::routing::route_target::RouteTarget;
use oleanderlock::routing::service_config::ServiceConfig;
use oleanderlock::routing::stream_origin::StreamOrigin;
use oleanderlock::workspaces::key_digest::KeyDigest;
use oleanderlock::workspaces::workspace::Workspace;
use std::net::SocketAddr;

pub fn key(item: &str) -> ItemKey {
    ItemKey {
        job: "j-1".to_owned(),
        item: item.to_owned(),
    }
}

pub fn progress() -> Progress {
    Progress {
        last_event: 3,
        text: "a\nb\nc".to_owned(),
        versions: vec![4, 5],
        software: None,
    }
}

pub fn score_call() -> ScoreCall {
    ScoreCall {
        id: "s-1".to_owned(),
        host: "desk.example".to_owned(),
        path: "/calls/score".to_owned(),
        body_base64: "c2NvcmU=".to_owned(),
    }
}

pub fn job_item() -> JobItem {
    JobItem {
        id: "i-1".to_owned(),
        path: "/rollout/i-1".to_owned(),
        headers: vec![("model".to_owned(), "advisor".to_owned())],
        body_base64: "OQ==".to_owned(),
        tokens: 300,
        expected_tokens: Some(70),
        group: "g-1".to_owned(),
        score_call: Some(score_call()),
    }
}

pub fn bare_item() -> JobItem {
    JobItem {
        id: "i-2".to_owned(),
        expected_tokens: None,
        score_call: None,
        ..job_item()
    }
}

pub fn job() -> Job {
    Job {
        id: "j-1".to_owned(),
        host: "desk.example".to_owned(),
        path: "/rollout/j-1".to_owned(),
        submitted_unix_ms: 1_790_000_000_001,
        step: Some(7),
        model: "advisor".to_owned(),
        oldest_version: 4,
        groups_wanted: 2,
        items: vec![job_item(), bare_item()],
        workspace: None,
    }
}

pub fn done() -> Sample {
    let end = SampleEnd::Done {
        text: "a\nb".into(),
        versions: vec![4, 5],
        score: Some("0.5".to_owned()),
    };
    Sample {
        key: key("i-1"),
        end,
    }
}

pub fn unscored() -> Sample {
    let end = SampleEnd::Done {
        text: "".into(),
        versions: vec![],
        score: None,
    };
    Sample {
        key: key("i-2"),
        end,
    }
}

pub fn given_up() -> Sample {
    Sample {
        key: key("i-3"),
        end: SampleEnd::GivenUp,
    }
}

pub fn chunk() -> ResultChunk {
    ResultChunk {
        index: 12,
        writer: "n-1-3".to_owned(),
        written_unix_ms: 1_790_000_000_002,
        samples: vec![done(), unscored(), given_up()],
    }
}

pub fn run_part() -> RunPart {
    RunPart {
        key: key("i-1"),
        run: 9,
        after_event: 2,
        last_event: 3,
        text: "c".to_owned(),
        versions: vec![4, 5],
        software: None,
    }
}

pub fn runner() -> Runner {
    Runner {
        agent: "a-1".to_owned(),
        process: 77,
    }
}

pub fn page() -> CheckpointPage {
    CheckpointPage {
        epoch: 3,
        number: 11,
        parts: vec![(runner(), run_part())],
    }
}

pub fn leader() -> LeaderObject {
    LeaderObject {
        epoch: 3,
        node: "n-1".to_owned(),
        addr: Some(addr()),
    }
}

pub fn pulse() -> Pulse {
    Pulse {
        epoch: 3,
        number: 8,
        needed_from: 6,
        leads_ms: 4000,
        heard_agents: 3,
    }
}

pub fn addr() -> SocketAddr {
    "10.0.0.9:8080".parse().expect("an address")
}

pub fn weights() -> IndexMap<String, u64> {
    IndexMap::from([("advisor".to_owned(), 5)])
}

pub fn agent_report() -> AgentReport {
    AgentReport {
        agent: "a-1".to_owned(),
        process: 77,
        instance: "e-1".to_owned(),
        service: Some("llm".to_owned()),
        software: None,
        engine: Some(addr()),
        slots: 8,
        leaving: true,
        weights: weights(),
        loading: Some("advisor".to_owned()),
        event_us: 15_000,
        items: vec!["j-1/i-1".to_owned(), "j-1/i-2".to_owned()],
        waiting: vec!["j-1/i-2".to_owned()],
        config_version: 2,
        endpoints_digest: 99,
    }
}

pub fn work_item() -> WorkItem {
    WorkItem {
        key: key("i-1"),
        item: job_item(),
        host: "desk.example".to_owned(),
        job_path: String::new(),
        model: "advisor".to_owned(),
        oldest_version: 4,
        single_version: true,
        score_attempts: 3,
        progress: Some(progress()),
        workspace: None,
        rank: None,
    }
}

pub fn routed_work_item() -> WorkItem {
    WorkItem {
        job_path: "/rollout/j-1".to_owned(),
        ..work_item()
    }
}

pub fn owned_work_item() -> WorkItem {
    WorkItem {
        workspace: Some("acme".to_owned()),
        rank: Some(1),
        ..work_item()
    }
}

pub fn workspace() -> Workspace {
    Workspace {
        name: "acme".to_owned(),
        keys: vec![KeyDigest::of(b"key")],
        rank: Some(1),
    }
}

pub fn fresh_work_item() -> WorkItem {
    WorkItem {
        item: bare_item(),
        progress: None,
        ..work_item()
    }
}

pub fn load_work() -> LoadWork {
    LoadWork {
        model: "advisor".to_owned(),
        version: 5,
    }
}

pub fn endpoint(state: EndpointState) -> EndpointEntry {
    EndpointEntry {
        instance: "e-1".to_owned(),
        started_unix_ms: Some(1_790_000_000_003),
        service: "llm".to_owned(),
        software: None,
        addr: addr(),
        domain: "z".to_owned(),
        slots: 8,
        state,
        warm_up: Millis(250),
        weights: weights(),
    }
}

pub fn stream_origin() -> StreamOrigin {
    StreamOrigin {
        service: "llm".to_owned(),
        software: Some("v1".to_owned()),
        instance: Some("i-1".to_owned()),
        started_unix_ms: Some(1_700_000_000_000),
    }
}

pub fn route(kind: RouteKind) -> Route {
    Route {
        name: "calls".to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: "/calls/".to_owned(),
        kind,
        timeout: Millis(1500),
        objective: Millis(150),
        attempts: 3,
        rank: 2,
        targets: vec![RouteTarget {
            service: "desk".to_owned(),
            weight: 4,
        }],
        resumable: true,
        run_objective: Millis(7500),
        keep: Millis(40_000),
        single_version: true,
        public: false,
    }
}

pub fn deployment_config() -> DeploymentConfig {
    let kinds = [
        RouteKind::Safe,
        RouteKind::Unsafe,
        RouteKind::Stream,
        RouteKind::Rollout,
    ];
    let service = ServiceConfig {
        health_path: "/health".to_owned(),
        connections_max: 100,
        scale: None,
        kv_tokens: None,
    };
    DeploymentConfig {
        version: 2,
        routes: kinds.into_iter().map(route).collect(),
        services: IndexMap::from([("desk".to_owned(), service)]),
        limits: ClientLimits {
            header_bytes: 16_384,
            body_bytes: 1_000_000,
            header_time: Millis(3000),
            idle_time: Millis(15_000),
        },
        workspaces: None,
    }
}

pub fn platform_news() -> PlatformUpdate {
    let entries = vec![
        endpoint(EndpointState::Ready),
        endpoint(EndpointState::Draining),
    ];
    PlatformUpdate {
        config: Some(deployment_config()),
        endpoints: Some((entries, 99)),
        caller_rank: None,
        config_confirmed_ms: None,
        endpoints_confirmed_ms: None,
        jobs_full: None,
    }
}

pub fn caller_rank() -> CallerRank {
    CallerRank {
        entries: 5,
        agents: 9,
        index: 2,
    }
}

pub fn pull_answer() -> PullResponse {
    PullResponse {
        work: vec![work_item(), fresh_work_item()],
        drop: vec!["j-1/i-3".to_owned()],
        recall: vec!["j-1/i-4".to_owned()],
        recall_waiting: vec!["j-1/i-5".to_owned()],
        resend_full: vec!["j-1/i-6".to_owned()],
        load: Some(load_work()),
        platform_update: platform_news(),
        ends_confirmed_ms: Some(-120),
    }
}

pub fn hand_in() -> ItemOutcomes {
    let reasons = [
        ReturnReason::EngineFailed,
        ReturnReason::EngineLost,
        ReturnReason::Recalled,
        ReturnReason::TooOld,
        ReturnReason::NoScore,
    ];
    let with = |reason| ReturnedItem {
        key: key("i-4"),
        reason,
        progress: Some(progress()),
        id: 0,
    };
    let mut returned: Vec<ReturnedItem> = reasons.into_iter().map(with).collect();
    returned[0].progress = None;
    ItemOutcomes {
        agent: "a-1".to_owned(),
        samples: vec![done(), unscored(), given_up()],
        returned,
    }
}

pub fn hand_in_with_id() -> ItemOutcomes {
    let returned = hand_in().returned.into_iter().take(1);
    ItemOutcomes {
        agent: "a-1".to_owned(),
        samples: Vec::new(),
        returned: returned
            .map(|item| ReturnedItem { id: 5, ..item })
            .collect(),
    }
}

pub fn health() -> DispatcherHealth {
    DispatcherHealth {
        leads: true,
        epoch: 3,
        store_age_ms: 40,
        leader: Some(addr()),
        node: String::new(),
    }
}

pub fn service_demand() -> ServiceDemand {
    ServiceDemand {
        service: "desk".to_owned(),
        domain: "z".to_owned(),
        started: 9,
        ended: 7,
        busy_ms: 640,
        refused: 1,
    }
}

pub fn usage_report() -> UsageReport {
    UsageReport {
        node: "entry-0".to_owned(),
        process: 77,
        unix_ms: 1_790_000_000_001,
        complete_through_ms: 1_789_999_999_900,
        windows: [(358_000_000, [("acme".to_owned(), 3)].into())].into(),
        demand: Vec::new(),
    }
}

/// The record of the duties.
pub fn duty_record() -> DutyRecord<UsageState> {
    DutyRecord {
        holder: "dispatcher-0".to_owned(),
        fence: 4,
        state: UsageState {
            through: 358_000_000,
            pending: vec![PendingWindow {
                window: 358_000_000,
                counts: [("acme".to_owned(), 3)].into(),
            }],
            orders: Vec::new(),
        },
    }
}

/// The record of the duties with an order of endpoints.
pub fn duty_record_with_order() -> DutyRecord<UsageState> {
    let mut record = duty_record();
    record.state.orders.push(ScaleOrder {
        service: "desk".to_owned(),
        domain: "z".to_owned(),
        count: 5,
        taken: true,
    });
    record
}
