//! HTTP client of the platform's store.

use super::store_error::StoreError;
use super::store_health::StoreHealth;
use crate::http::destination::Destination;
use crate::http::pool::Pool;
use crate::http::send_error::SendError;
use crate::prelude::*;
use http::header::{CONTENT_TYPE, HOST, HeaderValue};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use oleander_platform::object;
use oleander_platform::object_page::ObjectPage;
use oleander_platform::paths;
use oleander_platform::stored_object::StoredObject;
use oleander_platform::watch_page::WatchPage;
use serde_json::Value;
use serde_json::value::RawValue;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Longest time to open a connection to the store.
const CONNECT_TIMEOUT: Millis = Millis(800);
/// Longest wait for the response to a call about one object. A slow store takes 0.3 s; after an
/// outage the next attempt must come soon.
const CALL_TIMEOUT: Millis = Millis(1200);
/// Longest wait for a page of a list.
const PAGE_TIMEOUT: Millis = Millis(2500);
/// Time that a watch may take beyond the wait that it asks for.
const WATCH_GRACE: Millis = Millis(2000);
/// Largest response body, in bytes; a page of a list is about 1 MB.
const RESPONSE_MAX_BYTES: usize = 16 << 20;
/// Statuses by which the store says that it has not carried out a call, beside those that ask for a later
/// one. Any other status leaves the outcome open.
const REJECTIONS: [StatusCode; 6] = [
    StatusCode::BAD_REQUEST,
    StatusCode::NOT_FOUND,
    StatusCode::CONFLICT,
    StatusCode::GONE,
    StatusCode::PAYLOAD_TOO_LARGE,
    StatusCode::UNPROCESSABLE_ENTITY,
];
/// Age of the last successful call while there has been none; longer than any limit.
const NEVER: Millis = Millis(1 << 40);

/// HTTP client of the platform's store, for the tasks of one thread.
#[derive(Debug)]
pub struct StoreClient {
    pool: Rc<Pool>,
    destination: Destination,
    host: HeaderValue,
    health: StoreHealth,
    // Start of the last call that the store carried out.
    last_success: Cell<Option<Millis>>,
}

impl StoreClient {
    /// Creates a client of the store at `addr` that records failed calls in `health`.
    pub fn new(addr: SocketAddr, health: StoreHealth) -> Rc<Self> {
        let host = HeaderValue::from_str(&addr.to_string());
        Rc::new(Self {
            pool: Pool::new(CONNECT_TIMEOUT),
            destination: Destination::any(addr),
            host: host.unwrap_or(HeaderValue::from_static("store")),
            health,
            last_success: Cell::new(None),
        })
    }

    /// Returns the time since the start of the last call that the store carried out for this
    /// client; a very long time before the first.
    pub fn last_success_age(&self) -> Millis {
        self.last_success.get().map_or(NEVER, |at| now().since(at))
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// [`StoreError`]. `Ok(None)` means that the object does not exist.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<StoredObject>, StoreError> {
        let path = paths::object(kind, name);
        let (status, body) = self
            .call(Method::GET, &path, Vec::new(), CALL_TIMEOUT)
            .await?;
        match status {
            StatusCode::OK => object::decode_object(&body)
                .map(Some)
                .map_err(StoreError::no_answer),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(StoreError::not_done(other)),
        }
    }

