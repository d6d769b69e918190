//! Client of the platform's list of instances.

use crate::process::runtime::within;
use crate::store::listed_instance::ListedInstance;
use serde::Deserialize;
use trillium_client::Client;
use trillium_smol::ClientConfig;

/// Timeout of reading the list, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2000;

#[derive(Deserialize)]
struct ListBody {
    instances: Vec<ListedInstance>,
}

/// Reads the list of the platform at the URL `base`; `None` without a valid response.
pub async fn read(base: &str) -> Option<Vec<ListedInstance>> {
    let client = Client::new(ClientConfig::default());
    let url = format!("{}/instances", base.trim_end_matches('/'));
    let exchange = async {
        let mut conn = client.get(url).await.ok()?;
        let body = conn.response_body().read_string().await.ok()?;
        serde_json::from_str::<ListBody>(&body).ok()
    };
    let body = within(CALL_TIMEOUT_MS, exchange).await.flatten()?;
    Some(body.instances)
}
