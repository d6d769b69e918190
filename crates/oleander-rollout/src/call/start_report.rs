//! What an endpoint reports of its start.

use http::StatusCode;
use oleander_platform::engine_report::decode_report;

/// What an endpoint reports of its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartReport {
    /// It started at this Unix time in milliseconds.
    Started(u64),
    /// It makes no reports, or names no start in them.
    Unnamed,
    /// Another instance uses its address.
    OtherInstance,
    /// There is no report, or none that can be read.
    Silent,
}

/// Statuses of an endpoint that has no reports at all, such as one of a plain service.
const NO_REPORTS: [StatusCode; 3] = [
    StatusCode::NOT_FOUND,
    StatusCode::METHOD_NOT_ALLOWED,
    StatusCode::NOT_IMPLEMENTED,
];

impl StartReport {
    /// Reads the response to a request for a report.
    pub(super) fn read(status: StatusCode, body: &[u8]) -> Self {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Self::OtherInstance;
        }
        if NO_REPORTS.contains(&status) {
            return Self::Unnamed;
        }
        match decode_report(body) {
            Ok(report) if status.is_success() => {
                let started = report.started_unix_ms;
                started.map_or(Self::Unnamed, Self::Started)
            }
            _ => Self::Silent,
        }
    }
}
