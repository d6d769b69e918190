//! The socket on which a process receives frames.

use crate::delivery::Delivery;
use crate::link_error::LinkError;
use crate::link_keys::LinkKeys;
use bytes::Bytes;
use nng::options::{Options, RecvBufferSize, RecvMaxSize};
use nng::{Protocol, Socket};
use std::thread::JoinHandle;

/// Largest message that is accepted, in bytes.
pub const FRAME_MAX_BYTES: usize = 8 << 20;
/// Received frames that the socket buffers for the reader thread.
const RECV_BUFFER_FRAMES: i32 = 1024;

/// A bound pull socket and the thread that reads it; dropping it closes both.
#[derive(Debug)]
pub struct Mailbox {
    socket: Socket,
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
        let socket = Socket::new(Protocol::Pull0)?;
        socket.set_opt::<RecvBufferSize>(RECV_BUFFER_FRAMES)?;
        socket.set_opt::<RecvMaxSize>(FRAME_MAX_BYTES)?;
        socket.listen(address)?;
        let read_socket = socket.clone();
        let reader = std::thread::Builder::new()
            .name("mailbox".to_owned())
            .spawn(move || read_all(&read_socket, &keys, &deliver))
            .map_err(|error| LinkError::Socket {
                reason: error.to_string(),
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
            Err(error) => Delivery::Refused(error),
        });
    }
}
