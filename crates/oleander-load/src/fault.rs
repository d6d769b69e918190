//! Faults at set times.

use crate::deployment::Deployment;
use crate::deployment_error::DeploymentError;
use strum::{Display, EnumString, VariantArray};

/// What is done to the deployment.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq, VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// The endpoint works ten times slower.
    SlowEndpoint,
    /// The endpoint works at its normal pace again.
    NormalEndpoint,
    /// The endpoint's stand-in crashes.
    CrashEndpoint,
    /// The endpoint's stand-in starts again.
    RestartEndpoint,
    /// The agent is killed.
    CrashAgent,
    /// The agent starts again.
    RestartAgent,
    /// The agent is asked to stop.
    StopAgent,
    /// The entry is killed.
    CrashEntry,
    /// The entry starts again.
    RestartEntry,
    /// All endpoints and agents of a failure domain are killed.
    LoseDomain,
    /// The store answers nothing but 503.
    StoreDown,
    /// The store answers again.
    StoreUp,
}

/// One fault of a schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When it happens, in milliseconds since the start.
    pub at_ms: u64,
    /// What happens.
    pub kind: FaultKind,
    /// Name of the instance or failure domain; unused for the store.
    pub target: String,
}

const SLOW: &str = r#"{"slow_factor":10.0}"#;
const NORMAL: &str = r#"{"slow_factor":1.0}"#;
const DOWN: &str = r#"{"outage":true}"#;
const UP: &str = r#"{"outage":false}"#;

impl Fault {
    /// Makes the fault happen.
    pub async fn strike(&self, deployment: &mut Deployment) -> Result<(), DeploymentError> {
        let name = &self.target;
        match self.kind {
            FaultKind::SlowEndpoint => deployment.endpoint_mut(name)?.api().control(SLOW).await?,
            FaultKind::NormalEndpoint => {
                deployment.endpoint_mut(name)?.api().control(NORMAL).await?;
            }
            FaultKind::CrashEndpoint => deployment.endpoint_mut(name)?.crash().await?,
            FaultKind::RestartEndpoint => deployment.endpoint_mut(name)?.restart()?,
            FaultKind::CrashAgent => deployment.endpoint_mut(name)?.agent.crash(),
            FaultKind::RestartAgent => deployment.endpoint_mut(name)?.agent.start()?,
            FaultKind::StopAgent => deployment.endpoint_mut(name)?.agent.stop().await?,
            FaultKind::CrashEntry => deployment.entry_mut(name)?.crash(),
            FaultKind::RestartEntry => deployment.entry_mut(name)?.start()?,
            FaultKind::LoseDomain => lose_domain(deployment, name).await?,
            FaultKind::StoreDown => deployment.platform.store_api().control(DOWN).await?,
            FaultKind::StoreUp => deployment.platform.store_api().control(UP).await?,
        }
        Ok(())
    }
}

async fn lose_domain(deployment: &mut Deployment, domain: &str) -> Result<(), DeploymentError> {
    for name in deployment.in_domain(domain) {
        let endpoint = deployment.endpoint_mut(&name)?;
        endpoint.agent.crash();
        endpoint.crash().await?;
    }
    Ok(())
}
