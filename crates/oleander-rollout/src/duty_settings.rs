//! Settings of the calls to the platform that one process at a time may make.

use oleander_base::settings::Settings;
use oleanderlock::prelude::*;
use std::net::SocketAddr;

/// Default of [`DutySettings::lease`].
const LEASE_DEFAULT: Millis = Millis(3000);
/// Default of [`DutySettings::usage_window`].
const USAGE_WINDOW_DEFAULT: Millis = Millis::from_secs(5);
/// Default of [`DutySettings::usage_late`].
const USAGE_LATE_DEFAULT: Millis = Millis::from_secs(10);
/// Default of [`DutySettings::calls_per_second`].
const CALLS_PER_SECOND_DEFAULT: f64 = 10.0;

/// Settings of the calls to the platform that one process at a time may make.
#[derive(Clone, Debug, PartialEq)]
pub struct DutySettings {
    /// Address of the platform's API.
    pub addr: SocketAddr,
    /// Calls a second that it takes from all processes together.
    pub calls_per_second: f64,
    /// Whether the use of endpoints by workspace is reported.
    pub usage: bool,
    /// Whether the number of endpoints is ordered.
    pub scale: bool,
    /// Length of the windows of usage reports.
    pub usage_window: Millis,
    /// Time after the end of a window within which its report is due.
    pub usage_late: Millis,
    /// Time for which a holder must not act again after another one has acted.
    pub lease: Millis,
}

impl DutySettings {
    /// Reads the settings; `None` if the platform has no such API.
    pub fn read(settings: &mut Settings, addr: Option<SocketAddr>) -> Option<Self> {
        let duties = settings.list("platform_api", "duties");
        let has = |name: &str| duties.iter().any(|duty| duty == name);
        let read = Self {
            addr: addr.unwrap_or(super::settings::PLACEHOLDER_ADDR),
            calls_per_second: settings.parsed(
                "platform_api",
                "calls_per_second",
                CALLS_PER_SECOND_DEFAULT,
                "a number of calls",
            ),
            usage: has("usage"),
            scale: has("scale"),
            usage_window: settings.duration("duties", "usage_window", USAGE_WINDOW_DEFAULT),
            usage_late: settings.duration("duties", "usage_late", USAGE_LATE_DEFAULT),
            lease: settings.duration("duties", "lease", LEASE_DEFAULT),
        };
        if read.calls_per_second <= 0.0 {
            settings.record_error("platform_api", "calls_per_second", "must be above 0");
        }
        if read.usage_window == Millis::ZERO {
            settings.record_error("duties", "usage_window", "must be above 0");
        }
        addr.map(|_| read)
    }
}
