//! The control thread, which watches the store and updates the view.

use super::config_interest::ConfigInterest;
use super::crash_objects::CRASH_KIND;
use super::dispatcher_object::{DISPATCHER_KIND, DispatcherObject, NODE_PREFIX};
use super::endpoint_freshness::EndpointFreshness;
use super::endpoint_watcher::EndpointWatcher;
use super::gate::Gate;
use super::interests::Interests;
use super::leader_object::{LEADER_NAME, LeaderObject};
use super::on_disconnect::OnDisconnect;
use super::shared_view::SharedView;
use super::store_client::StoreClient;
use super::store_health::StoreHealth;
use super::view::View;
use super::watch::{WATCH_WAIT, follow};
use super::watch_event::WatchEvent;
use crate::prelude::*;
use crate::runtime::spawn_thread;
use indexmap::IndexSet;
use oleander_platform::config::decode_config;
use oleander_platform::object::{
    CONFIG_KIND, CONFIG_NAME, ENDPOINT_KIND, RETIREMENT_KIND, VERSION_KIND,
};
use oleander_platform::retirement;
use oleander_platform::stored_object::StoredObject;
use oleander_platform::target_version::decode_version;
use oleanderlock::routing::crash_suspects::CrashSuspects;
use oleanderlock::routing::route_table::RouteTable;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

/// Starts the thread that updates `view` from the store: the objects about dispatchers all the
/// time, other kinds according to `interests` and `gate`. Records in `freshness` when the endpoints were
/// current.
///
/// # Errors
///
/// The error of the operating system if the thread can't be started.
pub fn spawn_follower(
    store: SocketAddr,
    interests: Interests,
    gate: Gate,
    health: StoreHealth,
    freshness: EndpointFreshness,
    view: SharedView,
) -> std::io::Result<JoinHandle<()>> {
    spawn_thread("control", move || {
        crate::runtime::run(follow_all(store, interests, gate, health, freshness, view))
    })
}

/// Watches all kinds of interest; never returns.
async fn follow_all(
    store: SocketAddr,
    interests: Interests,
    gate: Gate,
    health: StoreHealth,
    freshness: EndpointFreshness,
    view: SharedView,
) {
    let store = StoreClient::new(store, health.clone());
    let follow_kind = |kind, gate: &Gate, apply: fn(&SharedView, WatchEvent)| {
        let view = view.clone();
        let apply = move |watch_event| {
            apply(&view, watch_event);
            true
        };
        follow(
            Rc::clone(&store),
            kind,
            (OnDisconnect::List, WATCH_WAIT),
            gate.clone(),
            apply,
        )
    };
    if let Some(interest) = interests.config {
        let gate = match interest {
            ConfigInterest::Always => &Gate::open(),
            ConfigInterest::WhileOpen => &gate,
        };
        spawn(follow_kind(CONFIG_KIND, gate, apply_config));
    }
    if let Some(wait) = interests.endpoints {
        let endpoints = EndpointWatcher::new(
            Rc::clone(&store),
            view.clone(),
            gate.clone(),
            health.clone(),
            freshness,
        );
        spawn(follow(
            Rc::clone(&store),
            ENDPOINT_KIND,
            (OnDisconnect::List, wait),
            gate.clone(),
            move |watch_event| {
                endpoints.apply(watch_event);
                true
            },
        ));
    }
    if interests.versions {
        spawn(follow_kind(VERSION_KIND, &gate, apply_version));
    }
    if interests.retirements {
        spawn(follow_kind(RETIREMENT_KIND, &gate, apply_retirement));
    }
    if interests.crash_suspects {
        spawn(follow_kind(CRASH_KIND, &Gate::open(), apply_crashes));
    }
    follow_kind(DISPATCHER_KIND, &Gate::open(), apply_dispatcher).await;
}

/// Returns the objects that an event brings.
fn objects_of(watch_event: WatchEvent) -> Vec<StoredObject> {
    match watch_event {
        WatchEvent::All(objects, _) => objects,
        WatchEvent::Put(object) => vec![object],
        WatchEvent::Gone(_) | WatchEvent::Current(_) | WatchEvent::Regained | WatchEvent::Lost => {
            Vec::new()
        }
    }
}

fn apply_config(view: &SharedView, watch_event: WatchEvent) {
    apply_config_objects(view, objects_of(watch_event));
}

/// Puts the configuration among `objects` into force if it is newer than the one in force.
pub fn apply_config_objects(view: &SharedView, objects: Vec<StoredObject>) {
    let objects = objects.into_iter();
    for object in objects.filter(|object| object.name == CONFIG_NAME) {
        match decode_config(object.spec.get()) {
            Ok((config, faults)) => {
                for err in faults {
                    event(log::Level::Warn, "config-part-unreadable", || {
                        format!("reason=\"{err}\"")
                    });
                }
                adopt_config(view, RouteTable::new(config));
            }
            Err(err) => event(log::Level::Error, "config-unreadable", || {
                format!("reason=\"{err}\"")
            }),
        }
    }
}

