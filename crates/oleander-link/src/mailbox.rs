//! The receiving end of a process.

use crate::link_error::LinkError;
use crate::link_keys::LinkKeys;
use crate::wire::Frame;
use bytes::Bytes;
use nng::options::{Options, RecvBufferSize, RecvMaxSize};
use nng::{Protocol, Socket};
use std::thread::JoinHandle;

/// Greatest frame that is accepted, in bytes.
pub const FRAME_MAX_BYTES: usize = 8 << 20;
/// Frames that wait in the socket.
const RECV_BUFFER_FRAMES: i32 = 1024;

/// What the mailbox hands to its owner.
#[derive(Debug)]
pub enum Delivery {
    /// A frame with a valid code.
    Frame(Box<Frame>),
    /// A message that was dropped, and why.
    Refused(LinkError),
}

/// A bound pull socket with the thread that reads it.
#[derive(Debug)]
pub struct Mailbox {
    socket: Socket,
    reader: Option<JoinHandle<()>>,
}

impl Mailbox {
    /// Binds `address` (for example `tcp://127.0.0.1:7001`) and calls `deliver` for each message
    /// on a thread of its own.
    ///
    /// # Errors
    ///
    /// The socket's fault, for example an address in use.
    pub fn bind(
        address: &str,
        keys: LinkKeys,
        deliver: impl Fn(Delivery) + Send + 'static,
    ) -> Result<Self, LinkError> {
        let socket = Socket::new(Protocol::Pull0)?;
        socket.set_opt::<RecvBufferSize>(RECV_BUFFER_FRAMES)?;
        socket.set_opt::<RecvMaxSize>(FRAME_MAX_BYTES)?;
        socket.listen(address)?;
        let reading = socket.clone();
        let reader = std::thread::Builder::new()
            .name("mailbox".to_owned())
            .spawn(move || read_all(&reading, &keys, &deliver))
            .map_err(|fault| LinkError::Socket {
                reason: fault.to_string(),
            })?;
        Ok(Self {
            socket,
            reader: Some(reader),
        })
    }
}

impl Drop for Mailbox {
    fn drop(&mut self) {
        self.socket.close();
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
    }
}

fn read_all(socket: &Socket, keys: &LinkKeys, deliver: &impl Fn(Delivery)) {
    while let Ok(message) = socket.recv() {
        let opened = keys.open(Bytes::copy_from_slice(message.as_slice()));
        deliver(match opened {
            Ok(frame) => Delivery::Frame(Box::new(frame)),
            Err(fault) => Delivery::Refused(fault),
        });
    }
}
