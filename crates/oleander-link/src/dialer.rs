//! Keeps a connection to one peer and sends the buffered frames on it.

use crate::peer_state::PeerState;
use crate::sp::{self, BUFFER_BYTES, SocketType, within};
use smol::Timer;
use smol::channel::Receiver;
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt, BufWriter};
use smol::net::TcpStream;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// First delay before a broken connection is dialled again.
const RECONNECT_MIN: Duration = Duration::from_millis(50);
/// Longest delay before a broken connection is dialled again.
const RECONNECT_MAX: Duration = Duration::from_secs(2);

/// Dials a peer for as long as it runs.
pub(crate) struct Dialer {
    /// Address of the peer.
    pub(crate) address: SocketAddr,
    /// Frames to send. One that is taken off is written at most once, also when the connection breaks.
    pub(crate) frames: Receiver<Vec<u8>>,
    /// Where the connection is recorded.
    pub(crate) state: Arc<PeerState>,
}

impl Dialer {
    pub(crate) async fn run(self) {
        let mut delay = RECONNECT_MIN;
        loop {
            if let Ok(stream) = self.connect().await {
                self.state.set_connected(true);
                // The dialer's owner hears of the loss by the state; the frame being written is lost.
                let _ = self
                    .send_all(&stream)
                    .or(until_closed(stream.clone()))
                    .await;
                self.state.set_connected(false);
                delay = RECONNECT_MIN;
            }
            // A random part keeps processes from dialling a restarted peer all at once.
            Timer::after(delay.mul_f64(rand::random())).await;
            delay = (delay * 2).min(RECONNECT_MAX);
        }
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let mut stream = within(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await?;
        stream.set_nodelay(true)?;
        sp::greet(&mut stream, SocketType::Push, SocketType::Pull).await?;
        Ok(stream)
    }

    /// Sends frames until the connection breaks or the peer is removed.
    async fn send_all(&self, stream: &TcpStream) -> io::Result<()> {
        let mut stream = BufWriter::with_capacity(BUFFER_BYTES, stream.clone());
        while let Ok(frame) = self.frames.recv().await {
            sp::write_message(&mut stream, &frame).await?;
            while let Ok(frame) = self.frames.try_recv() {
                sp::write_message(&mut stream, &frame).await?;
            }
            stream.flush().await?;
        }
        Ok(())
    }
}

/// Waits until the peer closes the connection; it sends nothing after its greeting.
async fn until_closed(mut stream: TcpStream) -> io::Result<()> {
    stream.read(&mut [0]).await.map(drop)
}
