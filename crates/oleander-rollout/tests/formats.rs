//! Holds what leaves the processes of this package, byte for byte: objects of the platform's store,
//! messages between processes, calls and answers over HTTP, settings, metrics, log lines.
//!
//! A recorded text in `tests/formats/` was written by an earlier build, which may still run beside
//! this one, or whose objects may still stand in the store. So a name inside the program may change,
//! the name outside may not: a renamed field of a message or object keeps its old name with
//! `#[serde(rename = "...")]`.
//!
//! Each line of a record, a name and a text with a tab between them, is compared with what the build writes for the example of
//! that name; a JSON text is also read into its type and written again. What no call can produce is
//! read out of the sources (`source_scan`): the kinds and keys of log events, and all texts without
//! a space but those of comments, `expect` and assertions. Sentences for people may be reworded.
//! Names of variables in `{...}` don't count there.
//!
//! To add a record, add an example to the function of its file, and write the records anew with
//! `cargo test -p oleander-rollout --test formats -- --ignored`; the difference in git must only
//! add lines, unless a format is changed on purpose.

mod formats_support;
mod support;

use bytes::Bytes;
use formats_support::call_log::CallLog;
use formats_support::examples::*;
use formats_support::processes::http_answers;
use formats_support::record::{self, Line, json, text};
use formats_support::source_scan;
use http::{HeaderMap, Method, StatusCode, Uri};
use oleander_base::settings::Settings;
use oleander_platform::config::decode_config;
use oleander_platform::decode_error::DecodeError;
use oleander_platform::duty_call;
use oleander_platform::endpoint::decode_endpoint;
use oleander_platform::engine_report::decode_report;
use oleander_platform::event_buffer::EventBuffer;
use oleander_platform::job::decode_job;
use oleander_platform::job_call::JobCall;
use oleander_platform::load_order::{LoadOrder, encode_load_order};
use oleander_platform::object::{
    self, CONFIG_KIND, CONFIG_NAME, ENDPOINT_KIND, RETIREMENT_KIND, VERSION_KIND,
};
use oleander_platform::object_change::ObjectChange;
use oleander_platform::paths;
use oleander_platform::results::encode_results;
use oleander_platform::run_event::RunEvent;
use oleander_platform::stored_object::StoredObject;
use oleander_platform::submission_call::SubmissionCall;
use oleander_platform::target_version::decode_version;
use oleander_platform::{SETTINGS_VARIABLE, headers, retirement};
use oleander_rollout::agent::engine_client::EngineClient;
use oleander_rollout::agent::run_end::RunEnd;
use oleander_rollout::call::call_request::CallRequest;
use oleander_rollout::call::caller::Caller;
use oleander_rollout::call::caller_identity::CallerIdentity;
use oleander_rollout::call::caller_role::CallerRole;
use oleander_rollout::call::event_stream::EventStream;
use oleander_rollout::call::limit_registry::LimitRegistry;
use oleander_rollout::call::send_condition::SendCondition;
use oleander_rollout::call::stream_limits::StreamLimits;
use oleander_rollout::dispatch::leadership_state::LeadershipState;
use oleander_rollout::duty::record_store::{DUTY_KIND, DUTY_NAME};
use oleander_rollout::entry::submit_outcome::SubmitOutcome;
use oleander_rollout::feature_settings::FeatureSettings;
use oleander_rollout::http::send_error::SendError;
use oleander_rollout::observe::metrics::Metrics;
use oleander_rollout::peer::leader_error::LeaderError;
use oleander_rollout::peer::messages::{
    self, DispatcherHealth, ItemOutcomes, KnownVersions, LeaderUnreached, PlatformUpdate,
    PullRequest, PullResponse, UsageReceipt,
};
use oleander_rollout::role::Role;
use oleander_rollout::runtime;
use oleander_rollout::settings::Config;
use oleander_rollout::store::crash_objects::CRASH_KIND;
use oleander_rollout::store::dispatcher_object::{DISPATCHER_KIND, DispatcherObject, NODE_PREFIX};
use oleander_rollout::store::job_objects::{
    JOB_END_KIND, JOB_KIND, JOB_PART_KIND, RESULT_KIND, chunk_name, create_chunk, create_job,
    decode_record,
};
use oleander_rollout::store::leader_object::{LEADER_NAME, LeaderObject};
use oleander_rollout::store::pulse::{PULSE_KIND, PULSE_NAME};
use oleander_rollout::store::shared_view::SharedView;
use oleander_rollout::store::store_client::StoreClient;
use oleander_rollout::store::store_error::StoreError;
use oleander_rollout::store::store_health::StoreHealth;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::checkpoint_log::PAGE_SLOTS;
use oleanderlock::batch::job::Job;
use oleanderlock::batch::leader_probe::LeaderProbe;
use oleanderlock::batch::progress::Progress;
use oleanderlock::batch::pulse_verdict::PulseVerdict;
use oleanderlock::batch::recall_reason::RecallReason;
use oleanderlock::batch::run_part::RunPart;
use oleanderlock::duties::usage_report::UsageReport;
use oleanderlock::prelude::*;
use oleanderlock::routing::crash_suspects::Crashes;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::endpoint_state::EndpointState;
use oleanderlock::routing::endpoint_table::EndpointTable;
use oleanderlock::routing::even_reason::EvenReason;
use serde_json::json as value;
use serde_json::value::{RawValue, to_raw_value};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;

