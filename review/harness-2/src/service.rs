//! Stand-in for a worker of a plain service.

use crate::http::{respond, serve};
use crate::json::{Json, number, object, text};
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(30);

#[derive(Clone)]
pub struct Service {
    pub id: String,
    service: String,
    zone: String,
    born: u64,
    pub addr: SocketAddr,
    arrivals: Arc<Mutex<Vec<(String, Instant)>>>,
}

impl Service {
    pub fn start(ip: &str, id: &str, service: &str, zone: &str, record: Record) -> Self {
        let arrivals: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
        let (seen, own) = (Arc::clone(&arrivals), id.to_owned());
        let addr = serve(ip, move |req, stream| {
            let request_id = req.header("request-id").unwrap_or_default();
            let expected = req.header("expect-instance");
            if expected.is_some_and(|expected| expected != own) {
                let headers = [("request-id", request_id), ("not-run", "1")];
                return respond(stream, 421, &headers, b"");
            }
            seen.lock()
                .unwrap()
                .push((request_id.to_owned(), Instant::now()));
            record.line(&format!("{own}: {} {request_id} runs", req.method));
            thread::sleep(WORK);
            let stamp = format!("{own}.{request_id}");
            let headers = [("request-id", request_id), ("server-stamp", stamp.as_str())];
            respond(stream, 200, &headers, b"answer")
        });
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: crate::unix_ms(),
            addr,
            arrivals,
        }
    }

    pub fn entry(&self) -> Json {
        object(&[
            ("service", text(&self.service)),
            ("addr", text(&self.addr.to_string())),
            ("zone", text(&self.zone)),
            ("version", text("v1")),
            ("slots", number(6)),
            ("state", text("ready")),
            ("cold_left_ms", number(0)),
            ("seq", number(0)),
            ("born", number(self.born)),
        ])
    }

    /// Returns the requests that ran, with the times at which they arrived.
    pub fn arrivals(&self) -> Vec<(String, Instant)> {
        self.arrivals.lock().unwrap().clone()
    }
}
