//! Calls of entries that can't confirm their configuration. Each dispatcher answers them, whether it
//! leads or not.

use crate::peer::messages::{KnownVersions, PlatformUpdate};
use crate::prelude::*;
use crate::store::config_reader::ConfigReader;
use crate::store::shared_view::SharedView;

/// Reads the configuration from the store and answers with it if it is newer than the entry's.
///
/// # Errors
///
/// The error of decoding the request.
pub async fn check(
    reader: &ConfigReader,
    view: &SharedView,
    body: &[u8],
) -> serde_json::Result<PlatformUpdate> {
    let arrived = now();
    let known: KnownVersions = serde_json::from_slice(body)?;
    reader.refresh().await;
    // Taken before the configuration, so that it is not about a newer one.
    let confirmed = reader.confirmation().relative_to(arrived);
    let view = view.get();
    let newer = view.routes.as_ref();
    let newer = newer.filter(|routes| routes.config.version > known.config_version);
    Ok(PlatformUpdate {
        config: newer.map(|routes| routes.config.clone()),
        config_confirmed_ms: confirmed,
        ..PlatformUpdate::default()
    })
}
