//! A running HTTP server of a stand-in.

use crate::runtime;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use trillium::Handler;
use trillium_smol::Stopper;
use trillium_smol::async_global_executor::{Task, spawn};
use trillium_smol::async_net;

/// Tells handlers and background tasks that their stand-in was stopped.
#[derive(Clone, Debug, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Returns whether the stand-in was stopped.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Stops what shares this flag.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }
}

/// A running stand-in; dropping it stops it.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stopped: StopFlag,
    stopper: Stopper,
    accept: Option<Task<()>>,
}

impl Server {
    /// Binds `listen` and serves `handler`, which shares `stopped`; port 0 picks a free port.
    pub fn bind(
        listen: SocketAddr,
        stopped: StopFlag,
        handler: impl Handler,
    ) -> std::io::Result<Self> {
        runtime::init(runtime::DEFAULT_THREADS);
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = async_net::TcpListener::try_from(listener)?;
        let stopper = Stopper::new();
        let config = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_stopper(stopper.clone())
            .with_prebound_server(listener);
        let accept = Some(spawn(config.run_async(handler)));
        Ok(Self {
            address,
            stopped,
            stopper,
            accept,
        })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and breaks what is in flight, as a crash would.
    pub fn stop(mut self) {
        self.close();
    }

    fn close(&mut self) {
        self.stopped.set();
        self.stopper.stop();
        drop(self.accept.take());
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.close();
    }
}
