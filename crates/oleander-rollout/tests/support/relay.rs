//! A TCP relay on loopback that delays, blocks, silences or resets its connections.

use super::relay_mode::RelayMode;
use parking_lot::Mutex;
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Interval at which a connection checks the state of its relay.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct State {
    /// Where new connections lead.
    target: SocketAddr,
    mode: RelayMode,
    /// Connections with a smaller number forward nothing any more.
    silent_before: u64,
    /// Connections with a smaller number are reset.
    reset_before: u64,
    /// Number of the next connection.
    next: u64,
}

/// A relay to one address at a time; cheap to clone.
#[derive(Clone, Debug)]
pub struct Relay {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub fn spawn(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let state = Arc::new(Mutex::new(State {
            target,
            mode: RelayMode::Pass,
            silent_before: 0,
            reset_before: 0,
            next: 0,
        }));
        let of_listener = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&of_listener);
                thread::spawn(move || connection(&state, stream));
            }
        });
        Self { addr, state }
    }

    /// Returns the address to connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the mode for open and new connections.
    pub fn set(&self, mode: RelayMode) {
        self.state.lock().mode = mode;
    }

    /// Resets all open connections; new ones lead to `target`.
    pub fn redirect(&self, target: SocketAddr) {
        self.state.lock().target = target;
        self.reset();
    }

    /// Makes all open connections forward nothing any more; new ones are not affected.
    pub fn silence(&self) {
        let mut state = self.state.lock();
        state.silent_before = state.next;
    }

    /// Resets all open connections; new ones are not affected.
    pub fn reset(&self) {
        let mut state = self.state.lock();
        state.reset_before = state.next;
    }
}

fn connection(state: &Arc<Mutex<State>>, near: TcpStream) {
    let (number, mode, target) = {
        let mut state = state.lock();
        state.next += 1;
        (state.next - 1, state.mode, state.target)
    };
    if mode == RelayMode::Refuse {
        reset(&near);
        return;
    }
    let Ok(far) = TcpStream::connect(target) else {
        reset(&near);
        return;
    };
    let ends = (near.try_clone(), far.try_clone());
    let (Ok(near_too), Ok(far_too)) = ends else {
        return;
    };
    let of_other = Arc::clone(state);
    thread::spawn(move || forward(&of_other, number, far_too, near_too, false));
    forward(state, number, near, far, true);
}

/// Forwards bytes in one direction until the connection ends.
fn forward(
    state: &Mutex<State>,
    number: u64,
    mut from: TcpStream,
    mut to: TcpStream,
    is_to_target: bool,
) {
    // If the connection has closed meanwhile, the first read fails.
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let _ = from.set_nodelay(true);
    let mut buf = [0; 16 << 10];
    loop {
        let (mode, is_silent, is_reset) = {
            let state = state.lock();
            let is_silent = number < state.silent_before;
            (state.mode, is_silent, number < state.reset_before)
        };
        if is_reset {
            reset(&from);
            reset(&to);
            return;
        }
        let is_blocked = match mode {
            RelayMode::Cut {
                to_target,
                from_target,
            } => (is_to_target && to_target) || (!is_to_target && from_target),
            RelayMode::Pass | RelayMode::Delay(_) | RelayMode::Refuse => false,
        };
        if is_blocked {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        let read = match from.read(&mut buf) {
            Ok(0) => break,
            Ok(read) => read,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                continue;
            }
            Err(_) => break,
        };
        if is_silent {
            continue;
        }
        if let RelayMode::Delay(time) = mode {
            thread::sleep(time);
        }
        if to.write_all(&buf[..read]).is_err() {
            break;
        }
    }
    // Fails if the other side has closed first.
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

fn reset(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    // Closing a socket with a linger time of zero resets the connection.
    let _ = socket.set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Both);
}
