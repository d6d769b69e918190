//! A deployment of real processes and stand-ins.

use super::deployment_size::DeploymentSize;
use super::http::{Reply, call, send};
use super::node::Node;
use super::process::PROGRAM;
use super::stand_ins::StandIns;
use super::{HOST, config_with_streams, read_text, wait_for};
use oleander_platform_standins::stand_in_engine::StandInEngine;
use oleander_platform_standins::stand_in_service::StandInService;
use oleander_platform_standins::stand_in_store::StandInStore;
use serde_json::Value;
use std::net::TcpStream;
use std::path::PathBuf;

/// Running processes of the system and their stand-ins.
pub struct Deployment {
    pub store: StandInStore,
    pub engines: Vec<StandInEngine>,
    pub services: Vec<StandInService>,
    pub entries: Vec<Node>,
    pub agents: Vec<Node>,
    pub dispatchers: Vec<Node>,
}

impl Deployment {
    pub fn start(size: DeploymentSize) -> Self {
        Self::start_as(size, &|_| PROGRAM.into())
    }

    /// Starts a deployment whose processes have settings in addition to those of [`Self::start`].
    pub fn start_with_settings(size: DeploymentSize, more_settings: &str) -> Self {
        Self::start_nodes(size, |node| node.more_settings = more_settings.to_owned())
    }

    /// Starts a deployment without engines, with one entry and one service, and returns when the entry
    /// knows the service.
    pub fn start_with_one_service() -> Self {
        let deployment = Self::start(DeploymentSize {
            entries: 1,
            engines: 0,
            dispatchers: 1,
            services: 1,
        });
        let headers = [("request-id", "warm"), ("deadline-ms", "1400")];
        wait_for("the entry knows the endpoint", || {
            let reply = deployment.call(0, "POST", "/once/x", &headers, b"body");
            reply.is_some_and(|reply| reply.status == 200)
        });
        deployment
    }

    /// Starts a deployment without services, with a route for streams to its engines.
    pub fn start_with_streams(entries: usize, engines: usize) -> Self {
        let deployment = Self::start(DeploymentSize {
            entries,
            engines,
            dispatchers: 1,
            services: 0,
        });
        let config = config_with_streams(2);
        deployment.store.put("config", "main", &config);
        deployment
    }

    /// Does the same as [`Self::start_with_streams`] with one entry and two engines, and returns when the
    /// entry has had a stream from both.
    pub fn start_with_streams_at_both() -> Self {
        let deployment = Self::start_with_streams(1, 2);
        wait_for("the route is in force at both engines", || {
            deployment.read_stream("/talk/x", "warm", 1);
            let mut engines = deployment.engines.iter();
            engines.all(|engine| !engine.runs().is_empty())
        });
        deployment
    }

    /// Requests a stream of `events` events below a path from the first entry and reads the response.
    pub fn read_stream(&self, path: &str, id: &str, events: usize) -> String {
        let headers = [("host", HOST), ("request-id", id), ("deadline-ms", "8000")];
        read_text(self.open_stream_at(path, 0, events, &headers))
    }

    /// Replaces an engine, at its address, by an instance with another software version.
    pub fn set_software(&self, engine: usize, version: &str) {
        let engine = &self.engines[engine];
        self.store.remove("servers", &engine.instance());
        engine.restart_as(&format!("{}-{version}", engine.instance()));
        engine.set_software(version);
        self.store
            .put("servers", &engine.instance(), &engine.entry("llm"));
    }

    /// Requests a stream of `events` events from an entry and returns the connection.
    pub fn open_stream(
        &self,
        entry: usize,
        id: &str,
        events: usize,
        deadline_ms: u64,
    ) -> TcpStream {
        let deadline = deadline_ms.to_string();
        let headers = [
            ("host", HOST),
            ("request-id", id),
            ("deadline-ms", deadline.as_str()),
        ];
        self.open_stream_at("/talk/x", entry, events, &headers)
    }

    /// Requests a stream of `events` events below a path and returns the connection.
    pub fn open_stream_at(
        &self,
        path: &str,
        entry: usize,
        events: usize,
        headers: &[(&str, &str)],
    ) -> TcpStream {
        let addr = self.entries[entry].calls;
        let body = events.to_string();
        let stream = send(addr, "POST", path, headers, body.as_bytes());
        stream.expect("a connection")
    }

    /// Starts the program that is named for each role.
    pub fn start_as(size: DeploymentSize, program: &dyn Fn(&str) -> PathBuf) -> Self {
        Self::start_nodes(size, |node| node.program = program(node.role))
    }

