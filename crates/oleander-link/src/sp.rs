//! Greetings and messages on a connection, by the specification `sp-tcp-mapping-01` of nanomsg, which
//! the library `nng` also speaks.

use crate::mailbox::FRAME_MAX_BYTES;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use smol::net::TcpStream;
use std::io;
use std::time::Duration;

/// Longest wait for the other side's greeting.
const GREETING_TIMEOUT: Duration = Duration::from_secs(10);
const GREETING_BYTES: usize = 8;
/// Bytes that a connection reads or writes at a time; larger messages bypass the buffer.
pub(crate) const BUFFER_BYTES: usize = 2 << 10;

/// Type of a socket, by its number in the greeting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub(crate) enum SocketType {
    /// Sends messages.
    Push = 0x50,
    /// Receives messages.
    Pull = 0x51,
}

impl SocketType {
    fn greeting(self) -> [u8; GREETING_BYTES] {
        let [high, low] = (self as u16).to_be_bytes();
        [0, b'S', b'P', 0, high, low, 0, 0]
    }
}

/// Greets the other side as `own` and checks that it is an `other`.
///
/// # Errors
///
/// The error of the connection, `TimedOut` without a greeting, `InvalidData` for another greeting.
pub(crate) async fn greet(
    stream: &mut TcpStream,
    own: SocketType,
    other: SocketType,
) -> io::Result<()> {
    let greetings = async {
        stream.write_all(&own.greeting()).await?;
        let mut greeting = [0; GREETING_BYTES];
        stream.read_exact(&mut greeting).await?;
        if greeting == other.greeting() {
            Ok(())
        } else {
            Err(io::ErrorKind::InvalidData.into())
        }
    };
    within(GREETING_TIMEOUT, greetings).await
}

/// Reads a message of at most [`FRAME_MAX_BYTES`]; memory is used only for bytes that have arrived.
///
/// # Errors
///
/// The error of the connection, `UnexpectedEof` at its end, `InvalidData` for a longer message.
pub(crate) async fn read_message(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Vec<u8>> {
    let mut len = [0; size_of::<u64>()];
    stream.read_exact(&mut len).await?;
    let len = u64::from_be_bytes(len);
    if len > FRAME_MAX_BYTES as u64 {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut message = Vec::new();
    stream.take(len).read_to_end(&mut message).await?;
    if (message.len() as u64) < len {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(message)
}

/// Writes a message; the stream isn't flushed.
///
/// # Errors
///
/// The error of the connection.
pub(crate) async fn write_message(
    stream: &mut (impl AsyncWrite + Unpin),
    message: &[u8],
) -> io::Result<()> {
    let len = message.len() as u64;
    stream.write_all(&len.to_be_bytes()).await?;
    stream.write_all(message).await
}

/// Returns the output of `work`, or `TimedOut` when it takes longer than `timeout`.
///
/// # Errors
///
/// The error of `work`, or `TimedOut`.
pub(crate) async fn within<T>(
    timeout: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let timer = async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    work.or(timer).await
}
