//! Client of the platform's list of instances.

use crate::process::runtime::within;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use trillium_client::Client;
use trillium_smol::ClientConfig;

/// Longest wait for the list.
const CALL_TIMEOUT_MS: u64 = 2000;

/// What an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// An entry daemon.
    Entry,
    /// An agent daemon beside its endpoint.
    Agent,
}

/// What the platform says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum ListedState {
    /// In service.
    Live,
    /// To be stopped soon.
    Leaving,
}

/// One instance as listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: String,
    /// What it runs.
    pub role: Role,
    /// HTTP address, `IP:PORT`.
    pub http: String,
    /// Link address, `tcp://IP:PORT`.
    pub link: String,
    /// Failure domain.
    pub domain: String,
    /// Region.
    #[serde(default)]
    pub region: String,
    /// What the platform says of it.
    pub state: ListedState,
}

#[derive(Deserialize)]
struct ListBody {
    instances: Vec<ListedInstance>,
}

/// Reads the list at `base`; `None` when no good answer came.
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
