//! The agent daemon.

use crate::agent::agent_control::AgentControl;
use crate::agent::agent_cx::AgentCx;
use crate::agent::agent_event::AgentEvent;
use crate::agent::agent_http;
use crate::agent::agent_settings::AgentConfig;
use crate::prelude::*;
use crate::process::http_server::{self, HttpServer};
use crate::process::metrics::Metrics;
use crate::process::open_error::OpenError;
use crate::process::runtime;
use oleander_link::{Delivery, LinkKeys, Mailbox};
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;

/// A running agent.
pub struct Agent {
    events: Sender<AgentEvent>,
    control: JoinHandle<()>,
    mailbox: Mailbox,
    server: HttpServer,
}

impl Agent {
    /// Binds the addresses and starts the threads and the probes of the endpoint.
    ///
    /// # Errors
    ///
    /// [`OpenError`] when an address can't be bound or a thread can't be started.
    pub fn open(cfg: AgentConfig) -> Result<Self, OpenError> {
        runtime::start_traffic_threads(cfg.node.traffic_threads);
        let incarnation = Incarnation(rand::random());
        let metrics = Metrics::new("oleander_agent");
        let keys = LinkKeys::derive(&cfg.node.link_keys);
        let (events, inbox) = channel();
        let mailbox = bind_mailbox(&cfg, keys.clone(), events.clone())?;
        let peers = Peers::new(&cfg.node.link, incarnation, keys, |_| ());
        let server = http_server::serve(cfg.node.http, {
            agent_http::handler(events.clone(), metrics.clone())
        })?;
        let cx = AgentCx::new(Arc::new(cfg), metrics, peers, events.clone());
        cx.start_probes();
        log::info!("event=open role=agent incarnation={incarnation}");
        let mut state = AgentControl::new(cx, incarnation);
        let control = runtime::spawn_control(inbox, move |event| state.handle(event))?;
        Ok(Self {
            events,
            control,
            mailbox,
            server,
        })
    }

    /// Returns a sender for events such as [`AgentEvent::Stop`].
    pub fn events(&self) -> Sender<AgentEvent> {
        self.events.clone()
    }

    /// Waits until the agent has stopped gracefully.
    pub fn wait(self) {
        let ended = self.control.join();
        if ended.is_err() {
            log::error!("event=control-panicked role=agent");
        }
        self.server.close();
        runtime::flush_links();
        drop(self.mailbox);
        log::info!("event=closed role=agent");
    }
}

fn bind_mailbox(
    cfg: &AgentConfig,
    keys: LinkKeys,
    events: Sender<AgentEvent>,
) -> Result<Mailbox, OpenError> {
    let deliver = move |delivery| {
        let event = match delivery {
            Delivery::Frame(frame) => AgentEvent::Frame(frame),
            Delivery::Refused(error) => AgentEvent::FrameRefused(error),
        };
        let _ = events.send(event);
    };
    Ok(Mailbox::bind(&cfg.node.link, keys, deliver)?)
}
