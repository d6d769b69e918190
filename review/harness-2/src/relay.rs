//! A relay between two machines that can be cut: connections stay open and carry nothing.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const CHECK_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Clone)]
pub struct Relay {
    pub addr: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Relay {
    pub fn start(ip: &str, to: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let cut = Arc::new(AtomicBool::new(false));
        let switch = Arc::clone(&cut);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let switch = Arc::clone(&switch);
                thread::spawn(move || relay(&stream, to, &switch));
            }
        });
        Self { addr, cut }
    }

    /// Cuts or heals the path. Bytes that are on their way meanwhile arrive once it is healed.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn wait_until_whole(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(CHECK_INTERVAL);
    }
}

fn relay(stream: &TcpStream, to: SocketAddr, cut: &Arc<AtomicBool>) {
    wait_until_whole(cut);
    let Ok(other) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        let _ = stream.shutdown(Shutdown::Both);
        return;
    };
    stream.set_nodelay(true).ok();
    other.set_nodelay(true).ok();
    let (Ok(from), Ok(back)) = (stream.try_clone(), other.try_clone()) else {
        return;
    };
    let switch = Arc::clone(cut);
    let forward = thread::spawn(move || copy(from, other, &switch));
    if let Ok(stream) = stream.try_clone() {
        copy(back, stream, cut);
    }
    let _ = forward.join();
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buf = [0; 16 << 10];
    loop {
        let read = from.read(&mut buf);
        wait_until_whole(cut);
        match read {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(length) if to.write_all(&buf[..length]).is_ok() => {}
            _ => {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
