//! The state of a model engine stand-in and its batching loop.

use crate::batch::Batch;
use crate::engine_switches::EngineSwitches;
use crate::running::Serving;
use crate::server::StopFlag;
use crate::switches::{Switches, take_one};
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol::Timer;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Shortest pause of the batching loop, in microseconds.
const TICK_MIN_US: u64 = 1000;
/// Longest pause of the batching loop, in microseconds.
const TICK_MAX_US: u64 = 20_000;
/// Pause of the batching loop while nothing runs, in microseconds.
const TICK_IDLE_US: u64 = 200_000;

/// One weight order that was carried out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Swap {
    /// Version ordered.
    pub version: u64,
    /// Fencing number of the order.
    pub fence: u64,
    /// The swap took effect and its version is known.
    pub ok: bool,
}

/// The `POST /v1/weights` order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WeightsOrder {
    /// Fencing number.
    pub fence: u64,
    /// Model to serve.
    pub model: String,
    /// Version to serve.
    pub version: u64,
}

/// What serves, and the orders that led there.
pub(crate) struct Weights {
    pub(crate) model: String,
    pub(crate) serving: Serving,
    pub(crate) fence: u64,
    pub(crate) resolves: Instant,
    pub(crate) swaps: Vec<Swap>,
}

/// A running model engine stand-in.
pub(crate) struct Engine {
    pub(crate) switches: Switches<EngineSwitches>,
    pub(crate) stopped: StopFlag,
    pub(crate) started: Instant,
    pub(crate) batch: Mutex<Batch>,
    pub(crate) weights: Mutex<Weights>,
    pub(crate) swapping: smol::lock::Mutex<()>,
    pub(crate) wake: Sender<()>,
}

impl Engine {
    pub(crate) fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    pub(crate) fn serving(&self) -> Serving {
        self.weights.lock().serving
    }

    pub(crate) fn wake(&self) {
        let _ = self.wake.try_send(());
    }

    pub(crate) async fn hold(&self) {
        self.switches.hold(&self.stopped, |s| s.hang).await;
    }

    /// Runs one round of the batch and returns the pause before the next one.
    pub(crate) fn tick(&self) -> Option<Duration> {
        let mut switches = self.switches.lock();
        let mut batch = self.batch.lock();
        let now_us = self.now_us();
        if switches.hang {
            batch.pause(now_us);
            return Some(Duration::from_micros(TICK_MAX_US));
        }
        let due_us = batch.tick(&mut switches, self.serving(), now_us)?;
        let pause_us = due_us.saturating_sub(now_us);
        Some(Duration::from_micros(
            pause_us.clamp(TICK_MIN_US, TICK_MAX_US),
        ))
    }

    /// Changes what serves, after the tokens made until now were sent with the old version.
    pub(crate) fn serve(&self, change: impl FnOnce(&mut Weights)) {
        let switches = self.switches.lock();
        let mut batch = self.batch.lock();
        let mut weights = self.weights.lock();
        if !switches.hang {
            batch.flush(&switches, weights.serving, self.now_us());
        }
        change(&mut weights);
    }

    /// Finishes a swap; returns whether it succeeded.
    pub(crate) fn finish_swap(&self, order: &WeightsOrder) -> bool {
        let (fails, serves_new, resolve_ms) = {
            let mut switches = self.switches.lock();
            let fails = take_one(&mut switches.fail_swaps);
            (fails, switches.fail_serves_new, switches.resolve_ms)
        };
        self.serve(|weights| {
            if !fails || serves_new {
                weights.model.clone_from(&order.model);
                weights.serving.version = order.version;
            }
            weights.serving.known = !fails;
            weights.resolves = Instant::now() + Duration::from_millis(resolve_ms);
            weights.swaps.push(Swap {
                version: order.version,
                fence: order.fence,
                ok: !fails,
            });
        });
        !fails
    }

    /// Takes the fencing number of an order, or returns the greater one that was taken before.
    pub(crate) fn take_fence(&self, fence: u64) -> Result<(), u64> {
        let obey = self.switches.lock().obey_fence;
        let mut weights = self.weights.lock();
        if obey && fence < weights.fence {
            return Err(weights.fence);
        }
        weights.fence = weights.fence.max(fence);
        Ok(())
    }
}

/// Ticks the batch until the stand-in is stopped, and breaks what runs then.
pub(crate) async fn run_batch(engine: Arc<Engine>, woken: Receiver<()>) {
    while !engine.stopped.is_set() {
        let pause = engine.tick();
        let wake = async {
            let _ = woken.recv().await;
        };
        let limit = pause.unwrap_or(Duration::from_micros(TICK_IDLE_US));
        let timer = async {
            Timer::after(limit).await;
        };
        wake.or(timer).await;
    }
    engine.batch.lock().break_all();
}
