//! The stand-in for the platform's lagging list of instances.

use crate::reply::{self, with};
use crate::server::{Server, StopFlag};
use crate::switches::Switches;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use strum::{Display, EnumString};
use trillium::Conn;
use trillium_router::{Router, RouterConnExt};

/// Snapshots kept for lagging answers.
const SNAPSHOTS_MAX: usize = 1024;

/// What runs at an instance.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// An entry instance.
    Entry,
    /// An endpoint instance with its agent.
    Agent,
}

/// What the platform says of an instance.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum InstanceState {
    /// In service.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name, unique in the list.
    pub name: String,
    /// What runs there.
    pub role: Role,
    /// HTTP address.
    pub http: String,
    /// Link address.
    pub link: String,
    /// Failure domain.
    pub domain: String,
    /// Region.
    pub region: String,
    /// What the platform says of it.
    pub state: InstanceState,
}

/// Settings and fault switches of the list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListSwitches {
    /// Age of what is answered, in milliseconds.
    pub lag_ms: u64,
    /// Every call for the list answers 503.
    pub outage: bool,
}

/// The instances as the list answers them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct InstanceList {
    /// Instances in the order in which they came.
    pub instances: Vec<Instance>,
}

#[derive(Serialize)]
struct ListRecord {
    changes: u64,
    reads: u64,
}

struct Snapshot {
    at: Instant,
    instances: IndexMap<String, Instance>,
}

struct State {
    snapshots: VecDeque<Snapshot>,
    record: ListRecord,
}

struct List {
    switches: Switches<ListSwitches>,
    state: Mutex<State>,
}

/// Starts a list of instances.
pub fn spawn(listen: SocketAddr, switches: ListSwitches) -> io::Result<Server> {
    let state = State {
        snapshots: VecDeque::new(),
        record: ListRecord {
            changes: 0,
            reads: 0,
        },
    };
    let list = Arc::new(List {
        switches: Switches::new(switches),
        state: Mutex::new(state),
    });
    let router = Router::new()
        .get("/instances", with(&list, get))
        .put("/instances/:name", with(&list, put))
        .delete("/instances/:name", with(&list, delete))
        .get("/control", with(&list.switches, Switches::show))
        .post("/control", with(&list.switches, Switches::change))
        .get("/record", with(&list, record));
    Server::bind(listen, StopFlag::default(), router)
}

impl List {
    fn change(&self, change: impl FnOnce(&mut IndexMap<String, Instance>)) {
        let mut state = self.state.lock();
        let last = state.snapshots.back();
        let mut instances = last.map(|last| last.instances.clone()).unwrap_or_default();
        change(&mut instances);
        state.record.changes += 1;
        state.snapshots.push_back(Snapshot {
            at: Instant::now(),
            instances,
        });
        if state.snapshots.len() > SNAPSHOTS_MAX {
            state.snapshots.pop_front();
        }
    }

    fn lagging(&self) -> InstanceList {
        let lag = Duration::from_millis(self.switches.lock().lag_ms);
        let mut state = self.state.lock();
        state.record.reads += 1;
        let mut snapshots = state.snapshots.iter().rev();
        let found = snapshots.find(|snapshot| snapshot.at.elapsed() >= lag);
        let instances = found.map(|snapshot| snapshot.instances.values().cloned().collect());
        InstanceList {
            instances: instances.unwrap_or_default(),
        }
    }
}

async fn get(list: Arc<List>, conn: Conn) -> Conn {
    if list.switches.lock().outage {
        return reply::error(conn, 503, "outage");
    }
    reply::json(conn, 200, &list.lagging())
}

async fn put(list: Arc<List>, conn: Conn) -> Conn {
    let (conn, instance) = match reply::read::<Instance>(conn).await {
        Ok(read) => read,
        Err(conn) => return conn,
    };
    if conn.param("name") != Some(instance.name.as_str()) {
        return reply::error(conn, 400, "the body names another instance");
    }
    list.change(|instances| {
        instances.insert(instance.name.clone(), instance.clone());
    });
    reply::json(conn, 200, &instance)
}

async fn delete(list: Arc<List>, conn: Conn) -> Conn {
    let name = conn.param("name").unwrap_or_default().to_owned();
    list.change(|instances| {
        instances.shift_remove(&name);
    });
    conn.with_status(204).halt()
}

async fn record(list: Arc<List>, conn: Conn) -> Conn {
    let state = list.state.lock();
    reply::json(conn, 200, &state.record)
}