/// Crates whose texts are held.
const CRATES: [&str; 4] = [
    "crates/oleander-base",
    "crates/oleander-rollout",
    "crates/oleanderlock",
    "platform",
];

/// Makes the lines of a record.
type Lines = fn() -> Vec<Line>;

/// Each record with the lines that this build writes.
const RECORDS: [(&str, Lines); 10] = [
    ("stored-objects", stored_objects),
    ("store-calls", store_calls),
    ("messages", peer_messages),
    ("platform", platform_formats),
    ("outward-calls", outward_calls),
    ("printed-names", printed_names),
    ("settings", settings),
    ("metrics", metrics),
    ("events", events),
    ("texts", texts),
];

fn check(record: &str) {
    let (_, lines) = RECORDS
        .iter()
        .find(|(name, _)| *name == record)
        .expect("a record");
    record::check(&file(record), &lines());
}

fn file(record: &str) -> std::path::PathBuf {
    record::path(env!("CARGO_MANIFEST_DIR"), record)
}

fn root() -> &'static Path {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    package
        .ancestors()
        .nth(2)
        .expect("the folder of the workspace")
}

#[test]
#[ignore = "writes the records instead of checking them"]
fn write_records() {
    for (record, lines) in RECORDS {
        record::write(&file(record), &lines());
    }
    record::write(&file("http"), &http_answers());
}

#[test]
fn stored_objects_are_as_recorded() {
    check("stored-objects");
}

#[test]
fn calls_of_the_store_are_as_recorded() {
    check("store-calls");
}

#[test]
fn messages_between_processes_are_as_recorded() {
    check("messages");
}

#[test]
fn what_the_platform_writes_is_read_as_recorded() {
    check("platform");
}

#[test]
fn calls_of_engines_and_services_are_as_recorded() {
    check("outward-calls");
}

#[test]
fn names_in_log_lines_are_as_recorded() {
    check("printed-names");
}

#[test]
fn settings_are_read_as_recorded() {
    check("settings");
}

#[test]
fn metrics_are_as_recorded() {
    check("metrics");
}

#[test]
fn kinds_and_keys_of_log_events_are_as_recorded() {
    check("events");
}

#[test]
fn texts_of_the_sources_are_as_recorded() {
    check("texts");
}

#[test]
fn answers_over_http_are_as_recorded() {
    record::check(&file("http"), &http_answers());
}

// Records.

fn stored_objects() -> Vec<Line> {
    vec![
        text(
            "kind and name of the leader",
            format!("{DISPATCHER_KIND}/{LEADER_NAME}"),
        ),
        text(
            "kind and name of a dispatcher",
            format!("{DISPATCHER_KIND}/{NODE_PREFIX}n-1"),
        ),
        text(
            "kind and name of the pulse",
            format!("{PULSE_KIND}/{PULSE_NAME}"),
        ),
        text(
            "kind and name of a chunk",
            format!("{RESULT_KIND}/{}", chunk_name(12)),
        ),
        text("kind of crashes", CRASH_KIND),
        json("crashes", &Crashes::of("e-1", 1_790_000_000_001)),
        text(
            "kinds of jobs",
            [JOB_KIND, JOB_PART_KIND, JOB_END_KIND].join(" "),
        ),
        text(
            "kind and name of the configuration",
            format!("{CONFIG_KIND}/{CONFIG_NAME}"),
        ),
        text(
            "kinds of the platform",
            [ENDPOINT_KIND, VERSION_KIND, RETIREMENT_KIND].join(" "),
        ),
        text("pages of checkpoints", PAGE_SLOTS),
        json("leader", &leader()),
        json(
            "no leader",
            &LeaderObject {
                epoch: 4,
                ..LeaderObject::default()
            },
        ),
        json("dispatcher", &DispatcherObject { addr: addr() }),
        json("pulse", &pulse()),
        json("job", &job()),
        json(
            "job without a step",
            &Job {
                step: None,
                items: vec![],
                ..job()
            },
        ),
        json("items of a job", &job().items),
        json("chunk of results", &chunk()),
        json("page of checkpoints", &page()),
        text(
            "kind and name of the duties",
            format!("{DUTY_KIND}/{DUTY_NAME}"),
        ),
        json("duties", &duty_record()),
        json("duties with an order", &duty_record_with_order()),
        text("machine that is empty", retirement::done_status()),
    ]
}

