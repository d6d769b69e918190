//! A relay on loopback that delays, cuts, silences or resets the connections through it.

use parking_lot::Mutex;
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How often a connection looks at what the relay is to do.
const LOOK: Duration = Duration::from_millis(20);

/// What a relay does to its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Passes all bytes on.
    Pass,
    /// Passes bytes on after a while.
    Delay(Duration),
    /// Holds bytes back in one direction or in both until the cut is over.
    Cut { to_target: bool, from_target: bool },
    /// Resets each new connection.
    Refuse,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    /// Connections that began before this number are silent for good, or reset.
    silent_before: u64,
    reset_before: u64,
    next: u64,
}

/// A relay to one address; cheap to clone.
#[derive(Clone, Debug)]
pub struct Relay {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Relay {
    /// Starts a relay.
    pub fn spawn(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let state = Arc::new(Mutex::new(State {
            mode: Mode::Pass,
            silent_before: 0,
            reset_before: 0,
            next: 0,
        }));
        let of_listener = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&of_listener);
                thread::spawn(move || connection(&state, stream, target));
            }
        });
        Self { addr, state }
    }

    /// Returns the address to connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets what it does from now on.
    pub fn set(&self, mode: Mode) {
        self.state.lock().mode = mode;
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence(&self) {
        let mut state = self.state.lock();
        state.silent_before = state.next;
    }

    /// Resets all open connections; new ones work.
    pub fn reset(&self) {
        let mut state = self.state.lock();
        state.reset_before = state.next;
    }
}

fn connection(state: &Arc<Mutex<State>>, near: TcpStream, target: SocketAddr) {
    let (number, mode) = {
        let mut state = state.lock();
        state.next += 1;
        (state.next - 1, state.mode)
    };
    if mode == Mode::Refuse {
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
    thread::spawn(move || schedule(&of_other, number, far_too, near_too, false));
    schedule(state, number, near, far, true);
}

/// Passes bytes on in one direction until the connection ends.
fn schedule(
    state: &Mutex<State>,
    number: u64,
    mut from: TcpStream,
    mut to: TcpStream,
    is_to_target: bool,
) {
    // A connection that has closed meanwhile shows so at the first read.
    let _ = from.set_read_timeout(Some(LOOK));
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
        let is_cut = match mode {
            Mode::Cut {
                to_target,
                from_target,
            } => (is_to_target && to_target) || (!is_to_target && from_target),
            Mode::Pass | Mode::Delay(_) | Mode::Refuse => false,
        };
        if is_cut {
            thread::sleep(LOOK);
            continue;
        }
        let read = match from.read(&mut buf) {
            Ok(0) => break,
            Ok(read) => read,
            Err(fault) if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                continue;
            }
            Err(_) => break,
        };
        if is_silent {
            continue;
        }
        if let Mode::Delay(time) = mode {
            thread::sleep(time);
        }
        if to.write_all(&buf[..read]).is_err() {
            break;
        }
    }
    // The other side may have closed first.
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

fn reset(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    // The reset follows from closing a socket that must not linger.
    let _ = socket.set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Both);
}
