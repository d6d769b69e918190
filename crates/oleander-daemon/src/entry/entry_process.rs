//! Starts and stops an entry.

use crate::entry::entry_control::EntryControl;
use crate::entry::entry_cx::EntryCx;
use crate::entry::entry_event::EntryEvent;
use crate::entry::entry_http;
use crate::entry::entry_loops;
use crate::entry::entry_settings::EntryConfig;
use crate::entry::entry_stop::EntryStop;
use crate::entry::hedge_controller::HedgeController;
use crate::entry::inflight_attempts::InflightAttempts;
use crate::entry::key_binder_handle::KeyBinderHandle;
use crate::entry::readiness::Readiness;
use crate::entry::refusal_log::RefusalLog;
use crate::entry::request_frames;
use crate::prelude::*;
use crate::process::http_server::{self, HttpServer};
use crate::process::metrics::Metrics;
use crate::process::open_error::OpenError;
use crate::process::runtime;
use crate::store::store_client::StoreClient;
use crate::store::watch_switch::WatchSwitch;
use oleander_link::{Delivery, LinkKeys, Mailbox};
use oleanderlock::issued_key::KeySecrets;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;

/// A running entry.
pub struct Entry {
    events: Sender<EntryEvent>,
    readiness: Readiness,
    control: JoinHandle<()>,
    mailbox: Mailbox,
    server: HttpServer,
}

impl Entry {
    /// Binds the addresses and starts all threads.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or a thread can't be started.
    pub fn open(cfg: EntryConfig) -> Result<Self, OpenError> {
        runtime::start_traffic_threads(cfg.node.traffic_threads);
        let incarnation = Incarnation(rand::random());
        let keys = LinkKeys::derive(&cfg.node.link_keys);
        let (events, inbox) = channel();
        let inflight = InflightAttempts::default();
        let mailbox = bind_mailbox(&cfg, keys.clone(), inflight.clone(), events.clone())?;
        let peers = dial_peers(&cfg, incarnation, keys, events.clone());
        let store = StoreClient::new(&cfg.node.store);
        let cx = EntryCx {
            hedges: HedgeController::new(cfg.policy),
            keys: KeyBinderHandle::spawn(store.clone()),
            metrics: Metrics::new("oleander_entry"),
            peers,
            inflight,
            store,
            watch: WatchSwitch::default(),
            refusals: RefusalLog::default(),
            secrets: Arc::new(secrets(&cfg)),
            events: events.clone(),
            cfg: Arc::new(cfg),
        };
        let readiness = Readiness::default();
        let server = http_server::serve(cx.cfg.node.http, entry_http::handler(&cx, &readiness))?;
        runtime::spawn(entry_loops::read_list(
            cx.cfg.node.list.clone(),
            events.clone(),
        ));
        runtime::spawn(entry_loops::watch_config(
            cx.store.clone(),
            cx.watch.clone(),
            events.clone(),
        ));
        log::info!("event=open role=entry incarnation={incarnation}");
        let mut state = EntryControl::new(cx, incarnation);
        let control = runtime::spawn_control(inbox, move |event| state.handle(event))?;
        Ok(Self {
            events,
            readiness,
            control,
            mailbox,
            server,
        })
    }

    /// Returns a handle that stops the entry.
    pub fn stop_handle(&self) -> EntryStop {
        EntryStop {
            events: self.events.clone(),
            readiness: self.readiness.clone(),
        }
    }

    /// Blocks until the entry has stopped.
    pub fn wait(self) {
        let result = self.control.join();
        if result.is_err() {
            log::error!("event=control-panicked role=entry");
        }
        // Closing the server first lets it write the last answers before connections are closed.
        self.server.close();
        runtime::flush_links();
        drop(self.mailbox);
        log::info!("event=closed role=entry");
    }
}

fn bind_mailbox(
    cfg: &EntryConfig,
    keys: LinkKeys,
    inflight: InflightAttempts,
    events: Sender<EntryEvent>,
) -> Result<Mailbox, OpenError> {
    let deliver = move |delivery| {
        let event = match delivery {
            Delivery::Frame(frame) => {
                request_frames::deliver(&inflight, frame).map(EntryEvent::Frame)
            }
            Delivery::Refused(error) => Some(EntryEvent::FrameRefused(error)),
        };
        if let Some(event) = event {
            let _ = events.send(event);
        }
    };
    Ok(Mailbox::bind(&cfg.node.link, keys, deliver)?)
}

fn dial_peers(
    cfg: &EntryConfig,
    incarnation: Incarnation,
    keys: LinkKeys,
    events: Sender<EntryEvent>,
) -> Peers {
    Peers::new(&cfg.node.link, incarnation, keys, move |change| {
        let _ = events.send(EntryEvent::Peer(change));
    })
}

fn secrets(cfg: &EntryConfig) -> KeySecrets {
    let phrases = &cfg.node.link_keys;
    let previous: Vec<&[u8]> = phrases[1..].iter().map(String::as_bytes).collect();
    KeySecrets::new(phrases[0].as_bytes(), &previous)
}