/// What the client of the store sends, and what jobs and chunks look like in its calls.
fn store_calls() -> Vec<Line> {
    let log = CallLog::spawn();
    let spec = to_raw_value(&pulse()).expect("it has a JSON form");
    let spec: &RawValue = &spec;
    runtime::run(async {
        let store = StoreClient::new(log.addr, StoreHealth::default());
        let mut lines = Vec::new();
        let mut sent = |name: &str| lines.push(text(name, log.take()));
        store.get("k", "n").await.expect("an object");
        sent("get");
        store.page("k", None).await.expect("a page");
        sent("first page");
        store.page("k", Some("n")).await.expect("a page");
        sent("next page");
        store.watch("k", 5, Millis(25)).await.expect("changes");
        sent("watch");
        store.create("k", "n", spec).await.expect("created");
        sent("create");
        store.replace("k", "n", 6, spec).await.expect("replaced");
        sent("replace");
        store.put("k", "n", spec).await.expect("put");
        sent("put");
        let status = retirement::done_status();
        store.put_status("k", "n", &status).await.expect("put");
        sent("put status");
        store.delete("k", "n").await.expect("deleted");
        sent("delete");
        create_job(&store, job(), 1 << 20, false)
            .await
            .expect("created");
        sent("job");
        create_job(&store, job(), 1, false).await.expect("created");
        sent("job in parts");
        let owned = Job {
            workspace: Some("acme".to_owned()),
            ..job()
        };
        create_job(&store, owned, 1 << 20, true)
            .await
            .expect("created");
        sent("job of a workspace");
        create_chunk(&store, &chunk()).await.expect("created");
        sent("chunk of results");
        lines
    })
}

fn peer_messages() -> Vec<Line> {
    use messages::{
        HEALTH, JOBS, OUTCOMES, PLATFORM_UPDATES, PULL, REPORT, STREAM_BEGUN, STREAM_ORIGIN,
        StreamQuery, StreamRecord,
    };
    let none = KnownVersions::default();
    vec![
        text(
            "paths",
            [PULL, REPORT, PLATFORM_UPDATES, OUTCOMES, HEALTH, JOBS].join(" "),
        ),
        text("paths of streams", [STREAM_BEGUN, STREAM_ORIGIN].join(" ")),
        text("path of counts", messages::USAGE_COUNTS),
        json(
            "record of a stream",
            &StreamRecord {
                stream: "r-1".to_owned(),
                origin: stream_origin(),
            },
        ),
        json(
            "question for a stream",
            &StreamQuery {
                stream: "r-1".to_owned(),
            },
        ),
        json("origin of a stream", &Some(stream_origin())),
        json(
            "endpoint with a software version",
            &EndpointEntry {
                software: Some("v1".to_owned()),
                ..endpoint(EndpointState::Ready)
            },
        ),
        json(
            "report",
            &PullRequest {
                report: agent_report(),
                parts: vec![run_part()],
                caller_rank: None,
                demand: vec![],
            },
        ),
        json(
            "report of software and part of its run",
            &PullRequest {
                report: AgentReport {
                    software: Some("v1".to_owned()),
                    ..agent_report()
                },
                parts: vec![RunPart {
                    software: Some("v1".to_owned()),
                    ..run_part()
                }],
                caller_rank: None,
                demand: vec![],
            },
        ),
        json(
            "progress with the version of its software",
            &Progress {
                software: Some("v1".to_owned()),
                ..progress()
            },
        ),
        json(
            "report of a ranked agent",
            &PullRequest {
                caller_rank: Some(caller_rank()),
                ..PullRequest::default()
            },
        ),
        json("empty report", &PullRequest::default()),
        json(
            "report of an agent with calls to services",
            &PullRequest {
                demand: vec![service_demand()],
                ..PullRequest::default()
            },
        ),
        json("counts of an entry", &usage_report()),
        json(
            "counts of an entry with calls to services",
            &UsageReport {
                demand: vec![service_demand()],
                ..usage_report()
            },
        ),
        json(
            "answer to counts",
            &UsageReceipt {
                written_through: 358_000_000,
                offset_ms: -12,
            },
        ),
        json("answer to a report", &pull_answer()),
        json("work of a workspace", &owned_work_item()),
        json("work with the path of its job", &routed_work_item()),
        json("workspace", &workspace()),
        json(
            "caller about a job",
            &messages::JobCaller {
                workspace: "acme".to_owned(),
            },
        ),
        json("empty answer to a report", &PullResponse::default()),
        json(
            "known news",
            &KnownVersions {
                config_version: 2,
                endpoints_digest: 99,
                ..KnownVersions::default()
            },
        ),
        json(
            "known news of a ranked entry",
            &KnownVersions {
                node: "f-1".to_owned(),
                caller_rank: Some(caller_rank()),
                ..KnownVersions::default()
            },
        ),
        json(
            "rank",
            &PlatformUpdate {
                caller_rank: Some(caller_rank()),
                ..PlatformUpdate::default()
            },
        ),
        json(
            "known memory of jobs",
            &KnownVersions {
                jobs_full: Some(false),
                ..KnownVersions::default()
            },
        ),
        json(
            "no memory for jobs",
            &PlatformUpdate {
                jobs_full: Some(true),
                ..PlatformUpdate::default()
            },
        ),
        text(
            "path of the check of a configuration",
            messages::CONFIG_CHECK,
        ),
        json(
            "confirmation",
            &PlatformUpdate {
                config_confirmed_ms: Some(-7),
                ..PlatformUpdate::default()
            },
        ),
        json(
            "confirmation of endpoints",
            &PlatformUpdate {
                endpoints_confirmed_ms: Some(250),
                ..PlatformUpdate::default()
            },
        ),
        json("no known news", &none),
        json("news", &platform_news()),
        json("no news", &PlatformUpdate::default()),
        json("hand-in", &hand_in()),
        json("hand-in with an id", &hand_in_with_id()),
        json("empty hand-in", &ItemOutcomes::default()),
        json("health", &health()),
        json(
            "health without a leader",
            &DispatcherHealth {
                leader: None,
                ..health()
            },
        ),
        json(
            "health with a node",
            &DispatcherHealth {
                node: "dispatcher-1".to_owned(),
                ..health()
            },
        ),
        json(
            "leader that an agent does not reach",
            &LeaderUnreached {
                agent: "n-1".to_owned(),
                epoch: 3,
            },
        ),
        json("relayed job", &job()),
    ]
}