/// Puts a configuration into force unless its version, or a newer one, already is.
pub fn adopt_config(view: &SharedView, table: RouteTable) {
    let version = table.config.version;
    let version_of = |view: &View| view.routes.as_ref().map(|routes| routes.config.version);
    let is_newer = |known: Option<u64>| known.is_none_or(|known| known < version);
    let known = version_of(&view.get());
    if !is_newer(known) {
        return;
    }
    let routes = table.config.routes.len();
    for conflict in table.keys.iter().flat_map(|keys| &keys.conflicts) {
        event(log::Level::Warn, "key-held-twice", || {
            format!("version={version} reason=\"{conflict}\"")
        });
    }
    view.update(|view| {
        // Another thread may have put a newer one into force meanwhile.
        if is_newer(version_of(view)) {
            view.routes = Some(Arc::new(table));
        }
    });
    event(log::Level::Info, "config-in-force", || {
        let before = known.map_or("none".to_owned(), |known| known.to_string());
        format!("version={version} before={before} routes={routes}")
    });
}

fn apply_version(view: &SharedView, watch_event: WatchEvent) {
    for object in objects_of(watch_event) {
        match decode_version(object.spec.get()) {
            Ok(named) => {
                event(log::Level::Info, "version-named", || {
                    format!("model={} version={}", named.model, named.version)
                });
                view.update(|view| {
                    let newest = view.versions.entry(named.model).or_default();
                    *newest = named.version.max(*newest);
                });
            }
            Err(err) => event(log::Level::Warn, "version-unreadable", || {
                format!("name={} reason=\"{err}\"", object.name)
            }),
        }
    }
}

fn apply_retirement(view: &SharedView, watch_event: WatchEvent) {
    if let WatchEvent::Gone(name) = &watch_event {
        view.update(|view| {
            view.retiring.shift_remove(name);
        });
    }
    for object in objects_of(watch_event) {
        let status = object.status.as_ref().map_or("", |status| status.get());
        let done = !status.is_empty() && retirement::is_done(status);
        view.update(|view| {
            if done {
                view.retiring.shift_remove(&object.name);
            } else {
                view.retiring.insert(object.name.clone());
            }
        });
    }
}

fn apply_crashes(view: &SharedView, watch_event: WatchEvent) {
    if !watch_event.is_change() {
        return;
    }
    let mut suspects = match &watch_event {
        WatchEvent::All(..) => CrashSuspects::default(),
        _ => CrashSuspects::clone(&view.get().crash_suspects),
    };
    if let WatchEvent::Gone(name) = &watch_event {
        suspects.clear(name);
    }
    for object in objects_of(watch_event) {
        match serde_json::from_str(object.spec.get()) {
            Ok(crashes) => suspects.record(&object.name, &crashes),
            Err(err) => event(log::Level::Warn, "crashes-unreadable", || {
                format!("name={} reason=\"{err}\"", object.name)
            }),
        }
    }
    view.update(|view| view.crash_suspects = Arc::new(suspects));
}

fn apply_dispatcher(view: &SharedView, watch_event: WatchEvent) {
    if !watch_event.is_change() {
        return;
    }
    let registered = view.get().dispatchers.len();
    view.update(|view| {
        match &watch_event {
            WatchEvent::All(objects, revision) => {
                if view.first_revision == 0 {
                    view.first_revision = *revision;
                }
                let names = objects.iter().map(|object| object.name.as_str());
                let listed: IndexSet<&str> = names
                    .filter_map(|name| name.strip_prefix(NODE_PREFIX))
                    .collect();
                let dispatchers = &mut view.dispatchers;
                dispatchers.retain(|node, _| listed.contains(node.as_str()));
            }
            WatchEvent::Gone(name) => {
                if let Some(node) = name.strip_prefix(NODE_PREFIX) {
                    view.dispatchers.shift_remove(node);
                }
            }
            _ => {}
        }
        let mut objects = objects_of(watch_event);
        objects.sort_by_key(|object| object.revision);
        for object in &objects {
            apply_dispatcher_object(view, object);
        }
        view.dispatchers_known = true;
        if view.dispatchers.len() != registered {
            event(log::Level::Info, "dispatchers-known", || {
                format!("registered={}", view.dispatchers.len())
            });
        }
    });
}

fn apply_dispatcher_object(view: &mut View, object: &StoredObject) {
    let spec = object.spec.get();
    if object.name == LEADER_NAME {
        match serde_json::from_str::<LeaderObject>(spec) {
            Ok(leader) => {
                event(log::Level::Info, "leader-known", || {
                    format!("epoch={} leader={}", leader.epoch, leader.node)
                });
                view.leader = Some((leader, object.revision));
            }
            Err(err) => event(log::Level::Error, "leader-unreadable", || {
                format!("reason=\"{err}\"")
            }),
        }
    } else if let Some(node) = object.name.strip_prefix(NODE_PREFIX) {
        match serde_json::from_str::<DispatcherObject>(spec) {
            Ok(dispatcher) => {
                view.dispatchers.shift_remove(node);
                view.dispatchers.insert(node.to_owned(), dispatcher.addr);
            }
            Err(err) => event(log::Level::Warn, "dispatcher-unreadable", || {
                format!("name={} reason=\"{err}\"", object.name)
            }),
        }
    }
}
