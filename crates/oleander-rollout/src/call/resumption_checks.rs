//! Checks before a stream is resumed: endpoints may have restarted under the instance id that they
//! had, with another software version, before their new entry in the list is known here.
//!
//! Reports are read for resumptions only; one for each stream would be a second call to the endpoint.

use super::call_request::CallRequest;
use super::caller::Caller;
use super::origin_check::OriginCheck;
use super::start_report::StartReport;
use crate::http::destination::Destination;
use crate::http::reuse::Reuse;
use crate::http::send_error::SendError;
use crate::prelude::*;
use http::header::HOST;
use http::{Method, Request};
use http_body_util::Full;
use oleander_platform::{headers, paths};
use oleanderlock::routing::announcer::Announcer;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::stream_origin::{StreamOrigin, differs};

/// Timeout of reading a report; a client waits for the resumption of its stream meanwhile.
const REPORT_TIMEOUT: Millis = Millis(250);
/// Longest report, in bytes.
const REPORT_MAX_BYTES: usize = 1 << 20;

impl Caller {
    /// Checks the record of what began a stream.
    pub(super) async fn check_origin(
        &self,
        req: &CallRequest,
        origin: &StreamOrigin,
    ) -> OriginCheck {
        let view = self.view.get();
        // Versions that the list does not name may differ, like those that it names.
        if origin.software.is_none() && view.endpoints.names_software(&origin.service) {
            return self.doubt(req, origin, "no version");
        }
        let instance = origin.instance.as_deref();
        let Some(listed) = instance.and_then(|instance| view.endpoints.get(instance)) else {
            return OriginCheck::Uncontradicted;
        };
        match self.start_report(listed).await {
            StartReport::Started(started) if differs(origin.started_unix_ms, Some(started)) => {
                self.doubt(req, origin, "restarted")
            }
            StartReport::Started(_) if origin.started_unix_ms.is_some() => OriginCheck::Confirmed,
            StartReport::Silent if origin.is_doubted_by(listed) => {
                self.doubt(req, origin, "listed again")
            }
            _ => OriginCheck::Uncontradicted,
        }
    }

    fn doubt(&self, req: &CallRequest, origin: &StreamOrigin, reason: &str) -> OriginCheck {
        event(log::Level::Info, "stream-origin-doubted", || {
            let instance = origin.instance.as_deref().unwrap_or("unknown");
            format!("request={} instance={instance} reason=\"{reason}\"", req.id)
        });
        OriginCheck::Doubted
    }

    /// Returns why an endpoint may not resume a stream; `None` if it is the incarnation that the list
    /// names, or reports no start.
    pub(super) async fn resumption_obstacle(
        &self,
        endpoint: &EndpointEntry,
    ) -> Option<&'static str> {
        match self.start_report(endpoint).await {
            StartReport::Started(started) if differs(endpoint.started_unix_ms, Some(started)) => {
                event(log::Level::Warn, "endpoint-restarted", || {
                    let listed = endpoint.started_unix_ms.unwrap_or_default();
                    let instance = &endpoint.instance;
                    format!("instance={instance} listed={listed} started={started}")
                });
                Some("restarted")
            }
            StartReport::Started(_) | StartReport::Unnamed => None,
            StartReport::OtherInstance => Some("gone"),
            StartReport::Silent => Some("unreachable"),
        }
    }

    async fn start_report(&self, endpoint: &EndpointEntry) -> StartReport {
        let report = within(REPORT_TIMEOUT, self.read_report(endpoint)).await;
        let report = report.unwrap_or_else(|| Err(SendError::no_answer("timeout")));
        report.unwrap_or_else(|error| {
            event(log::Level::Info, "report-missing", || {
                format!("instance={} reason=\"{error}\"", endpoint.instance)
            });
            StartReport::Silent
        })
    }

    async fn read_report(&self, endpoint: &EndpointEntry) -> Result<StartReport, SendError> {
        let to = Destination {
            addr: endpoint.addr,
            instance: endpoint.instance.clone(),
        };
        let req = Request::builder()
            .method(Method::GET)
            .uri(paths::REPORT)
            .header(HOST, endpoint.addr.to_string())
            .header(headers::EXPECT_INSTANCE, &endpoint.instance)
            .body(Full::default())
            .map_err(SendError::not_sent)?;
        let asked = unix_ms();
        let build = || Ok(req.clone());
        let exchange = self.pool.send_built(&to, Reuse::Never, build).await?;
        let (head, body) = exchange.collect(REPORT_MAX_BYTES).await?;
        let listed = endpoint.started_unix_ms;
        let announcer = Announcer::Listed { listed, asked };
        self.leaving
            .read(&head.headers, &endpoint.instance, announcer);
        Ok(StartReport::read(head.status, &body))
    }
}
