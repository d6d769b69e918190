//! Whether a standby replaces the leader: by probes of the leader, by the pulse that the leader writes to
//! the store, and by the agents that don't reach it.

use crate::peer::leader_client::LeaderClient;
use crate::peer::messages::{DispatcherHealth, HEALTH};
use crate::prelude::*;
use crate::store::leader_object::LeaderObject;
use crate::store::pulse::{PULSE_KIND, PULSE_NAME, Pulse};
use crate::store::store_client::StoreClient;
use crate::store::store_error::StoreError;
use http::{Method, StatusCode};
use oleander_platform::stored_object::StoredObject;
use oleanderlock::batch::leader_probe::LeaderProbe;
use oleanderlock::batch::leader_watch::LeaderWatch;
use oleanderlock::batch::pulse_verdict::PulseVerdict;
use oleanderlock::batch::unreached_leader::must_be_replaced;

/// Longest wait for the response to a probe.
const PROBE_TIMEOUT: Millis = Millis(400);
/// Longest wait for reading the leader's pulse; a slow store answers a read within 0.3 s.
const PULSE_TIMEOUT: Millis = Millis(700);

/// What a standby checks the leader with.
pub struct LeaderChecks<'a> {
    /// Client of the other dispatchers.
    pub client: &'a LeaderClient,
    /// Client of the store.
    pub store: &'a StoreClient,
}

impl LeaderChecks<'_> {
    /// Probes a leader and returns why to take over from it; `None` if it goes on leading. Reads its pulse
    /// if it missed the probe or `unreached_by` names agents that don't reach it.
    pub async fn reason_to_replace(
        &self,
        leader: &LeaderObject,
        watch: &mut LeaderWatch,
        unreached_by: impl Fn() -> usize,
    ) -> Option<String> {
        let answer = self.probe(leader).await;
        let is_missed = watch.record_probe(now(), answer);
        let unreached_by = unreached_by();
        if !is_missed && unreached_by == 0 {
            return None;
        }
        let pulse = read_pulse(self.store).await;
        let pulse = pulse
            .inspect_err(|err| log_pulse_unknown(watch.misses(), err))
            .ok()?;
        if unreached_by > 0 && pulse.epoch == leader.epoch {
            let (leads_for, heard) = (Millis(pulse.leads_ms), pulse.heard_agents);
            event(log::Level::Info, "leader-unreached", || {
                format!("agents={unreached_by} heard={heard} leads_for={leads_for}")
            });
            if must_be_replaced(unreached_by, leads_for, heard) {
                return Some(format!("{unreached_by} agents do not reach the leader"));
            }
        }
        let is_lost = is_missed && self.is_lost(leader, watch, pulse.number).await;
        is_lost.then(|| format!("last probe {answer:?} misses={}", watch.misses()))
    }

    /// Records the number of the pulse of a leader that missed a probe; returns whether to take over.
    async fn is_lost(&self, leader: &LeaderObject, watch: &mut LeaderWatch, number: u64) -> bool {
        let verdict = watch.record_pulse(now(), number);
        event(log::Level::Info, "pulse-read", || {
            format!(
                "misses={} number={number} verdict={verdict:?}",
                watch.misses()
            )
        });
        match verdict {
            PulseVerdict::Wait => false,
            PulseVerdict::ProbeAgain => {
                let answer = self.probe(leader).await;
                watch.record_probe(now(), answer);
                !matches!(answer, LeaderProbe::Leading { .. })
            }
            PulseVerdict::TakeOver => true,
        }
    }

    /// Asks the leader for its health.
    async fn probe(&self, leader: &LeaderObject) -> LeaderProbe {
        let Some(addr) = leader.addr else {
            return LeaderProbe::NoAnswer;
        };
        let answer = self
            .client
            .call_at(addr, Method::GET, HEALTH, Vec::new(), PROBE_TIMEOUT)
            .await;
        let Ok((StatusCode::OK, body)) = answer else {
            return LeaderProbe::NoAnswer;
        };
        let Ok(health) = serde_json::from_slice::<DispatcherHealth>(&body) else {
            return LeaderProbe::NoAnswer;
        };
        if !health.leads || health.epoch < leader.epoch {
            return LeaderProbe::NotLeading;
        }
        LeaderProbe::Leading {
            store_age: Millis(health.store_age_ms),
        }
    }
}

/// Reads the last pulse that a leader wrote.
pub async fn read_pulse(store: &StoreClient) -> Result<Pulse, StoreError> {
    let read = store.get(PULSE_KIND, PULSE_NAME);
    let found = within(PULSE_TIMEOUT, read).await;
    let found = found.unwrap_or_else(|| Err(StoreError::no_answer("timeout")))?;
    Ok(decode_pulse(found))
}

/// Logs that the leader's pulse could not be read.
pub fn log_pulse_unknown(misses: u32, err: &StoreError) {
    event(log::Level::Info, "pulse-unknown", || {
        format!("misses={misses} reason=\"{err}\"")
    });
}

/// Decodes a pulse; one that is missing or unreadable counts as a pulse with all numbers 0.
fn decode_pulse(found: Option<StoredObject>) -> Pulse {
    let Some(object) = found else {
        return Pulse::default();
    };
    serde_json::from_str(object.spec.get()).unwrap_or_else(|err| {
        event(log::Level::Warn, "pulse-unreadable", || {
            format!("reason=\"{err}\"")
        });
        Pulse::default()
    })
}