/// What the platform writes, as this build reads it.
fn platform_formats() -> Vec<Line> {
    let mut lines = Vec::new();
    lines.extend(platform_jobs());
    lines.extend(platform_objects());
    lines.extend(platform_names());
    lines
}

const JOB: &str = r#"{"step":7,"model":"advisor","min_ver":4,"group_count":2,"items":[
    {"id":"i-1","path":"/rollout/i-1","headers":{"Model":"advisor","Length-Hint":" 70 "},
     "body":"OQ==","tokens":300,"group":"g-1",
     "scorer_url":{"id":"s-1","host":"desk.example","path":"/calls/score","body":"c2NvcmU="}},
    {"id":"i-2","path":"/rollout/i-2"}]}"#;
const CONFIG: &str = r#"{"version":2,"routes":[
    {"name":"calls","host":"desk.example","path_prefix":"/calls/","kind":"safe","timeout_ms":1500,
     "goal_ms":150,"prio":2,"service":"desk","attempts":3,"resumable":true,"run_goal_ms":7500,
     "keep_s":40,"single_ver":true},
    {"name":"split","host":"desk.example","path_prefix":"/split/","kind":"rollout",
     "split":[{"service":"desk","weight":4},{"service":"llm"}]},
    {"name":"odd","host":"h","path_prefix":"/","kind":"odd","service":"desk"},
    {"name":"none","host":"h","path_prefix":"/","kind":"stream"}],
    "services":[{"name":"desk","health_path":"/health","max_conns":100},{"name":"llm"}],
    "limits":{"max_header_bytes":1,"max_body_bytes":2,"header_ms":3,"idle_ms":4}}"#;
const ENDPOINT: &str = r#"{"service":"llm","addr":"10.0.0.9:8080","zone":"z","slots":8,
    "state":"ready","cold_left_ms":250,"seq":4,"born":1790000000003,
    "models":[{"name":"advisor","version":5}]}"#;
const REPORT: &str = r#"{"models":[{"name":"advisor","version":5}],"busy":true,"seq":4,"queued":2,
    "running":3,"born":1790000000003}"#;
const OBJECT: &str = r#"{"meta":{"name":"n","rev":3},"spec":{"x":1},"status":{"state":"done"}}"#;

