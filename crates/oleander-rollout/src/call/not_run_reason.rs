//! Why a call has not run.

/// Why a call has not run, in logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunReason {
    /// No endpoint took the call.
    NotRun,
    /// Endpoints have crashed under the same request before.
    CrashesEndpoints,
    /// All endpoints that could take the call are at the rate limit that they have named.
    RateLimit,
    /// No endpoint is listed of the software version that began the stream to resume.
    VersionGone,
    /// The software version that began the stream to resume is not certain.
    OriginDoubted,
}
