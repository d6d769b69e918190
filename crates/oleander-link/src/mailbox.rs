//! The socket on which a process receives frames.

use crate::delivery::Delivery;
use crate::link_address;
use crate::link_error::LinkError;
use crate::link_keys::LinkKeys;
use crate::sp::{self, BUFFER_BYTES, SocketType};
use bytes::Bytes;
use smol::channel::{Receiver, Sender};
use smol::future::FutureExt;
use smol::io::BufReader;
use smol::net::{TcpListener, TcpStream};
use smol::{Async, LocalExecutor, Timer, future};
use std::io;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Largest message that is accepted, in bytes.
pub const FRAME_MAX_BYTES: usize = 8 << 20;
/// Pause after a connection could not be accepted, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A bound pull socket and the thread that reads it; dropping it closes both.
#[derive(Debug)]
pub struct Mailbox {
    stop: Sender<()>,
    reader: Option<JoinHandle<()>>,
}

impl Mailbox {
    /// Binds `address` (for example `tcp://127.0.0.1:7001`) and calls `deliver` for each message
    /// on the reader thread.
    ///
    /// # Errors
    ///
    /// The error of the socket or thread, for example that the address is in use.
    pub fn bind(
        address: &str,
        keys: LinkKeys,
        deliver: impl Fn(Delivery) + Send + 'static,
    ) -> Result<Self, LinkError> {
        let listener = Async::<std::net::TcpListener>::bind(link_address::parse(address)?)?;
        let (stop, stopped) = smol::channel::bounded(1);
        let reader = std::thread::Builder::new()
            .name("mailbox".to_owned())
            .spawn(move || receive(listener.into(), keys, deliver, stopped))?;
        Ok(Self {
            stop,
            reader: Some(reader),
        })
    }
}

impl Drop for Mailbox {
    fn drop(&mut self) {
        self.stop.close();
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
    }
}

/// Delivers the messages of all connections until the mailbox is dropped.
fn receive(
    listener: TcpListener,
    keys: LinkKeys,
    deliver: impl Fn(Delivery) + 'static,
    stopped: Receiver<()>,
) {
    let open = move |message: Vec<u8>| {
        deliver(match keys.open(Bytes::from(message)) {
            Ok(frame) => Delivery::Frame(Box::new(frame)),
            Err(error) => Delivery::Refused(error),
        });
    };
    let open = Rc::new(open);
    let connections = LocalExecutor::new();
    let accept = async {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let open = Rc::clone(&open);
                    let read = async move { read_all(stream, &*open).await };
                    connections.spawn(read).detach();
                }
                Err(_) => drop(Timer::after(ACCEPT_PAUSE).await),
            }
        }
    };
    let stop = async {
        let _ = stopped.recv().await;
    };
    smol::block_on(connections.run(accept.or(stop)));
}

/// Reads messages until the connection breaks or sends what is no message.
async fn read_all(mut stream: TcpStream, open: &impl Fn(Vec<u8>)) -> io::Result<()> {
    sp::greet(&mut stream, SocketType::Pull, SocketType::Push).await?;
    let mut stream = BufReader::with_capacity(BUFFER_BYTES, stream);
    loop {
        open(sp::read_message(&mut stream).await?);
        // A connection that always has a message must not keep the others from being read.
        future::yield_now().await;
    }
}
