//! The client of the platform's store.

use super::health::StoreHealth;
use super::store_error::StoreError;
use crate::http::pool::{Destination, Pool};
use crate::http::send_fault::SendFault;
use crate::prelude::*;
use http::header::{CONTENT_TYPE, HOST, HeaderValue};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use oleander_platform::calls;
use oleander_platform::object::{self, ObjectPage, StoredObject, WatchPage};
use serde_json::Value;
use serde_json::value::RawValue;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Longest time to open a connection to the store.
const CONNECT_LIMIT: Millis = Millis(800);
/// Longest wait for the answer to a call about one object. A silent store is asked again soon after
/// its return; a slow one takes 0.3 s.
const CALL_LIMIT: Millis = Millis(1200);
/// Longest wait for a page of a list.
const PAGE_LIMIT: Millis = Millis(2500);
/// What a watch may take beyond the wait that it asks for.
const WATCH_GRACE: Millis = Millis(2000);
/// Greatest answer, in bytes: a page of a list is about 1 MB.
const ANSWER_MAX_BYTES: usize = 16 << 20;
/// Age of the last answer before the first one.
const NEVER: Millis = Millis(1 << 40);

/// The client of the platform's store, for the tasks of one thread.
#[derive(Debug)]
pub struct StoreClient {
    pool: Rc<Pool>,
    to: Destination,
    host: HeaderValue,
    health: StoreHealth,
    answered: Cell<Option<Millis>>,
}

impl StoreClient {
    /// A client of the store at `addr`, which tells `health` of failed calls.
    pub fn new(addr: SocketAddr, health: StoreHealth) -> Rc<Self> {
        let host = HeaderValue::from_str(&addr.to_string());
        Rc::new(Self {
            pool: Pool::new(CONNECT_LIMIT),
            to: Destination::any(addr),
            host: host.unwrap_or(HeaderValue::from_static("store")),
            health,
            answered: Cell::new(None),
        })
    }

    /// Returns the time since the store last carried out a call of this client.
    pub fn answer_age(&self) -> Millis {
        self.answered.get().map_or(NEVER, |at| now().since(at))
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// [`StoreError`]. `Ok(None)` means that the object does not exist.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<StoredObject>, StoreError> {
        let path = calls::object(kind, name);
        let (status, body) = self
            .call(Method::GET, &path, Vec::new(), CALL_LIMIT)
            .await?;
        match status {
            StatusCode::OK => object::decode_object(&body)
                .map(Some)
                .map_err(StoreError::no_answer),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(StoreError::not_done(other)),
        }
    }

    /// Reads one page of a kind, behind the name `after`.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    pub async fn page(&self, kind: &str, after: Option<&str>) -> Result<ObjectPage, StoreError> {
        let path = calls::list_objects(kind, after);
        let (status, body) = self
            .call(Method::GET, &path, Vec::new(), PAGE_LIMIT)
            .await?;
        match status {
            StatusCode::OK => object::decode_page(&body).map_err(StoreError::no_answer),
            other => Err(StoreError::not_done(other)),
        }
    }

    /// Waits for changes of a kind after a revision.
    ///
    /// # Errors
    ///
    /// [`StoreError::HistoryGone`] when the kind must be listed anew.
    pub async fn watch(
        &self,
        kind: &str,
        revision: u64,
        wait: Millis,
    ) -> Result<WatchPage, StoreError> {
        let path = calls::watch_objects(kind, revision, wait);
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
    /// [`StoreError::Conflict`] when it exists.
    pub async fn create(&self, kind: &str, name: &str, spec: &RawValue) -> Result<(), StoreError> {
        let path = calls::list_objects(kind, None);
        let body = object::encode_create(name, spec);
        let (status, _) = self.call(Method::POST, &path, body, CALL_LIMIT).await?;
        written(status)
    }

    /// Replaces an object whose last change has `revision`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] when it has changed since.
    pub async fn replace(
        &self,
        kind: &str,
        name: &str,
        revision: u64,
        spec: &RawValue,
    ) -> Result<(), StoreError> {
        let path = calls::object(kind, name);
        let body = object::encode_replace(name, revision, spec);
        let (status, _) = self.call(Method::PUT, &path, body, CALL_LIMIT).await?;
        written(status)
    }

    /// Creates or replaces an object, whatever its revision.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    pub async fn put(&self, kind: &str, name: &str, spec: &RawValue) -> Result<(), StoreError> {
        let path = calls::object(kind, name);
        let body = object::encode_put(name, spec);
        let (status, _) = self.call(Method::PUT, &path, body, CALL_LIMIT).await?;
        match status {
            StatusCode::NOT_FOUND => self.create(kind, name, spec).await,
            status => written(status),
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
        let path = calls::object_status(kind, name);
        let body = object::encode_status(name, status);
        let (status, _) = self.call(Method::PUT, &path, body, CALL_LIMIT).await?;
        written(status)
    }

    /// Removes an object; an object that is already gone is not an error.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    pub async fn delete(&self, kind: &str, name: &str) -> Result<(), StoreError> {
        let path = calls::object(kind, name);
        let (status, _) = self
            .call(Method::DELETE, &path, Vec::new(), CALL_LIMIT)
            .await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(());
        }
        written(status)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Millis,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let called = self.exchange(method, path, body, limit).await;
        if called.is_err() {
            self.health.failed();
        }
        called
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Millis,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let began = now();
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.host.clone())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(StoreError::not_done)?;
        let exchange = async {
            let exchange = self.pool.send(&self.to, req).await?;
            exchange.whole(ANSWER_MAX_BYTES).await
        };
        let answer = match within(limit, exchange).await {
            None => return Err(StoreError::no_answer("timeout")),
            Some(Err(SendFault::NotSent { reason })) => return Err(StoreError::not_done(reason)),
            Some(Err(SendFault::NoAnswer { reason })) => return Err(StoreError::no_answer(reason)),
            Some(Ok((head, body))) => (head.status, body),
        };
        match answer.0 {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(StoreError::not_done(answer.0))
            }
            status if status.is_server_error() => Err(StoreError::no_answer(status)),
            _ => {
                self.answered.set(Some(began));
                Ok(answer)
            }
        }
    }
}

fn written(status: StatusCode) -> Result<(), StoreError> {
    match status {
        status if status.is_success() => Ok(()),
        StatusCode::CONFLICT => Err(StoreError::Conflict),
        other => Err(StoreError::not_done(other)),
    }
}