    /// Reads one page of the objects of a kind whose names come after `after`, in name order.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    pub async fn page(&self, kind: &str, after: Option<&str>) -> Result<ObjectPage, StoreError> {
        let path = paths::object_list(kind, after);
        let (status, body) = self
            .call(Method::GET, &path, Vec::new(), PAGE_TIMEOUT)
            .await?;
        match status {
            StatusCode::OK => object::decode_page(&body).map_err(StoreError::no_answer),
            other => Err(StoreError::not_done(other)),
        }
    }

    /// Waits for at most `wait` for changes of a kind after a revision.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; after [`StoreError::HistoryGone`] the kind must be listed again.
    pub async fn watch(
        &self,
        kind: &str,
        revision: u64,
        wait: Millis,
    ) -> Result<WatchPage, StoreError> {
        let path = paths::object_watch(kind, revision, wait);
        let limit = wait.plus(WATCH_GRACE);
        let (status, body) = self.call(Method::GET, &path, Vec::new(), limit).await?;
        match status {
            StatusCode::OK => object::decode_watch(&body).map_err(StoreError::no_answer),
            StatusCode::GONE => Err(StoreError::HistoryGone),
            other => Err(StoreError::not_done(other)),
        }
    }

    /// Creates an object.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; [`StoreError::Conflict`] if it exists.
    pub async fn create(&self, kind: &str, name: &str, spec: &RawValue) -> Result<(), StoreError> {
        let path = paths::object_list(kind, None);
        let body = object::encode_create(name, spec);
        let (status, _) = self.call(Method::POST, &path, body, CALL_TIMEOUT).await?;
        write_result(status)
    }

    /// Replaces an object if its revision is still `revision`.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; [`StoreError::Conflict`] if it has changed since.
    pub async fn replace(
        &self,
        kind: &str,
        name: &str,
        revision: u64,
        spec: &RawValue,
    ) -> Result<(), StoreError> {
        let path = paths::object(kind, name);
        let body = object::encode_replace(name, revision, spec);
        let (status, _) = self.call(Method::PUT, &path, body, CALL_TIMEOUT).await?;
        write_result(status)
    }

    /// Creates an object; returns its revision.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; [`StoreError::Conflict`] if it exists.
    pub async fn create_at(
        &self,
        kind: &str,
        name: &str,
        spec: &RawValue,
    ) -> Result<u64, StoreError> {
        let path = paths::object_list(kind, None);
        let body = object::encode_create(name, spec);
        let (status, body) = self.call(Method::POST, &path, body, CALL_TIMEOUT).await?;
        written_revision(status, &body)
    }

    /// Replaces an object if its revision is still `revision`; returns its new revision.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; [`StoreError::Conflict`] if it has changed since.
    pub async fn replace_at(
        &self,
        kind: &str,
        name: &str,
        revision: u64,
        spec: &RawValue,
    ) -> Result<u64, StoreError> {
        let path = paths::object(kind, name);
        let body = object::encode_replace(name, revision, spec);
        let (status, body) = self.call(Method::PUT, &path, body, CALL_TIMEOUT).await?;
        written_revision(status, &body)
    }

    /// Creates or replaces an object, whatever its revision.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    pub async fn put(&self, kind: &str, name: &str, spec: &RawValue) -> Result<(), StoreError> {
        let path = paths::object(kind, name);
        let body = object::encode_put(name, spec);
        let (status, _) = self.call(Method::PUT, &path, body, CALL_TIMEOUT).await?;
        match status {
            StatusCode::NOT_FOUND => self.create(kind, name, spec).await,
            status => write_result(status),
        }
    }

    /// Replaces the status of an object.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    pub async fn put_status(
        &self,
        kind: &str,
        name: &str,
        status: &Value,
    ) -> Result<(), StoreError> {
        let path = paths::object_status(kind, name);
        let body = object::encode_status(name, status);
        let (status, _) = self.call(Method::PUT, &path, body, CALL_TIMEOUT).await?;
        write_result(status)
    }

    /// Deletes an object, if it exists.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    pub async fn delete(&self, kind: &str, name: &str) -> Result<(), StoreError> {
        let path = paths::object(kind, name);
        let (status, _) = self
            .call(Method::DELETE, &path, Vec::new(), CALL_TIMEOUT)
            .await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(());
        }
        write_result(status)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Millis,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let began = now();
        let exchange = within(limit, self.exchange(method, path, body)).await;
        let result = exchange.unwrap_or_else(|| Err(StoreError::no_answer("timeout")));
        if result.is_err() {
            self.health.record_failure(began);
        } else {
            self.health.record_answer(began);
            // A watch that began earlier may end later.
            let last = self.last_success.get().max(Some(began));
            self.last_success.set(last);
        }
        result
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.host.clone())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(StoreError::not_done)?;
        let exchange = async {
            let exchange = self.pool.send(&self.destination, req).await?;
            exchange.collect(RESPONSE_MAX_BYTES).await
        };
        let response = match exchange.await {
            Err(SendError::NoAnswer { reason }) => return Err(StoreError::no_answer(reason)),
            Err(error) => return Err(StoreError::not_done(error.reason())),
            Ok((head, body)) => (head.status, body),
        };
        match response.0 {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(StoreError::not_done(response.0))
            }
            status if status.is_success() || REJECTIONS.contains(&status) => Ok(response),
            status => Err(StoreError::no_answer(status)),
        }
    }
}

/// Returns the revision of an object by the response to its write. Without one, the effect of the write
/// counts as unknown, so that the object is read.
fn written_revision(status: StatusCode, body: &[u8]) -> Result<u64, StoreError> {
    write_result(status)?;
    let object = object::decode_object(body).map_err(StoreError::no_answer)?;
    if object.revision == 0 {
        return Err(StoreError::no_answer("a response without a revision"));
    }
    Ok(object.revision)
}

/// Returns the result of a write by the status of its response.
fn write_result(status: StatusCode) -> Result<(), StoreError> {
    match status {
        status if status.is_success() => Ok(()),
        StatusCode::CONFLICT => Err(StoreError::Conflict),
        other => Err(StoreError::not_done(other)),
    }
}
