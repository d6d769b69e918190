//! Client of the platform's list of instances.

use crate::http::response_head::read_head;
use crate::process::runtime::within;
use crate::store::listed_instance::ListedInstance;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use trillium_client::Client;
use trillium_smol::ClientConfig;

/// Timeout of reading the list, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2000;
/// Scheme of link addresses.
const LINK_SCHEME: &str = "tcp://";

#[derive(Deserialize)]
struct ListBody {
    instances: Vec<Box<RawValue>>,
}

/// Reads the list of the platform at the URL `base`; `None` without a valid response.
pub async fn read(base: &str) -> Option<Vec<ListedInstance>> {
    let client = Client::new(ClientConfig::default());
    let url = format!("{}/instances", base.trim_end_matches('/'));
    let exchange = async {
        let conn = read_head(client.get(url)).await.ok()?;
        let mut conn = conn.success().ok()?;
        let body = conn.response_body().read_string().await.ok()?;
        decode(&body)
    };
    within(CALL_TIMEOUT_MS, exchange).await.flatten()
}

/// Decodes a list; `None` if it is none. Entries that name no instance, as another writer may leave
/// them, are left out.
pub fn decode(body: &str) -> Option<Vec<ListedInstance>> {
    let list: ListBody = serde_json::from_str(body).ok()?;
    let entries = list.instances.iter();
    Some(entries.filter_map(|entry| decode_entry(entry)).collect())
}

fn decode_entry(entry: &RawValue) -> Option<ListedInstance> {
    let decoded: Result<ListedInstance, _> = serde_json::from_str(entry.get());
    match decoded {
        Ok(instance) if has_addresses(&instance) => Some(instance),
        Ok(instance) => {
            log::warn!(
                "event=instance-unreadable instance={} reason=addresses",
                instance.name
            );
            None
        }
        Err(error) => {
            log::warn!("event=instance-unreadable reason=\"{error}\"");
            None
        }
    }
}

/// Whether an instance can be connected to.
fn has_addresses(instance: &ListedInstance) -> bool {
    let is_addr = |text: &str| {
        let addr = text.parse::<SocketAddr>();
        addr.is_ok_and(|addr| addr.port() != 0)
    };
    let link = instance.link.strip_prefix(LINK_SCHEME);
    is_addr(&instance.http) && link.is_some_and(is_addr)
}
