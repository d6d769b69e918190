//! The faults of the demo, one after another.

use crate::deployment::Deployment;
use crate::deployment_error::DeploymentError;
use oleander_standins::api::Api;
use smol::Timer;
use std::time::Duration;

/// The engine that an operator drains.
const DRAINED: &str = "advisor-1";
/// The engine whose agent is killed.
const KILLED: &str = "advisor-2";
/// The entry that is stopped gracefully and started again.
const RESTARTED: &str = "entry-3";
/// Time after which a leaving endpoint must get no new work.
const LEAVING: Duration = Duration::from_secs(3);

/// What the drained engine ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainReport {
    /// Runs when the drain was ordered.
    pub before: usize,
    /// Runs a few seconds later.
    pub after_leaving: usize,
    /// Runs in the end.
    pub at_end: usize,
}

/// Runs the faults.
pub struct Faults;

impl Faults {
    /// Drains, kills and restarts, while traffic runs.
    ///
    /// # Errors
    ///
    /// What kept a fault from being injected.
    pub async fn run(deployment: &mut Deployment) -> Result<DrainReport, DeploymentError> {
        pause(4).await;
        let mut report = drain(deployment).await?;
        println!("drained {DRAINED}: {} runs before", report.before);
        pause(2).await;
        deployment.endpoint_mut(KILLED)?.agent.crash();
        println!("killed the agent of {KILLED}");
        pause(3).await;
        deployment.entry_mut(RESTARTED)?.stop().await?;
        println!("stopped {RESTARTED} gracefully");
        pause(2).await;
        deployment.entry_mut(RESTARTED)?.start()?;
        deployment.endpoint_mut(KILLED)?.agent.start()?;
        println!("started {RESTARTED} and the agent of {KILLED} again");
        pause(5).await;
        report.at_end = runs_of(deployment).await?;
        Ok(report)
    }
}

async fn drain(deployment: &mut Deployment) -> Result<DrainReport, DeploymentError> {
    let before = runs_of(deployment).await?;
    let agent = Api::new(deployment.endpoint_mut(DRAINED)?.agent.http);
    agent.post("/v1/drain", &()).await?;
    Timer::after(LEAVING).await;
    let after_leaving = runs_of(deployment).await?;
    Ok(DrainReport {
        before,
        after_leaving,
        at_end: after_leaving,
    })
}

async fn runs_of(deployment: &mut Deployment) -> Result<usize, DeploymentError> {
    Ok(deployment
        .endpoint_mut(DRAINED)?
        .engine_record()
        .await?
        .runs
        .len())
}

async fn pause(seconds: u64) {
    Timer::after(Duration::from_secs(seconds)).await;
}