fn platform_jobs() -> Vec<Line> {
    let call = SubmissionCall {
        id: "j-1",
        host: "desk.example",
        path: "/rollout/j-1",
        unix_ms: 5,
        has_workspaces: false,
        workspace: None,
    };
    let read = |body: &str| decode_job(call, body.as_bytes());
    let fault = |body: &str| read(body).expect_err("it can't be used");
    let item = r#"{"id":"i","path":"/","body":"?"}"#;
    let samples = [done(), unscored(), given_up()].map(Arc::new);
    let results = encode_results(9, 4, &samples);
    vec![
        json("job that was read", &read(JOB).expect("a job")),
        json(
            "bare job",
            &read(r#"{"items":[{"id":"i","path":"/"}]}"#).expect("a job"),
        ),
        text("job without items", fault(r#"{"items":[]}"#)),
        text(
            "job with a bad item",
            fault(r#"{"items":[{"id":"a/b","path":"/"}]}"#),
        ),
        text(
            "job with an item twice",
            fault(&format!(r#"{{"items":[{0},{0}]}}"#, item.replace('?', ""))),
        ),
        text(
            "job with a bad body",
            fault(&format!(r#"{{"items":[{item}]}}"#)),
        ),
        text("job without fields", fault("{}")),
        text("results", String::from_utf8_lossy(&results)),
    ]
}

fn platform_objects() -> Vec<Line> {
    let (config, faults) = decode_config(CONFIG).expect("a configuration");
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let (bare, _) = decode_config(r#"{"version":1}"#).expect("a configuration");
    let ready = decode_endpoint("e-1", ENDPOINT).expect("an endpoint");
    let draining = ENDPOINT.replace("ready", "draining");
    let draining = decode_endpoint("e-1", &draining).expect("an endpoint");
    let odd = decode_endpoint("e-1", &ENDPOINT.replace("ready", "odd")).expect_err("a fault");
    let version = decode_version(r#"{"model":"advisor","version":5}"#).expect("a version");
    let report = decode_report(REPORT.as_bytes()).expect("a report");
    let report = value!([
        report.weights,
        report.order_in_progress,
        report.orders_accepted,
        report.queued,
        report.running,
        report.started_unix_ms
    ]);
    let stored = stored_job();
    let record = decode_record(&stored).expect("a record");
    let page = format!(r#"{{"items":[{OBJECT},{{"meta":{{}}}}],"has_more":true,"as_of":9}}"#);
    let page = object::decode_page(page.as_bytes()).expect("a page");
    let watch = format!(
        r#"{{"events":[{{"object":{OBJECT}}},{{"deleted":true,"object":{OBJECT}}}],"as_of":9}}"#
    );
    let watch = object::decode_watch(watch.as_bytes()).expect("changes");
    let change = |change: &ObjectChange| match change {
        ObjectChange::Put(object) => object_text(object),
        ObjectChange::Gone(name) => format!("gone {name}"),
    };
    let changes: Vec<String> = watch.changes.iter().map(change).collect();
    let objects: Vec<String> = page.objects.iter().map(object_text).collect();
    let load = LoadOrder {
        model: "advisor",
        version: 5,
        holder: "a-1",
        fence: 3,
        orders_accepted: 4,
    };
    let counts = [("acme".to_owned(), 3), ("bolt".to_owned(), 1)].into();
    vec![
        json("configuration", &config),
        text("faults of the configuration", faults.join("; ")),
        json("bare configuration", &bare),
        json("ready endpoint", &ready),
        json("draining endpoint", &draining),
        text("odd endpoint", odd),
        text(
            "named version",
            format!("{} {}", version.model, version.version),
        ),
        text("report of an engine", report),
        text(
            "record of a job",
            value!([record.total, record.submitted_unix_ms]),
        ),
        text(
            "page",
            format!(
                "{objects:?} {} {:?} {}",
                page.has_more, page.last_name, page.revision
            ),
        ),
        text(
            "faults of the page",
            page.errors
                .iter()
                .map(DecodeError::to_string)
                .collect::<String>(),
        ),
        text("watch", format!("{changes:?} {}", watch.revision)),
        text("retirement", retirement::is_done(r#"{"state":"done"}"#)),
        text("order", String::from_utf8_lossy(&encode_load_order(&load))),
        text(
            "calls of duties",
            [
                duty_call::USAGE,
                duty_call::SCALE,
                duty_call::DUTY_HOLDER,
                duty_call::FENCE_TOKEN,
            ]
            .join(" "),
        ),
        text(
            "usage report",
            String::from_utf8_lossy(&duty_call::encode_usage(7, &counts)),
        ),
        text(
            "scale order",
            String::from_utf8_lossy(&duty_call::encode_scale("desk", "z", 5)),
        ),
    ]
}

fn stored_job() -> StoredObject {
    let spec = r#"{"job":{"submitted_unix_ms":5,"id":"j-1"},"more_parts":1,"total":9}"#;
    StoredObject {
        name: "j-1".to_owned(),
        revision: 3,
        spec: RawValue::from_string(spec.to_owned()).expect("valid JSON"),
        status: None,
    }
}

fn object_text(object: &StoredObject) -> String {
    let status = object.status.as_ref().map(|status| status.get().to_owned());
    format!(
        "{} {} {} {}",
        object.name,
        object.revision,
        object.spec,
        status.unwrap_or_default()
    )
}

fn platform_names() -> Vec<Line> {
    let mut buf = EventBuffer::default();
    buf.push(b"id: 3\nweight-versions: 5\ndata: a\ndata: b\n\nid");
    let RunEvent { id, data, version } = buf.next_event().expect("a block").expect("an event");
    vec![
        text(
            "event of a run",
            format!("{id:?} {data:?} {version:?} {}", buf.has_remaining()),
        ),
        text(
            "paths",
            [paths::READY, paths::REPORT, paths::ORDER].join(" "),
        ),
        text("path of a list", paths::object_list("k", Some("n"))),
        text("path of a watch", paths::object_watch("k", 5, Millis(25))),
        text("path of a status", paths::object_status("k", "n")),
        text("settings variable", SETTINGS_VARIABLE),
        text(
            "headers",
            [
                headers::REQUEST_ID,
                headers::DEADLINE_MS,
                headers::EXPECT_INSTANCE,
                headers::NOT_RUN,
                headers::SIGNATURE,
                headers::WEIGHT_VERSION,
                headers::LAST_EVENT_ID,
                headers::WAIT_MS,
                headers::RETRY_AFTER,
                headers::LENGTH_HINT,
            ]
            .join(" "),
        ),
    ]
}

/// Calls of an agent to its engine, and of an entry to a service.
fn outward_calls() -> Vec<Line> {
    let log = CallLog::spawn();
    let order = LoadOrder {
        model: "advisor",
        version: 5,
        holder: "a-1",
        fence: 3,
        orders_accepted: 4,
    };
    runtime::run(async {
        let mut lines = Vec::new();
        let mut sent = |name: &str| lines.push(text(name, log.take()));
        let engine = EngineClient::new(
            log.addr,
            Rc::default(),
            Rc::new(LimitRegistry::new(Metrics::default())),
        );
        engine.report(None).await.expect("a report");
        sent("report of an engine");
        let listed = EndpointEntry {
            instance: "e-1".to_owned(),
            ..endpoint(EndpointState::Ready)
        };
        let answer = engine.order_load(&listed, &order).await;
        answer.expect("an answer");
        sent("order to an engine");
        let always = SendCondition::default();
        let answer = engine.run(&work_item(), &listed, 0, &always).await;
        answer.expect("an answer");
        sent("run");
        let answer = engine.run(&work_item(), &listed, 3, &always).await;
        answer.expect("an answer");
        sent("run that goes on");
        let answer = engine.run(&owned_work_item(), &listed, 0, &always).await;
        answer.expect("an answer");
        sent("run for a workspace");
        let view = SharedView::default();
        let entry = EndpointEntry {
            addr: log.addr,
            service: "desk".to_owned(),
            ..endpoint(EndpointState::Ready)
        };
        view.update(|view| view.endpoints = Arc::new(EndpointTable::from_entries(vec![entry])));
        let identity = CallerIdentity {
            role: CallerRole::Entry,
            node: "f-1".to_owned(),
            domain: "z".to_owned(),
        };
        let store = StoreClient::new(log.addr, StoreHealth::default());
        let features = FeatureSettings::default();
        let caller = Caller::new(view, identity, store, Metrics::default(), features);
        caller.call(&call_request()).await;
        sent("call to a service");
        let limits = StreamLimits::of(Millis(400));
        let opened = EventStream::open(&caller, call_request(), 0, limits).await;
        drop(opened);
        sent("call for a stream");
        lines
    })
}

fn call_request() -> CallRequest {
    let mut headers = HeaderMap::new();
    headers.insert("x-caller", "a".parse().expect("a value"));
    CallRequest {
        id: "r-1".to_owned(),
        method: Method::POST,
        target: Uri::from_static("/calls/a?b=c"),
        headers,
        body: Bytes::from_static(b"body"),
        service: "desk".to_owned(),
        repeatable: true,
        attempts: 1,
        objective: Millis(60_000),
        deadline: oleander_base::boot_clock::now().plus(Millis(60_000)),
        resumes: None,
        workspace: None,
        usage: None,
        trial: false,
        condition: Default::default(),
        memory: Default::default(),
    }
}

/// What log lines print of types: `{:?}` and `{}`.
fn printed_names() -> Vec<Line> {
    let choices = [
        EvenReason::Turn,
        EvenReason::Connected,
        EvenReason::Untried,
        EvenReason::OtherDomain,
        EvenReason::OwnDomainOut,
        EvenReason::AllAvoided,
    ];
    let reason = || "why".to_owned();
    let store_faults = [
        StoreError::NotDone { reason: reason() },
        StoreError::NoAnswer { reason: reason() },
        StoreError::Conflict,
        StoreError::HistoryGone,
    ];
    let written: [Result<(), StoreError>; 2] = [Ok(()), Err(StoreError::Conflict)];
    let send_faults = [
        SendError::NotSent { reason: reason() },
        SendError::NoAnswer { reason: reason() },
        SendError::Withheld { reason: "why" },
    ];
    let answers: [Result<StatusCode, SendError>; 2] = [
        Ok(StatusCode::ACCEPTED),
        Err(SendError::NotSent { reason: reason() }),
    ];
    let leader_faults = [
        LeaderError::Unknown,
        LeaderError::NotLeading,
        LeaderError::Unsure,
        LeaderError::NoAnswer { reason: reason() },
    ];
    let standings = [
        LeadershipState::Standby,
        LeadershipState::Recovering { epoch: 3 },
        LeadershipState::Leading { epoch: 3 },
    ];
    let probes = [
        LeaderProbe::NoAnswer,
        LeaderProbe::NotLeading,
        LeaderProbe::Leading {
            store_age: Millis(40),
        },
    ];
    let verdicts = [
        PulseVerdict::Wait,
        PulseVerdict::ProbeAgain,
        PulseVerdict::TakeOver,
    ];
    let ends = [
        RunEnd::Whole,
        RunEnd::Refused,
        RunEnd::Broken,
        RunEnd::Failed,
        RunEnd::Impossible,
        RunEnd::WrongWeights,
        RunEnd::OtherInstance,
        RunEnd::NotRouted,
        RunEnd::Unreachable,
    ];
    let stored = [
        SubmitOutcome::Accepted,
        SubmitOutcome::AcceptedBefore,
        SubmitOutcome::Refused,
        SubmitOutcome::Unknown,
    ];
    let recalls: [&str; 4] = [
        RecallReason::SlowEngine.into(),
        RecallReason::Straggler.into(),
        RecallReason::NoSlot.into(),
        RecallReason::OtherService.into(),
    ];
    let returns = hand_in()
        .returned
        .into_iter()
        .map(|item| item.reason.to_string());
    let route_kinds = deployment_config()
        .routes
        .into_iter()
        .map(|route| route.kind.to_string());
    let roles = [Role::Entry, Role::Agent, Role::Dispatcher].map(|role| role.to_string());
    let states = [EndpointState::Ready, EndpointState::Draining];
    let job_call = |method: &str, path: &str, query: Option<&str>| {
        format!("{:?}", JobCall::parse(method, path, query))
    };
    vec![
        text("fault of the store", format!("{store_faults:?}")),
        text(
            "fault of the store, shown",
            store_faults.map(|fault| fault.to_string()).join("; "),
        ),
        text("write", format!("{written:?}")),
        text(
            "fault of an exchange, shown",
            send_faults.map(|fault| fault.to_string()).join("; "),
        ),
        text("answer to an order", format!("{answers:?}")),
        text(
            "fault of the leader, shown",
            leader_faults.map(|fault| fault.to_string()).join("; "),
        ),
        text("standing", format!("{standings:?}")),
        text("probe of the leader", format!("{probes:?}")),
        text("verdict", format!("{verdicts:?}")),
        text("end of a run", format!("{ends:?}")),
        text("submission", stored.map(|one| one.to_string()).join(" ")),
        text("recall", recalls.join(" ")),
        text("reason of a return", returns.collect::<Vec<_>>().join(" ")),
        text("kind of a route", route_kinds.collect::<Vec<_>>().join(" ")),
        text("role", roles.join(" ")),
        text("state of an endpoint", format!("{states:?}")),
        text(
            "reason of a choice",
            choices.map(|one| one.to_string()).join(" "),
        ),
        text(
            "read of results",
            job_call("GET", "/-/lots/j-1", Some("after=4")),
        ),
        text(
            "odd read of results",
            job_call("GET", "/-/lots/j-1", Some("after=x")),
        ),
        text(
            "read of a body",
            job_call("GET", "/-/items/j-1", Some("id=i-1")),
        ),
        text("end of a job", job_call("DELETE", "/-/lots/j-1", None)),
        text("weights", format!("{:?}", weights())),
        text("item", key("i-1")),
        text("length", Millis(40)),
    ]
}

const SETTINGS: [(&str, &str, &str); 14] = [
    ("node", "name", "n-1"),
    ("node", "domain", "z"),
    ("node", "memory_mb", "5"),
    ("listen", "calls", "10.0.0.1:1"),
    ("listen", "ready", "10.0.0.1:2"),
    ("listen", "peers", "10.0.0.1:3"),
    ("listen", "told", "10.0.0.1:4"),
    ("listen", "metrics", "10.0.0.1:5"),
    ("store", "addr", "10.0.0.1:6"),
    ("store", "value_bytes", "7"),
    ("engine", "addr", "10.0.0.1:8"),
    ("bounds", "grace", "9s"),
    ("bounds", "settle", "10ms"),
    ("bounds", "keep_results", "11s"),
];

/// The whole settings as the log line of a change prints them, and a fault for each key.
fn settings() -> Vec<Line> {
    let read = |of: &dyn Fn(usize) -> Option<(&'static str, String, &'static str)>| {
        let mut lines = String::new();
        let mut last = "";
        for (section, key, value) in (0..SETTINGS.len()).filter_map(of) {
            if section != last {
                lines.push_str(&format!("[{section}]\n"));
                last = section;
            }
            lines.push_str(&format!("{key} = {value}\n"));
        }
        match Settings::parse(&lines).and_then(Config::read) {
            Ok(cfg) => format!("{cfg:?}"),
            Err(faults) => faults.to_string(),
        }
    };
    let whole = |at: usize| {
        let (section, key, value) = SETTINGS[at];
        Some((section, key.to_owned(), value))
    };
    let mut lines = vec![text("whole", read(&whole))];
    for (place, (section, key, value)) in SETTINGS.into_iter().enumerate() {
        let without = |at: usize| whole(at).filter(|_| at != place);
        let misspelt = |at: usize| {
            if at == place {
                Some((section, format!("{key}x"), value))
            } else {
                whole(at)
            }
        };
        let odd = |at: usize| {
            if at == place {
                Some((section, key.to_owned(), "?"))
            } else {
                whole(at)
            }
        };
        lines.push(text(format!("without [{section}] {key}"), read(&without)));
        lines.push(text(format!("misspelt [{section}] {key}"), read(&misspelt)));
        lines.push(text(format!("odd [{section}] {key}"), read(&odd)));
    }
    lines.push(text("settings of the platform", settings_of_platform()));
    lines
}

/// The platform fills in `{{...}}`.
fn settings_of_platform() -> String {
    let file = std::fs::read_to_string(root().join("deploy/node.ini")).expect("a file");
    let mut filled = file.clone();
    for (name, value) in [
        ("node", "n-1"),
        ("zone", "z"),
        ("listen.front", "10.0.0.1:1"),
        ("listen.ready", "10.0.0.1:2"),
        ("ip", "10.0.0.1"),
        ("port_range.0", "3"),
        ("port_range.1", "4"),
        ("platform.addr", "10.0.0.1:5"),
        ("limits.ram_mb", "5"),
        ("platform.value_bytes", "6"),
        ("app", "10.0.0.1:7"),
        ("bounds.grace_s", "8"),
        ("bounds.settle_ms", "9"),
        ("bounds.status_s", "10"),
    ] {
        filled = filled.replace(&format!("{{{{{name}}}}}"), value);
    }
    match Settings::parse(&filled).and_then(Config::read) {
        Ok(cfg) => format!("{cfg:?}"),
        Err(faults) => faults.to_string(),
    }
}

fn metrics() -> Vec<Line> {
    let metrics = Metrics::default();
    metrics.record_refusal("a");
    metrics.record_retry("b");
    metrics.count_event("c");
    metrics.count_workspace_requests("acme", 3);
    metrics.record_latency("d", Millis(40));
    let page = metrics.encode();
    let lines = page.lines().enumerate();
    lines
        .map(|(at, line)| text(format!("line {at:02}"), line))
        .collect()
}

fn events() -> Vec<Line> {
    let found = source_scan::events(Path::new(env!("CARGO_MANIFEST_DIR")));
    found
        .into_iter()
        .map(|(event, count)| text(event, count))
        .collect()
}

fn texts() -> Vec<Line> {
    let mut lines = Vec::new();
    for folder in CRATES {
        let name = folder.rsplit('/').next().unwrap_or_default();
        let found = source_scan::texts(&root().join(folder)).into_iter();
        for (found, count) in found.filter(|(text, _)| !text.contains(' ')) {
            lines.push(text(format!("{name} {found:?}"), count));
        }
    }
    lines
}