    /// Starts a deployment whose nodes `set_up` has changed.
    pub fn start_nodes(size: DeploymentSize, set_up: impl Fn(&mut Node)) -> Self {
        let stand_ins = StandIns::spawn(size);
        for n in 0..size.engines {
            stand_ins.list_engine(n, stand_ins.engines[n].addr());
        }
        for n in 0..size.services {
            stand_ins.list_service(n, stand_ins.services[n].addr());
        }
        let StandIns {
            store,
            engines,
            services,
        } = stand_ins;
        let nodes = |count: usize, role: &'static str| -> Vec<Node> {
            let names = (0..count).map(|n| format!("{role}-{n}"));
            names
                .map(|name| Node::new(&name, role, store.addr(), None))
                .collect()
        };
        let agents = engines.iter().enumerate().map(|(n, engine)| {
            Node::new(
                &format!("agent-{n}"),
                "agent",
                store.addr(),
                Some(engine.addr()),
            )
        });
        let mut deployment = Self {
            entries: nodes(size.entries, "entry"),
            agents: agents.collect(),
            dispatchers: nodes(size.dispatchers, "dispatcher"),
            store,
            engines,
            services,
        };
        for node in deployment.nodes_mut() {
            set_up(node);
            node.start();
        }
        for n in 0..size.entries {
            let ready = deployment.entries[n].ready;
            wait_for("an entry is ready", || {
                deployment.nodes_mut().for_each(Node::expect_running);
                call(ready, "GET", "/-/ready", &[], b"").is_some_and(|reply| reply.status == 200)
            });
        }
        wait_for("a dispatcher knows all engines", || {
            deployment.nodes_mut().for_each(Node::expect_running);
            let leader = deployment.leader();
            let log = leader.map(|n| deployment.dispatchers[n].process().log());
            let log = log.unwrap_or_default();
            (0..size.engines).all(|n| {
                let known = log
                    .lines()
                    .filter(|line| line.contains("event=agent-known"));
                let mut of_agent = known.filter(|line| line.contains(&format!("agent=agent-{n} ")));
                of_agent.any(|line| line.contains("slots=8"))
            })
        });
        deployment
    }

    pub fn nodes_mut(&mut self) -> impl Iterator<Item = &mut Node> {
        let nodes = self.entries.iter_mut().chain(&mut self.agents);
        nodes.chain(&mut self.dispatchers)
    }

    /// Calls the entry with this index; `None` when the connection ends without a complete
    /// response.
    pub fn call(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Option<Reply> {
        let mut all = vec![("host", HOST)];
        all.extend_from_slice(headers);
        call(self.entries[entry].calls, method, path, &all, body)
    }

    /// Submits a job, repeatedly until it is accepted.
    pub fn submit(&self, entry: usize, job: &str, body: &Value) {
        wait_for("a job is accepted", || {
            self.try_submit(entry, job, body) == Some(202)
        });
    }

    pub fn try_submit(&self, entry: usize, job: &str, body: &Value) -> Option<u16> {
        let path = format!("/rollout/{job}");
        let headers = [("request-id", job), ("deadline-ms", "3000")];
        let reply = self.call(entry, "POST", &path, &headers, body.to_string().as_bytes());
        reply.map(|reply| reply.status)
    }

    /// Reads the results that are listed behind the first `after`; `None` when the entry can't
    /// tell.
    pub fn read(&self, entry: usize, job: &str, after: usize) -> Option<Value> {
        let path = format!("/-/lots/{job}?after={after}");
        let reply = self.call(entry, "GET", &path, &[("wait-ms", "200")], b"")?;
        let read = (reply.status == 200).then(|| serde_json::from_slice(&reply.body).ok());
        read.flatten()
    }

    /// Waits until all `total` items of a job are listed, and returns the results.
    pub fn read_all(&self, entry: usize, job: &str, total: usize) -> Vec<Value> {
        let mut results: Vec<Value> = Vec::new();
        wait_for("all results are listed", || {
            if let Some(read) = self.read(entry, job, results.len()) {
                assert_eq!(read["total"], total);
                let new = read["results"].as_array().expect("results");
                results.extend(new.iter().cloned());
                assert_eq!(read["next"], results.len());
            }
            results.len() >= total
        });
        results
    }

    /// Returns the number of runs in progress at all engines.
    pub fn running(&self) -> usize {
        self.engines.iter().map(StandInEngine::running).sum()
    }

    /// Returns the index of the leading dispatcher, according to the store.
    pub fn leader(&self) -> Option<usize> {
        let object = self.store.get("dispatchers", "leader")?;
        let node = object["spec"]["node"].as_str()?.to_owned();
        self.dispatchers.iter().position(|one| one.name == node)
    }
}
